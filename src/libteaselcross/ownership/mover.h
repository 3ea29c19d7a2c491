#pragma once

// The controller's side of moves: a shard is moved from one target to another only with a proof that the
// first no longer holds it. Two controllers at once are safe, because every write is conditional on the
// version read and every proof names the fence of the record it is for.

#include "config/description.h"
#include "ownership/delegation.h"
#include "ownership/grantor.h"
#include "ownership/partition.h"

#include <functional>

namespace teaselcross {

/// A keeper's report on one releasing shard of a target it keeps.
struct shard_report {
    service_id service;
    shard_id shard{};
    fence_number fence = 0; ///< Of the releasing record that the keeper has read.
    tl::expected<clear_proof, clear_wait> clear = tl::unexpected(clear_wait::release);
};

/// A keeper's report to the controllers on one target.
struct target_report {
    target_id target;
    instance_id keeper;
    delegation_epoch epoch = 0;
    target_phase phase = target_phase::unknown;
    incarnation_number incarnation = 0;
    duration in_phase{}; ///< How long the phase has lasted.
    double warmth = 0;   ///< 0 cold to 1 warm.
    bool predecessors_stopped = false;
    std::vector<shard_report> shards;
};

/// Why a releasing shard may have a new owner.
enum class move_proof { released, process_gone, term_ended, never_granted, isolation_ended, declared_lost };
constexpr enum_table<move_proof, 6> move_proof_names{"released",      "process_gone",    "term_ended",
                                                     "never_granted", "isolation_ended", "declared_lost"};

/// What a releasing shard is waiting for.
enum class move_wait {
    delegation_check, ///< The delegation has not been read since the shard was marked.
    keeper_report,    ///< The keeper has not reported on this fence.
    requests_in_flight,
    release,
    term_end,
    process_end,
    predecessor,
};
constexpr enum_table<move_wait, 7> move_wait_names{"delegation_check", "keeper_report", "requests_in_flight",
                                                   "release",          "term_end",      "process_end",
                                                   "predecessor"};

/// The delegation of a releasing shard's target as read from the store after the mark took effect.
struct confirmed_delegation {
    fence_number fence = 0;
    delegation_epoch epoch = 0;
    instant marked_at{}; ///< When this controller first saw the mark.
};

/// The evidence that the controller has on one releasing shard.
struct move_evidence {
    std::optional<confirmed_delegation> confirmed;
    std::optional<instance_id> reporter;
    delegation_epoch report_epoch = 0;
    std::optional<shard_report> report;
    target_state wanted_state = target_state::in;
    std::optional<duration> isolation_limit;
    grantor_options grants;
};

/// Decides whether a releasing shard may have a new owner. A missing reply alone is never a proof.
auto safe_to_move(const shard_record& record, const move_evidence& evidence, instant now)
    -> tl::expected<move_proof, move_wait>;

/// One shard that waits to be moved, for the status.
struct pending_move {
    service_id service;
    shard_id shard{};
    target_id from;
    fence_number fence = 0;
    move_wait waiting = move_wait::delegation_check;
    duration waited{}; ///< Since this controller first saw the mark.
};

/// One change of a shard, for the audit trail and metrics.
struct completed_move {
    service_id service;
    shard_id shard{};
    target_id from; ///< Empty when nobody owned the shard.
    target_id to;
    fence_number fence = 0;
    std::optional<move_proof> proof;
};

/// What to write to one partition.
struct partition_plan {
    bool changed = false;
    partition next;
    std::vector<completed_move> assigned;
    std::vector<completed_move> marked; ///< Newly releasing; `to` is the owner wanted.
    std::vector<pending_move> pending;
};

/// Looks up the evidence on a releasing shard.
using evidence_lookup = std::function<move_evidence(shard_id, const shard_record&)>;

/// Plans the next write of @a current towards @a wanted, one owner per shard; an empty owner means that there
/// is no target for the shard.
auto plan_partition(const partition& current, const std::vector<target_id>& wanted,
                    const evidence_lookup& evidence, instant now) -> partition_plan;

} // namespace teaselcross
