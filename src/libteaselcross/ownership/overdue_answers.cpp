// What the late answer to a grant means for the ranges of its keys.

#include "ownership/range_grantor_parts.h"

#include <algorithm>

namespace teaselcross {

namespace {

auto overlap(const key_range& range, const key_span& keys) -> key_span {
    return {.first = std::max(range.first, keys.first), .last = std::min(range.last, keys.last)};
}

/// The target of @a grant has the keys of @a range until @a until at the latest.
auto on_held(range_progress& progress, const key_range& range, const overdue_grant& grant, instant now,
             instant until) -> void {
    progress.may_hold_until = std::max(progress.may_hold_until, until);
    progress.previous_may_hold_until = std::max(progress.previous_may_hold_until, until);
    if (range.fence != grant.fence) {
        return;
    }
    const auto was_released = progress.released;
    on_acknowledged(progress, grant.call, now);
    progress.confirmed = true;
    progress.next_call_at = was_released ? now : progress.next_call_at;
}

/// The connection of @a grant has ended: the target may still read the grant, and nobody learns of it.
auto on_connection_ended(range_grantor& state, const overdue_grant& grant, instant now) -> void {
    const auto until = now + state.options.late_reading + longest_term(state.options);
    auto& holder = state.responses[grant.holder.id];
    holder.uncertain_until = std::max(holder.uncertain_until, until);
    for (const auto& range : ranges_with(state.map, grant.keys)) {
        if (range.holder.id == grant.holder.id) {
            auto& progress = progress_of(state, range);
            progress.may_hold_until = std::max(progress.may_hold_until, until);
            progress.previous_may_hold_until = std::max(progress.previous_may_hold_until, until);
        }
    }
}

} // namespace

auto on_overdue_answer(range_grantor& state, std::uint64_t call, command_result result, instant now) -> void {
    const auto grant = take_overdue_grant(state.overdue, call);
    if (!grant) {
        return;
    }
    if (result == command_result::unanswered) {
        on_connection_ended(state, *grant, now);
    }
    if (result == command_result::done || result == command_result::refused) {
        on_later_answer(state.overdue, grant->holder.id, grant->sent, now);
    }
    if (result != command_result::done) {
        return;
    }
    state.responses[grant->holder.id].consecutive_failures = 0;
    on_target_answered(state.window, grant->holder.id);
    const auto until = now + longest_term(state.options);
    for (const auto& range : ranges_with(state.map, grant->keys)) {
        const auto keys = overlap(range, grant->keys);
        if (range.holder.id == grant->holder.id) {
            on_held(progress_of(state, range), range, *grant, now, until);
        } else {
            add_revived_grant(
                state.former,
                {.first = keys.first, .last = keys.last, .fence = grant->fence, .holder = grant->holder},
                until, now);
            state.changed = true;
        }
    }
}

auto on_overdue_connection_closed(range_grantor& state, std::uint64_t call) -> void {
    disconnect_overdue_grant(state.overdue, call);
}

auto on_release_behind_answered(range_grantor& state, const holder_command& command,
                                const std::string& handover) -> void {
    for (const auto& range : ranges_with(state.map, {.first = command.first, .last = command.last})) {
        const auto is_within = command.first <= range.first && range.last <= command.last;
        if (!range.is_moving() || range.fence != command.fence || !is_within) {
            continue;
        }
        auto& progress = progress_of(state, range);
        const auto is_own = progress.answered_call == command.behind;
        const auto other_answered_at = is_own ? progress.other_answered_at : progress.answered_at;
        if (other_answered_at <= command.decided_at) {
            progress.released = true;
            progress.handover = handover;
            // What is pending then is another release.
            progress.call_pending = progress.call_pending && !progress.release_requested;
        }
    }
}

} // namespace teaselcross
