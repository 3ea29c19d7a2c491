#include "ownership/keeper.h"

#include <algorithm>

namespace teaselcross {

namespace {

auto add_target(keeper& state, const target_id& id, const delegation& entry,
                const target_description& described, instant now) -> void {
    auto options = state.options.grants;
    options.checks_fence = described.checks_fence;
    auto target = kept_target{};
    target.grants = make_grantor(options, entry.epoch, entry.predecessors.empty(), now);
    target.service = described.service;
    target.predecessors = entry.predecessors;
    state.targets[id] = std::move(target);
}

auto is_quiet(const kept_target& target, const kept_record& record) -> bool {
    const auto found = target.idle_shards.find(record.shard);
    return found != target.idle_shards.end() && found->second == record.fence;
}

/// Whether a releasing shard stays granted while its requests finish. There is no time limit at a target that
/// does not check fences, because there only the end of the requests shows that it has released the shard.
auto can_finish_requests(const kept_target& target, const kept_record& record, const keeper_options& options,
                         instant now) -> bool {
    if (target.grants.phase != target_phase::live || is_quiet(target, record)) {
        return false;
    }
    return !target.grants.options.checks_fence || now - record.seen < options.release_grace_period;
}

/// Stops granting the releasing shards that have finished. This is permanent: a report may have stated that
/// they are clear, and their target may have been silent only briefly.
auto stop_granting_finished(kept_target& target, const keeper_options& options, instant now) -> void {
    for (auto& [index, records] : target.records) {
        for (auto& record : records) {
            if (record.state == shard_state::releasing &&
                !can_finish_requests(target, record, options, now)) {
                record.stopped = true;
            }
        }
    }
}

} // namespace

auto on_delegations(keeper& state, const delegation_table& table, const description& config, instant now)
    -> keeper_changes {
    auto changes = keeper_changes{};
    for (const auto& [id, entry] : table.targets) {
        const auto known = state.targets.find(id);
        if (entry.keeper != state.self) {
            if (known != state.targets.end() && entry.epoch > known->second.grants.epoch) {
                state.targets.erase(known);
                changes.dropped.push_back(id);
            }
            continue;
        }
        const auto described = config.targets.find(id);
        const auto handed_over = state.handed_over.find(id);
        if (described == config.targets.end() ||
            (handed_over != state.handed_over.end() && entry.epoch < handed_over->second)) {
            continue;
        }
        if (known == state.targets.end() || known->second.grants.epoch < entry.epoch) {
            add_target(state, id, entry, described->second, now);
            changes.acquired.push_back(id);
        }
    }
    return changes;
}

auto hand_over(keeper& state, const target_id& target, delegation_epoch epoch) -> bool {
    auto& below = state.handed_over[target];
    below = std::max(below, epoch);
    const auto known = state.targets.find(target);
    if (known == state.targets.end() || known->second.grants.epoch >= epoch) {
        return false;
    }
    state.targets.erase(known);
    return true;
}

auto on_partition(keeper& state, const partition& object, instant now) -> void {
    auto found = std::map<target_id, std::vector<kept_record>>{};
    for (std::size_t position = 0; position < object.shards.size(); ++position) {
        const auto& record = object.shards[position];
        if (record.state != shard_state::unowned && state.targets.contains(record.owner)) {
            found[record.owner].push_back({object.shard_at(position), record.fence, record.state, now});
        }
    }
    for (auto& [id, target] : state.targets) {
        if (target.service != object.service) {
            continue;
        }
        auto& records = found[id];
        for (auto& record : records) {
            for (const auto& before : target.records[object.index]) {
                if (before.shard == record.shard && before.fence == record.fence) {
                    record.seen = before.seen;
                    record.stopped = before.stopped;
                }
            }
        }
        target.records[object.index] = std::move(records);
        target.changed = true;
        request_heartbeat(target.grants, now);
    }
}

auto on_partitions_read(keeper& state, const service_id& service, instant started) -> void {
    for (auto& [id, target] : state.targets) {
        if (target.service == service) {
            on_records_read(target.grants, started);
        }
    }
}

auto on_predecessor_stopped(keeper& state, const target_id& target, const instance_id& predecessor,
                            instant now) -> void {
    const auto found = state.targets.find(target);
    if (found == state.targets.end()) {
        return;
    }
    std::erase(found->second.predecessors, predecessor);
    if (found->second.predecessors.empty()) {
        on_predecessors_stopped(found->second.grants, now);
        found->second.changed = true;
    }
}

auto on_shard_idle(keeper& state, const target_id& target, shard_id shard, fence_number fence, instant now)
    -> void {
    const auto found = state.targets.find(target);
    if (found == state.targets.end() || found->second.idle_shards[shard] == fence) {
        return;
    }
    found->second.idle_shards[shard] = fence;
    found->second.changed = true;
    request_heartbeat(found->second.grants, now);
}

auto shards_to_grant(kept_target& target, const keeper_options& options, instant now)
    -> std::vector<granted_shard> {
    stop_granting_finished(target, options, now);
    auto granted = std::vector<granted_shard>{};
    for (const auto& [index, records] : target.records) {
        for (const auto& record : records) {
            if (!record.stopped) {
                granted.push_back({.shard = record.shard, .fence = record.fence});
            }
        }
    }
    return granted;
}

auto releasing_shards(const kept_target& target) -> std::vector<granted_shard> {
    auto closing = std::vector<granted_shard>{};
    for (const auto& [index, records] : target.records) {
        for (const auto& record : records) {
            if (record.state == shard_state::releasing) {
                closing.push_back({.shard = record.shard, .fence = record.fence});
            }
        }
    }
    return closing;
}

auto make_report(keeper& state, const target_id& target, instant now) -> target_report {
    auto& kept = state.targets.at(target);
    stop_granting_finished(kept, state.options, now);
    const auto& grants = kept.grants;
    auto report = target_report{.target = target,
                                .keeper = state.self,
                                .epoch = grants.epoch,
                                .phase = grants.phase,
                                .incarnation = grants.incarnation,
                                .in_phase = now - grants.phase_since,
                                .warmth = kept.warmth,
                                .predecessors_stopped = grants.predecessors_stopped,
                                .shards = {}};
    for (const auto& [index, records] : kept.records) {
        for (const auto& record : records) {
            if (record.state != shard_state::releasing) {
                continue;
            }
            auto shard = shard_report{
                .service = kept.service, .shard = record.shard, .fence = record.fence, .clear = {}};
            if (!record.stopped) {
                shard.clear = tl::unexpected(clear_wait::requests_in_flight);
            } else {
                const auto in_flight = is_quiet(kept, record) ? 0U : 1U;
                shard.clear = prove_clear(grants, record.shard, in_flight, now);
            }
            report.shards.push_back(std::move(shard));
        }
    }
    return report;
}

} // namespace teaselcross
