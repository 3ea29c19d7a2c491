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

} // namespace

auto add_overdue_grant(overdue_grants& state, const holder_command& grant, instant may_hold_until) -> void {
    state.entries.push_back({.call = grant.call,
                             .holder = grant.to,
                             .keys = {.first = grant.first, .last = grant.last},
                             .fence = grant.fence,
                             .may_hold_until = may_hold_until});
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

auto has_uncertain_grant(const overdue_grants& state, const target_id& holder, instant now) -> bool {
    return std::any_of(state.entries.begin(), state.entries.end(), [&](const auto& each) {
        return each.holder.id == holder && now < each.may_hold_until;
    });
}

auto due_releases_behind(overdue_grants& state, const key_map& map,
                         const std::set<std::uint64_t>& unrecorded_intents) -> std::vector<holder_command> {
    auto commands = std::vector<holder_command>{};
    for (auto& each : state.entries) {
        for (const auto& range : map.ranges) {
            const auto keys = key_span{.first = std::max(range.first, each.keys.first),
                                       .last = std::min(range.last, each.keys.last)};
            const auto is_released =
                std::any_of(each.released.begin(), each.released.end(), [&keys](const auto& released) {
                    return released.first <= keys.first && keys.last <= released.last;
                });
            if (keys.first > keys.last || is_released || !is_taken_from(range, each.holder.id, unrecorded_intents)) {
                continue;
            }
            each.released.push_back(keys);
            commands.push_back({.kind = command_kind::release,
                                .to = each.holder,
                                .first = keys.first,
                                .last = keys.last,
                                .fence = each.fence,
                                .behind = each.call});
        }
    }
    return commands;
}

} // namespace teaselcross
