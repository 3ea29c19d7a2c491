#include "ownership/mover.h"

namespace teaselcross {

namespace {

auto to_move_proof(clear_proof proof) -> move_proof {
    switch (proof) {
    case clear_proof::released:
        return move_proof::released;
    case clear_proof::process_gone:
        return move_proof::process_gone;
    case clear_proof::term_ended:
        return move_proof::term_ended;
    case clear_proof::never_granted:
        break;
    }
    return move_proof::never_granted;
}

auto to_move_wait(clear_wait wait) -> move_wait {
    switch (wait) {
    case clear_wait::requests_in_flight:
        return move_wait::requests_in_flight;
    case clear_wait::release:
        return move_wait::release;
    case clear_wait::term_end:
        return move_wait::term_end;
    case clear_wait::process_end:
        return move_wait::process_end;
    case clear_wait::predecessor:
        break;
    }
    return move_wait::predecessor;
}

/// Whether every grant that a keeper without access to the store could have made has expired. This holds only
/// for targets that check their terms themselves.
auto is_isolation_over(const move_evidence& evidence, instant now) -> bool {
    if (!evidence.isolation_limit || !evidence.grants.checks_fence || !evidence.confirmed) {
        return false;
    }
    const auto& grants = evidence.grants;
    const auto limit = with_drift(*evidence.isolation_limit + grants.term, grants.drift_ppm) + grants.margin;
    return now >= evidence.confirmed->marked_at + limit;
}

} // namespace

auto safe_to_move(const shard_record& record, const move_evidence& evidence, instant now)
    -> tl::expected<move_proof, move_wait> {
    if (evidence.wanted_state == target_state::lost) {
        return move_proof::declared_lost;
    }
    if (!evidence.confirmed || evidence.confirmed->fence != record.fence) {
        return tl::unexpected(move_wait::delegation_check);
    }
    if (is_isolation_over(evidence, now)) {
        return move_proof::isolation_ended;
    }
    // A report under an older delegation does not cover what the later keeper granted.
    if (!evidence.report || evidence.report->fence != record.fence ||
        evidence.report_epoch < evidence.confirmed->epoch) {
        return tl::unexpected(move_wait::keeper_report);
    }
    if (!evidence.report->clear) {
        return tl::unexpected(to_move_wait(evidence.report->clear.error()));
    }
    return to_move_proof(*evidence.report->clear);
}

auto plan_partition(const partition& current, const std::vector<target_id>& wanted,
                    const evidence_lookup& evidence, instant now) -> partition_plan {
    auto plan =
        partition_plan{.changed = false, .next = current, .assigned = {}, .marked = {}, .pending = {}};
    const auto assign = [&](std::size_t position, const target_id& from, std::optional<move_proof> proof) {
        plan.next.assign(position, wanted[position]);
        plan.assigned.push_back({.service = current.service,
                                 .shard = current.shard_at(position),
                                 .from = from,
                                 .to = wanted[position],
                                 .fence = plan.next.shards[position].fence,
                                 .proof = proof});
        plan.changed = true;
    };
    for (std::size_t position = 0; position < current.shards.size(); ++position) {
        const auto& record = current.shards[position];
        const auto shard = current.shard_at(position);
        if (record.state == shard_state::unowned) {
            if (!wanted[position].empty()) {
                assign(position, {}, std::nullopt);
            }
            continue;
        }
        if (record.state == shard_state::owned) {
            if (record.owner != wanted[position]) {
                plan.next.release(position);
                plan.marked.push_back({current.service, shard, record.owner, wanted[position],
                                       plan.next.shards[position].fence, std::nullopt});
                plan.changed = true;
            }
            continue;
        }
        const auto proof = safe_to_move(record, evidence(shard, record), now);
        if (!proof) {
            plan.pending.push_back({current.service, shard, record.owner, record.fence, proof.error()});
        } else if (!wanted[position].empty()) {
            assign(position, record.owner, *proof);
        }
    }
    return plan;
}

} // namespace teaselcross
