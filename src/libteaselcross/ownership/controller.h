#pragma once

// The controller of a data centre: it delegates the data centre's targets to keepers and plans the writes of
// the partitions whose home the data centre is.

#include "balance/placement.h"
#include "ownership/mover.h"

#include <set>

namespace teaselcross {

struct controller_options {
    placement_options placement;
    grantor_options grants;
    double ramp_start = 0.25; ///< Capacity of a target that has just come.
    double ramp_step = 0.25;
    duration ramp_interval = std::chrono::seconds{2}; ///< Between two steps of the ramp.
    std::uint32_t max_rebalances_per_second = 8;      ///< Shards moved for balance alone.
    duration keeper_rebalance_interval =
        std::chrono::seconds{2}; ///< Between two moves of keepers for balance.
    duration report_lifetime =
        std::chrono::seconds{15}; ///< An older report says nothing of a target's phase.
    /// How long the first placement of a service waits for its targets to answer; placing it on the first few
    /// would have to be undone shard by shard.
    duration first_placement_wait = std::chrono::seconds{3};
    duration takeover_delay = std::chrono::milliseconds{500}; ///< After take-over, before the first move.
};

/// An object of the store with its version.
template <class Object>
struct versioned {
    std::uint64_t version = 0; ///< 0: it does not exist.
    Object object;
};

using partition_key = std::pair<service_id, std::uint32_t>;

/// What a controller knows from the others at one moment. The maps are mirrors of the store's objects.
struct controller_view {
    const description* config = nullptr;
    const std::map<partition_key, versioned<partition>>* partitions = nullptr;
    const std::map<data_centre_id, versioned<delegation_table>>* delegations = nullptr;
    std::vector<instance_id> live_instances; ///< Live instances of the data centre.
    std::set<data_centre_id> controlled;     ///< Data centres with a controller at work.
    const std::set<target_id>* local_draining =
        nullptr; ///< Out by an order that holds in this data centre only.
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
    /// A releasing shard and what its target's delegation was after the mark took effect.
    struct mark {
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
    std::map<std::pair<service_id, shard_id>, mark> marks;
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
    /// Data centres whose delegations have to be read from the store itself.
    std::set<data_centre_id> check_delegations;
};

/// A controller that has taken over at @a now.
auto make_controller(const instance_id& self, const data_centre_id& data_centre,
                     const controller_options& options, instant now) -> controller;

/// A keeper reported.
auto on_report(controller& state, const target_report& report, instant now) -> void;

/// A read of @a table from the store, begun at @a started, was answered.
auto on_delegations_read(controller& state, const delegation_table& table, instant started) -> void;

/// Plans what to write now. Keys with a write under way are in @a busy and are left alone.
auto plan(controller& state, const controller_view& view, const std::set<partition_key>& busy, instant now)
    -> controller_actions;

/// The data centre that writes a new partition: rendezvous over those with targets of the service.
auto preferred_home(const description& config, const service_id& service, std::uint32_t index,
                    const std::set<data_centre_id>& controlled) -> data_centre_id;

/// Whether the latest report on @a target has it in @a phase. False without a recent report.
auto reported(const controller& state, const target_id& target, target_phase phase, instant now) -> bool;

} // namespace teaselcross
