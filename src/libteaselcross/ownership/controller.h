#pragma once

// The controller of a data centre: it delegates the data centre's targets to keepers and plans the writes of
// the partitions whose home is this data centre.

#include "balance/placement.h"
#include "ownership/mover.h"

#include <set>

namespace teaselcross {

struct controller_options {
    placement_options placement;
    grantor_options grants;
    double ramp_start = 0.25; ///< Relative capacity of a target that has just started.
    double ramp_step = 0.25;
    duration ramp_interval = std::chrono::seconds{2}; ///< Time between two steps of the ramp.
    std::uint32_t max_rebalances_per_second = 8;      ///< Limit on shards moved only for balance.
    duration keeper_rebalance_interval =
        std::chrono::seconds{2}; ///< Time between two keeper changes made for balance.
    duration report_lifetime =
        std::chrono::seconds{15}; ///< An older report is not used to judge a target's phase.
    /// How long the first placement of a service waits for its targets to answer; a placement on the first
    /// few targets would have to be changed shard by shard afterwards.
    duration first_placement_wait = std::chrono::seconds{3};
    duration takeover_delay =
        std::chrono::milliseconds{500}; ///< Time between the takeover and the first planned write.
};

/// An object in the store with its version.
template <class Object>
struct versioned {
    std::uint64_t version = 0; ///< 0: it does not exist.
    Object object;
};

using partition_key = std::pair<service_id, std::uint32_t>;

/// The input of one planning pass. The maps are local copies of the objects in the store.
struct controller_view {
    const description* config = nullptr;
    const std::map<partition_key, versioned<partition>>* partitions = nullptr;
    const std::map<data_centre_id, versioned<delegation_table>>* delegations = nullptr;
    std::vector<instance_id> live_instances;             ///< Live instances of the data centre.
    std::set<data_centre_id> controlled_data_centres;    ///< Data centres with an active controller.
    const std::set<target_id>* local_draining = nullptr; ///< Taken out of service in this data centre only.
};

struct controller {
    struct received_report {
        target_report report;
        instant received{};
    };
    struct ramp {
        double capacity = 1;
        instant since{};
        incarnation_number incarnation = 0;
    };
    /// A releasing shard and its target's delegation as read after the shard was marked.
    struct marked_shard {
        target_id owner;
        data_centre_id data_centre;
        confirmed_delegation confirmed;
        bool checked = false;
    };
    struct received_shard_report {
        shard_report report;
        instance_id keeper;
        delegation_epoch epoch = 0;
    };

    instance_id self;
    data_centre_id data_centre;
    controller_options options;
    std::map<target_id, received_report> reports;
    std::map<target_id, ramp> ramps;
    std::map<service_id, instant> unplaced_since; ///< Services of which no shard has an owner.
    std::map<std::pair<service_id, shard_id>, marked_shard> marked_shards;
    std::map<std::pair<service_id, shard_id>, received_shard_report> shard_reports;
    double rebalance_tokens = 0;
    instant rebalance_refilled_at{};
    instant next_keeper_rebalance_at{};
    instant started{};
    std::uint64_t next_token = 1;
    std::vector<pending_move> pending;
};

/// A conditional write of a partition.
struct partition_write {
    partition_key key;
    std::uint64_t expected_version = 0;
    partition next;
    std::vector<completed_move> assigned;
    std::vector<completed_move> marked;
};

/// A conditional write of the data centre's delegations.
struct delegation_write {
    std::uint64_t expected_version = 0;
    delegation_table next;
};

struct controller_actions {
    std::vector<partition_write> partitions;
    std::optional<delegation_write> delegations;
    /// Data centres whose delegations have to be read from the store and not from the local copy.
    std::set<data_centre_id> check_delegations;
};

/// Creates the state of a controller that took over at @a now.
auto make_controller(const instance_id& self, const data_centre_id& data_centre,
                     const controller_options& options, instant now) -> controller;

/// Handles a report from a keeper. Reports with an older epoch are ignored.
auto on_report(controller& state, const target_report& report, instant now) -> void;

/// Handles the result of reading @a table from the store; the read began at @a started.
auto on_delegations_read(controller& state, const delegation_table& table, instant started) -> void;

/// Plans what to write now. Partitions in @a busy have a write in flight and are skipped.
auto plan_actions(controller& state, const controller_view& view, const std::set<partition_key>& busy,
                  instant now) -> controller_actions;

/// The data centre that writes a new partition, chosen by rendezvous hashing over those that have targets of
/// the service.
auto preferred_home(const description& config, const service_id& service, std::uint32_t index,
                    const std::set<data_centre_id>& controlled) -> data_centre_id;

/// Whether the latest report on @a target gives @a phase. False without a recent report.
auto has_reported_phase(const controller& state, const target_id& target, target_phase phase, instant now)
    -> bool;

} // namespace teaselcross
