#pragma once

// A small world for the ownership parts: a fake store, and controllers, keepers and targets that exchange
// messages which can be delayed, lost, or delivered to a process that has been paused. The targets are the
// oracle: they are written here, share no code with the library, and tell who holds what.

#include "ownership/controller.h"
#include "ownership/keeper.h"

#include <memory>
#include <string>

namespace teaselcross::test {

/// Defects that a test plants, to show that the oracle sees them.
enum class mutation {
    none,
    silence_is_proof,      ///< A target that misses one heartbeat counts as clear.
    no_delegation_check,   ///< Delegations are taken from the mirror after a mark.
    stale_records_granted, ///< A keeper grants without reading the records.
    term_from_receipt,     ///< Targets count a term from when they read the grant.
    blind_writes,          ///< The store ignores the condition of a write.
    clear_at_once,         ///< A releasing shard counts as clear as soon as its keeper has read of it.
};

/// A target, as its owners would write it.
struct world_target {
    target_id id;
    bool checks_fence = true;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
    std::uint64_t nonce = 0;
    instant nonce_drawn{};
    instant expiry{};
    std::map<std::uint32_t, std::uint64_t> held;
    bool frozen = false; ///< Reads nothing; what is sent waits.
    bool down = false;
};

struct world_keeper {
    keeper state;
    data_centre_id data_centre;
    std::uint64_t partition_seen = 0; ///< Versions of its mirror.
    std::uint64_t delegations_seen = 0;
    std::optional<instant> reading_since;
    std::optional<std::pair<std::uint64_t, partition>> read; ///< Read from the store, not yet taken in.
    bool paused = false;
    bool down = false;
    bool cut_off = false; ///< From the store and the other instances, but not from the targets.
};

struct world_controller {
    controller state;
    std::uint64_t partition_seen = 0;
    std::map<partition_key, versioned<partition>> partitions;
    std::map<data_centre_id, versioned<delegation_table>> delegations;
    std::optional<partition_write> pending_partition;
    std::optional<delegation_write> pending_delegations;
    bool wants_check = false;
    std::optional<instant> checking_since;
    std::vector<delegation_table> checked; ///< Read from the store, not yet taken in.
    bool paused = false;
    bool down = false;
    bool cut_off = false; ///< From the store and the other instances, but not from the targets.
};

/// A grant request on its way to a target, the reply on its way back, or a report to a controller.
struct world_message {
    enum class kind { request, reply, refused, report };

    kind what = kind::request;
    std::size_t keeper = 0;
    std::size_t target = 0; ///< Or the controller, for a report.
    delegation_epoch epoch = 0;
    grant_request request;
    grant_reply reply;
    target_report report;
    instant due{};
};

struct world_options {
    std::uint32_t shards = 1;
    std::size_t data_centres = 1;
    // These are spread over the data centres in turn.
    std::size_t controllers = 2;
    std::size_t keepers = 2;
    std::size_t targets = 2;
    bool checks_fence = true;
    mutation planted = mutation::none;
    duration latency = std::chrono::milliseconds{2};
};

/// The whole world. Copies are independent of each other.
struct ownership_world {
    world_options options;
    instant now{std::chrono::seconds{10}};
    description config;
    std::vector<instance_id> live; ///< Instances that the controllers believe to be at work.

    std::uint64_t store_version = 0;
    versioned<partition> stored_partition;
    std::map<data_centre_id, versioned<delegation_table>> stored_delegations;
    bool store_down = false;
    std::uint32_t lose_replies = 0;

    std::vector<world_target> targets;
    std::vector<world_keeper> keepers;
    std::vector<world_controller> controllers;
    std::vector<world_message> network;
    std::uint64_t next_incarnation = 1;
    std::uint64_t events = 0; ///< Steps at which a fault may strike: writes and deliveries so far.
    std::set<std::pair<std::size_t, std::size_t>> cut_links; ///< Keeper and target.
};

auto make_world(const world_options& options) -> ownership_world;

// Single steps, each of one process; those of processes that are paused or down do nothing.

auto keeper_syncs(ownership_world& world, std::size_t keeper) -> void;
auto keeper_begins_read(ownership_world& world, std::size_t keeper) -> void;
auto keeper_ends_read(ownership_world& world, std::size_t keeper) -> void;
auto keeper_sends(ownership_world& world, std::size_t keeper) -> void;
auto keeper_reports(ownership_world& world, std::size_t keeper) -> void;
auto keeper_asks_predecessors(ownership_world& world, std::size_t keeper) -> void;
auto controller_syncs(ownership_world& world, std::size_t controller) -> void;
auto controller_plans(ownership_world& world, std::size_t controller) -> void;
auto controller_commits(ownership_world& world, std::size_t controller) -> void;
auto controller_begins_check(ownership_world& world, std::size_t controller) -> void;
auto controller_ends_check(ownership_world& world, std::size_t controller) -> void;
auto deliver(ownership_world& world, std::size_t message) -> void;
auto lose(ownership_world& world, std::size_t message) -> void;
auto pass_time(ownership_world& world, duration period) -> void;

auto restart_target(ownership_world& world, std::size_t target) -> void;
auto kill_target(ownership_world& world, std::size_t target) -> void;
auto kill_keeper(ownership_world& world, std::size_t keeper) -> void;
/// A new instance in the place of one that was killed; it is another process and has another name.
auto replace_keeper(ownership_world& world, std::size_t killed) -> void;
auto replace_controller(ownership_world& world, std::size_t killed) -> void;

/// Everybody does what is due for one tick of virtual time.
auto run_tick(ownership_world& world) -> void;
auto run_for(ownership_world& world, duration period) -> void;

/// What the oracle has to say: empty when all promises hold.
auto broken_promise(const ownership_world& world) -> std::string;

/// Whether every shard is held by a target that is in service, under the fence of its record.
auto all_served(const ownership_world& world) -> bool;

/// Targets that hold @a shard now.
auto holders(const ownership_world& world, std::uint32_t shard) -> std::vector<std::size_t>;

/// A text that is equal for worlds that behave alike.
auto fingerprint(const ownership_world& world) -> std::string;

} // namespace teaselcross::test
