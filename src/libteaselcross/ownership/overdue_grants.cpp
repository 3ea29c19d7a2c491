#include "ownership/overdue_grants.h"

#include <algorithm>

namespace teaselcross {

namespace {

/// Whether @a holder is to lose the keys of @a range, or has lost them.
auto is_taken_from(const key_range& range, const target_id& holder,
                   const std::set<std::uint64_t>& unrecorded_intents) -> bool {
    const auto is_moving = range.is_moving() && !unrecorded_intents.contains(range.next_fence);
    return is_moving ? range.next.id != holder : range.holder.id != holder;
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

} // namespace

auto add_overdue_grant(overdue_grants& state, const holder_command& grant, instant sent,
                       instant may_hold_until) -> void {
    state.entries.push_back({.call = grant.call,
                             .holder = grant.to,
                             .keys = {.first = grant.first, .last = grant.last},
                             .fence = grant.fence,
                             .sent = sent,
                             .may_hold_until = may_hold_until});
}

auto on_later_answer(overdue_grants& state, const target_id& holder, instant sent, instant now) -> void {
    for (auto& each : state.entries) {
        if (each.holder.id == holder && each.sent < sent && each.later_answer_at == instant{}) {
            each.later_answer_at = now;
        }
    }
}

auto take_overdue_grant(overdue_grants& state, std::uint64_t call) -> std::optional<overdue_grant> {
    const auto found = std::find_if(state.entries.begin(), state.entries.end(),
                                    [call](const auto& each) { return each.call == call; });
    if (found == state.entries.end()) {
        return std::nullopt;
    }
    auto taken = std::move(*found);
    state.entries.erase(found);
    return taken;
}

auto is_awaited(const overdue_grants& state, const target_id& holder) -> bool {
    return std::any_of(state.entries.begin(), state.entries.end(),
                       [&holder](const auto& each) { return each.holder.id == holder; });
}

auto has_uncertain_grant(const overdue_grants& state, const target_id& holder, const key_span& keys,
                         const std::optional<target_incarnation>& present, duration longest_term, instant now)
    -> bool {
    return std::any_of(state.entries.begin(), state.entries.end(), [&](const auto& each) {
        const auto overlaps = each.keys.first <= keys.last && keys.first <= each.keys.last;
        const auto is_present = present == each.holder;
        return each.holder.id == holder && overlaps &&
               now < expires_by(state.options, each, is_present, longest_term);
    });
}

auto due_releases_behind(overdue_grants& state, const key_map& map,
                         const std::set<std::uint64_t>& unrecorded_intents, instant now)
    -> std::vector<holder_command> {
    auto commands = std::vector<holder_command>{};
    for (auto& each : state.entries) {
        for (const auto& range : map.ranges) {
            const auto keys = key_span{.first = std::max(range.first, each.keys.first),
                                       .last = std::min(range.last, each.keys.last)};
            const auto is_released =
                std::any_of(each.released.begin(), each.released.end(), [&keys](const auto& released) {
                    return released.first <= keys.first && keys.last <= released.last;
                });
            if (keys.first > keys.last || is_released ||
                !is_taken_from(range, each.holder.id, unrecorded_intents)) {
                continue;
            }
            each.released.push_back(keys);
            commands.push_back({.kind = command_kind::release,
                                .to = each.holder,
                                .first = keys.first,
                                .last = keys.last,
                                .fence = each.fence,
                                .behind = each.call,
                                .decided_at = now});
        }
    }
    return commands;
}

} // namespace teaselcross
