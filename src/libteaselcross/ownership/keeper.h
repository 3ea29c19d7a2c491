#pragma once

// The keeper: an instance's role for the targets that are delegated to it. It grants shards according to the
// records, stops granting releasing shards, and reports the proofs to the controllers.

#include "ownership/delegation.h"
#include "ownership/grantor.h"
#include "ownership/mover.h"

#include <set>

namespace teaselcross {

struct keeper_options {
    grantor_options grants;
    /// How long a releasing shard stays granted while requests for it are in flight.
    duration release_grace_period = std::chrono::seconds{2};
};

/// One shard of a target according to the latest record.
struct kept_record {
    shard_id shard{};
    fence_number fence = 0;
    shard_state state = shard_state::owned;
    instant seen{};       ///< When this record was first seen.
    bool stopped = false; ///< Releasing, and never to be granted again under this record.
};

struct kept_target {
    grantor grants;
    service_id service;
    std::vector<instance_id> predecessors; ///< Earlier keepers not yet known to have stopped.
    std::map<std::uint32_t, std::vector<kept_record>> records; ///< By partition.
    /// Releasing shards without requests in flight, with the fence of the record.
    std::map<shard_id, fence_number> idle_shards;
    double warmth = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t waiting = 0;
    bool changed = true; ///< Something to report has changed since the last report.
};

struct keeper {
    instance_id self;
    keeper_options options;
    std::map<target_id, kept_target> targets;
    /// Delegations below these epochs were handed over and are ignored.
    std::map<target_id, delegation_epoch> handed_over;
};

/// The targets that a change of delegations adds and removes.
struct keeper_changes {
    std::vector<target_id> acquired; ///< Targets to take over; their partitions have to be read.
    std::vector<target_id> dropped;  ///< Targets that now have another keeper: nothing more is sent to them.
};

/// Updates the kept targets according to the delegations of the data centre.
auto on_delegations(keeper& state, const delegation_table& table, const description& config, instant now)
    -> keeper_changes;

/// Hands @a target over to a later keeper with @a epoch. Returns whether it was kept here until now.
auto hand_over(keeper& state, const target_id& target, delegation_epoch epoch) -> bool;

/// Updates the records from a partition that was read or received from a watch.
auto on_partition(keeper& state, const partition& object, instant now) -> void;

/// Records that all partitions of the service were read from the store by a call that began at @a started.
auto on_partitions_read(keeper& state, const service_id& service, instant started) -> void;

/// Records that an earlier keeper has stopped or its process is gone.
auto on_predecessor_stopped(keeper& state, const target_id& target, const instance_id& predecessor,
                            instant now) -> void;

/// Records that no request for the releasing @a shard is waiting or in flight.
auto on_shard_idle(keeper& state, const target_id& target, shard_id shard, fence_number fence, instant now)
    -> void;

/// The shards to grant to a target now. Releasing shards stay granted until their requests finish; once
/// excluded they are not granted again.
auto shards_to_grant(kept_target& target, const keeper_options& options, instant now)
    -> std::vector<granted_shard>;

/// Shards that may receive no new requests, with the fence of their record.
auto releasing_shards(const kept_target& target) -> std::vector<granted_shard>;

/// Creates the report to the controllers on one target. A shard reported as clear is never granted again
/// under its current record.
/// @pre the target is kept here.
auto make_report(keeper& state, const target_id& target, instant now) -> target_report;

} // namespace teaselcross
