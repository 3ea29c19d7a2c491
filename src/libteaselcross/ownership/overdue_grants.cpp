#include "ownership/overdue_grants.h"

#include <algorithm>
#include <utility>

namespace teaselcross {

namespace {

/// The target that is to have the keys of @a range.
auto owner_of(const key_range& range, const std::set<std::uint64_t>& unrecorded_intents) -> const target_id& {
    const auto is_recorded_move = range.is_moving() && !unrecorded_intents.contains(range.next_fence);
    return is_recorded_move ? range.next.id : range.holder.id;
}

/// By when @a grant has expired, whenever it is read.
auto expires_by(const overdue_grant_options& options, const overdue_grant& grant, bool is_present,
                duration longest_term) -> instant {
    if (grant.later_answer_at != instant{}) {
        return std::max(grant.may_hold_until, grant.later_answer_at + options.reading_spread + longest_term);
    }
    // The entry of a process that was suspended or has ended lapses.
    return is_present ? std::max(grant.may_hold_until, grant.sent + options.longest_reading + longest_term)
                      : grant.may_hold_until;
}

/// Calls @a visit with each grant to @a holder.
template <class Grants, class Visitor>
auto for_each_grant_to(Grants& state, const target_id& holder, Visitor visit) -> void {
    const auto calls = state.by_holder.find(holder);
    if (calls == state.by_holder.end()) {
        return;
    }
    for (const auto call : calls->second) {
        visit(state.entries.at(call));
    }
}

auto overlaps(const key_span& left, const key_span& right) -> bool {
    return left.first <= right.last && right.first <= left.last;
}

/// Makes @a known the owners by @a map, and returns the ranges that have changed since.
auto update_owners(std::vector<range_owner>& known, const key_map& map,
                   const std::set<std::uint64_t>& unrecorded_intents) -> std::vector<range_owner> {
    auto changed = std::vector<range_owner>{};
    auto before = known.begin();
    for (const auto& range : map.ranges) {
        const auto keys = key_span{.first = range.first, .last = range.last};
        const auto& owner = owner_of(range, unrecorded_intents);
        before = std::find_if(before, known.end(),
                              [&keys](const auto& each) { return each.keys.last >= keys.first; });
        if (before == known.end() || before->keys != keys || before->id != owner) {
            changed.push_back({.keys = keys, .id = owner});
        }
    }
    if (!changed.empty()) {
        known.clear();
        for (const auto& range : map.ranges) {
            known.push_back({.keys = {.first = range.first, .last = range.last},
                             .id = owner_of(range, unrecorded_intents)});
        }
    }
    return changed;
}

auto is_released(const overdue_grant& grant, const key_span& keys) -> bool {
    return std::any_of(grant.released.begin(), grant.released.end(), [&keys](const auto& released) {
        return released.first <= keys.first && keys.last <= released.last;
    });
}

/// Adds the releases of the keys of @a grant that by @a owners, in ascending order, belong to another target.
auto add_releases_behind(overdue_grant& grant, const std::vector<range_owner>& owners, instant now,
                         std::vector<holder_command>& commands) -> void {
    if (!grant.is_connected) {
        return;
    }
    auto owner = std::lower_bound(owners.begin(), owners.end(), grant.keys.first,
                                  [](const auto& each, shard_key key) { return each.keys.last < key; });
    for (; owner != owners.end() && owner->keys.first <= grant.keys.last; ++owner) {
        const auto keys = key_span{.first = std::max(owner->keys.first, grant.keys.first),
                                   .last = std::min(owner->keys.last, grant.keys.last)};
        if (owner->id == grant.holder.id || is_released(grant, keys)) {
            continue;
        }
        grant.released.push_back(keys);
        commands.push_back({.kind = command_kind::release,
                            .to = grant.holder,
                            .first = keys.first,
                            .last = keys.last,
                            .fence = grant.fence,
                            .behind = grant.call,
                            .decided_at = now});
    }
}

} // namespace

auto add_overdue_grant(overdue_grants& state, const holder_command& grant, instant sent,
                       instant may_hold_until) -> void {
    state.entries[grant.call] = {.call = grant.call,
                                 .holder = grant.to,
                                 .keys = {.first = grant.first, .last = grant.last},
                                 .fence = grant.fence,
                                 .sent = sent,
                                 .may_hold_until = may_hold_until};
    state.by_holder[grant.to.id].insert(grant.call);
    state.unchecked.push_back(grant.call);
}

auto on_later_answer(overdue_grants& state, const target_id& holder, instant sent, instant now) -> void {
    for_each_grant_to(state, holder, [sent, now](auto& each) {
        if (each.sent < sent && each.later_answer_at == instant{}) {
            each.later_answer_at = now;
        }
    });
}

auto disconnect_overdue_grant(overdue_grants& state, std::uint64_t call) -> void {
    const auto found = state.entries.find(call);
    if (found != state.entries.end() && std::exchange(found->second.is_connected, false)) {
        state.disconnected.push_back(call);
    }
}

auto remove_expired(overdue_grants& state, duration longest_term, instant now) -> std::set<target_id> {
    auto holders = std::set<target_id>{};
    while (!state.disconnected.empty()) {
        const auto call = state.disconnected.front();
        const auto found = state.entries.find(call);
        if (found != state.entries.end() &&
            now < expires_by(state.options, found->second, true, longest_term)) {
            break;
        }
        if (const auto expired = take_overdue_grant(state, call)) {
            holders.insert(expired->holder.id);
        }
        state.disconnected.pop_front();
    }
    return holders;
}

auto take_overdue_grant(overdue_grants& state, std::uint64_t call) -> std::optional<overdue_grant> {
    const auto found = state.entries.find(call);
    if (found == state.entries.end()) {
        return std::nullopt;
    }
    auto taken = std::move(found->second);
    state.entries.erase(found);
    auto& calls = state.by_holder.at(taken.holder.id);
    calls.erase(call);
    if (calls.empty()) {
        state.by_holder.erase(taken.holder.id);
    }
    return taken;
}

auto count_overdue(const overdue_grants& state, const target_id& holder) -> std::size_t {
    const auto calls = state.by_holder.find(holder);
    return calls == state.by_holder.end() ? 0 : calls->second.size();
}

auto is_awaited(const overdue_grants& state, const target_id& holder) -> bool {
    return state.by_holder.contains(holder);
}

auto has_uncertain_grant(const overdue_grants& state, const target_id& holder, const key_span& keys,
                         const std::optional<target_incarnation>& present, duration longest_term, instant now)
    -> bool {
    auto is_uncertain = false;
    for_each_grant_to(state, holder, [&](const auto& each) {
        const auto is_present = present == each.holder;
        is_uncertain = is_uncertain || (overlaps(each.keys, keys) &&
                                        now < expires_by(state.options, each, is_present, longest_term));
    });
    return is_uncertain;
}

auto due_releases_behind(overdue_grants& state, const key_map& map,
                         const std::set<std::uint64_t>& unrecorded_intents, instant now)
    -> std::vector<holder_command> {
    auto commands = std::vector<holder_command>{};
    if (state.entries.empty()) {
        state.checked_owners.clear();
        state.unchecked.clear();
        return commands;
    }
    const auto changed = update_owners(state.checked_owners, map, unrecorded_intents);
    if (!changed.empty()) {
        for (auto& [call, grant] : state.entries) {
            add_releases_behind(grant, changed, now, commands);
        }
    }
    for (const auto call : std::exchange(state.unchecked, {})) {
        const auto found = state.entries.find(call);
        if (found != state.entries.end()) {
            add_releases_behind(found->second, state.checked_owners, now, commands);
        }
    }
    return commands;
}

} // namespace teaselcross
