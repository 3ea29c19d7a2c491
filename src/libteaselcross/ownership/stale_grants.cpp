#include "ownership/stale_grants.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace teaselcross {

namespace {

/// The parts of @a grant whose keys its holder does not hold again by @a map, under a later fence.
auto parts_not_held(const key_map& map, const stale_grant& grant) -> std::vector<stale_grant> {
    auto parts = std::vector<stale_grant>{};
    auto rest = grant;
    auto range = std::lower_bound(map.ranges.begin(), map.ranges.end(), grant.first,
                                  [](const auto& each, shard_key key) { return each.last < key; });
    for (; range != map.ranges.end() && range->first <= grant.last; ++range) {
        if (range->holder.id != grant.holder.id) {
            continue;
        }
        if (rest.first < range->first) {
            parts.push_back(rest);
            parts.back().last = range->first - 1;
        }
        if (rest.last <= range->last) {
            return parts;
        }
        rest.first = range->last + 1;
    }
    parts.push_back(rest);
    return parts;
}

/// Drops the keys that their former holders hold again.
auto drop_keys_held_again(stale_grants& state, const key_map& map) -> void {
    auto kept = std::vector<stale_grant>{};
    for (const auto& each : state.entries) {
        auto parts = parts_not_held(map, each);
        kept.insert(kept.end(), parts.begin(), parts.end());
    }
    state.entries = std::move(kept);
}

/// Joins holdings of the same target between which there are at most @a gap keys.
auto joined(std::vector<former_holding> holdings, shard_key gap) -> std::vector<former_holding> {
    std::sort(holdings.begin(), holdings.end(), [](const auto& left, const auto& right) {
        return std::tie(left.holder.id, left.first) < std::tie(right.holder.id, right.first);
    });
    auto result = std::vector<former_holding>{};
    for (const auto& each : holdings) {
        if (result.empty() || result.back().holder.id != each.holder.id ||
            each.first > result.back().last + 1 + gap) {
            result.push_back(each);
            continue;
        }
        auto& last = result.back();
        last.last = std::max(last.last, each.last);
        last.fence = std::max(last.fence, each.fence);
        last.holder = std::max(last.holder, each.holder);
    }
    return result;
}

/// The process of the target of @a holder that may have the grant: a later one that is present, or else the
/// one that it was sent to.
auto latest_process(const std::set<target_incarnation>& present, const target_incarnation& holder)
    -> target_incarnation {
    auto latest = holder;
    for (const auto& each : present) {
        if (each.id == holder.id && each.start_time_ms > latest.start_time_ms) {
            latest = each;
        }
    }
    return latest;
}

} // namespace

auto add_stale_grant(stale_grants& state, const key_range& range, instant now) -> void {
    state.entries.push_back({.holder = range.holder,
                             .first = range.first,
                             .last = range.last,
                             .fence = range.fence,
                             .next_call_at = now,
                             .watched_until = now + state.options.watch_time});
}

auto add_replaced_destination(stale_grants& state, const key_range& range,
                              const target_incarnation& possible_holder, instant now) -> void {
    if (range.is_moving() && range.next == possible_holder) {
        add_stale_grant(
            state,
            {.first = range.first, .last = range.last, .fence = range.next_fence, .holder = range.next}, now);
    }
}

auto add_revived_grant(stale_grants& state, const key_range& range, instant may_hold_until, instant now)
    -> void {
    auto known_keys = shard_key{0};
    for (auto& each : state.entries) {
        const auto is_known = each.holder.id == range.holder.id && each.fence == range.fence &&
                              range.first <= each.first && each.last <= range.last;
        if (is_known) {
            each.releases = 0;
            each.next_call_at = now;
            each.watched_until = now + state.options.watch_time;
            each.is_call_outdated = each.call_pending;
            each.may_hold_until = may_hold_until;
            known_keys += each.last - each.first + 1;
        }
    }
    if (known_keys < range.last - range.first + 1) {
        add_stale_grant(state, range, now);
        state.entries.back().may_hold_until = may_hold_until;
    }
}

auto is_held_by_former(const stale_grants& state, const key_range& range, instant now) -> bool {
    return std::any_of(state.entries.begin(), state.entries.end(), [&](const auto& each) {
        return each.releases == 0 && now < each.may_hold_until && each.first <= range.last &&
               range.first <= each.last;
    });
}

auto resume_stale_grants(stale_grants& state, const std::vector<former_holding>& recorded, instant now)
    -> void {
    state.entries.clear();
    for (const auto& each : recorded) {
        add_stale_grant(
            state, {.first = each.first, .last = each.last, .fence = each.fence, .holder = each.holder}, now);
    }
}

auto recorded_former_holdings(const stale_grants& state) -> std::vector<former_holding> {
    auto holdings = std::vector<former_holding>{};
    for (const auto& each : state.entries) {
        holdings.push_back(
            {.holder = each.holder, .first = each.first, .last = each.last, .fence = each.fence});
    }
    auto result = joined(holdings, 0);
    if (result.size() > state.options.max_recorded) {
        result = joined(std::move(holdings), last_shard_key);
    }
    if (result.size() > state.options.max_recorded) {
        std::sort(result.begin(), result.end(),
                  [](const auto& left, const auto& right) { return left.fence > right.fence; });
        result.resize(state.options.max_recorded);
    }
    return result;
}

auto due_stale_releases(stale_grants& state, const key_map& map, const std::set<target_incarnation>& present,
                        instant now) -> std::vector<holder_command> {
    std::erase_if(state.entries, [now](const auto& each) { return now >= each.watched_until; });
    drop_keys_held_again(state, map);
    auto commands = std::vector<holder_command>{};
    auto asked = std::set<target_id>{};
    for (const auto& each : state.entries) {
        if (each.call_pending) {
            asked.insert(each.holder.id);
        }
    }
    for (auto& each : state.entries) {
        if (each.call_pending || now < each.next_call_at) {
            continue;
        }
        const auto is_first = asked.insert(each.holder.id).second;
        const auto process = latest_process(present, each.holder);
        const auto is_listed = present.contains(process);
        if (!is_first && !each.is_reachable && (!is_listed || each.was_listed)) {
            continue;
        }
        each.call_pending = true;
        each.was_listed = is_listed;
        commands.push_back({.kind = command_kind::release,
                            .to = process,
                            .first = each.first,
                            .last = each.last,
                            .fence = each.fence});
    }
    return commands;
}

auto on_stale_release_finished(stale_grants& state, const holder_command& command, command_result result,
                               instant now) -> void {
    if (command.kind != command_kind::release) {
        return;
    }
    auto found = false;
    for (auto& each : state.entries) {
        // The keys may have been split since the call; the result applies to each part.
        const auto is_called = each.fence == command.fence && each.first >= command.first &&
                               each.last <= command.last && each.holder.id == command.to.id;
        if (is_called) {
            found = true;
            each.call_pending = false;
            if (std::exchange(each.is_call_outdated, false)) {
                each.next_call_at = now;
                continue;
            }
            each.releases += result == command_result::done ? 1 : 0;
            const auto is_first_answer = result == command_result::done && each.releases == 1;
            each.next_call_at = is_first_answer ? now : now + state.options.release_interval;
        }
    }
    if (!found) {
        return;
    }
    const auto is_reachable = result != command_result::not_sent;
    for (auto& each : state.entries) {
        if (each.holder.id == command.to.id) {
            each.is_reachable = is_reachable;
            each.next_call_at = is_reachable
                                    ? each.next_call_at
                                    : std::max(each.next_call_at, now + state.options.release_interval);
        }
    }
    std::erase_if(state.entries,
                  [&state](const auto& each) { return each.releases >= state.options.releases_needed; });
}

} // namespace teaselcross
