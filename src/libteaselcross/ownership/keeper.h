#pragma once

// The keeper: one instance's part in owning the targets that are delegated to it. It grants what the records
// say, stops granting what is releasing, and reports the proofs.

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

/// One shard of a target as the latest record says.
struct kept_record {
    shard_id shard{};
    fence_number fence = 0;
    shard_state state = shard_state::owned;
    instant seen{};       ///< When this record was first seen.
    bool stopped = false; ///< Releasing, and not to be granted again under any circumstances.
};

struct kept_target {
    grantor grants;
    service_id service;
    std::vector<instance_id> predecessors;                     ///< Those not yet known to have stopped.
    std::map<std::uint32_t, std::vector<kept_record>> records; ///< By partition.
    /// Releasing shards without requests in flight, with the fence of the record.
    std::map<shard_id, fence_number> quiet;
    double warmth = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t waiting = 0;
    bool changed = true; ///< Something to report has changed since the last report.
};

struct keeper {
    instance_id self;
    keeper_options options;
    std::map<target_id, kept_target> targets;
    /// Delegations below these epochs were handed over and are not taken up any more.
    std::map<target_id, delegation_epoch> handed_over;
};

/// What a change of delegations asks for.
struct keeper_changes {
    std::vector<target_id> taken;   ///< Targets to read the partitions for, and to take over.
    std::vector<target_id> dropped; ///< Targets of another keeper now: nothing more is sent to them.
};

/// Brings the kept targets in line with the delegations of the data centre.
auto on_delegations(keeper& state, const delegation_table& table, const description& config, instant now)
    -> keeper_changes;

/// A later keeper, of @a epoch, asks for @a target. Returns whether it was kept here until now.
auto hand_over(keeper& state, const target_id& target, delegation_epoch epoch) -> bool;

/// A partition's record is at hand.
auto on_partition(keeper& state, const partition& whole, instant now) -> void;

/// All partitions of the service were read from the store by a call that began at @a started.
auto on_partitions_read(keeper& state, const service_id& service, instant started) -> void;

/// An earlier keeper has stopped, or its process is gone.
auto on_predecessor_stopped(keeper& state, const target_id& target, const instance_id& predecessor,
                            instant now) -> void;

/// No request for the releasing @a shard is waiting or in flight.
auto on_shard_idle(keeper& state, const target_id& target, shard_id shard, fence_number fence, instant now)
    -> void;

/// The shards to grant to a target now. Releasing shards are granted on while their requests finish; once
/// they are left out they stay left out.
auto shards_to_grant(kept_target& target, const keeper_options& options, instant now)
    -> std::vector<granted_shard>;

/// Shards that may receive no new requests, with the fence of their record.
auto releasing_shards(const kept_target& target) -> std::vector<granted_shard>;

/// What to tell the controllers about one target. A shard reported as clear is never granted again under its
/// present record.
/// @pre the target is kept here.
auto make_report(keeper& state, const target_id& target, instant now) -> target_report;

} // namespace teaselcross
