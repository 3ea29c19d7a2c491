#include "ownership/range_grantor_parts.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace teaselcross {

namespace {

/// Renewals that are due together are spread over about so many calls of due_commands(), so that a burst of
/// them does not hold up other work of the event loop.
constexpr auto renewal_parts = std::size_t{8};
constexpr auto min_renewals_at_once = std::size_t{16};
/// A renewal that has waited so long goes out with the others, however many there are.
constexpr auto max_renewal_delay = duration{std::chrono::milliseconds{300}};
/// The same while the process is short of time. The keys of a holder that answers then are still renewed
/// before their term ends.
constexpr auto max_renewal_delay_when_short = duration{std::chrono::milliseconds{900}};

/// The proof that no command that was sent can still make the holder of @a range hold the keys, if there is
/// one.
auto find_proof(const range_grantor& state, const key_range& range, const range_progress& progress,
                instant now) -> std::optional<move_proof> {
    const auto has_other_possible_holder =
        !progress.possible_holder.id.empty() && progress.possible_holder != range.next;
    if (progress.call_pending) {
        return std::nullopt;
    }
    // The destination of a move that an earlier controller recorded may have replaced another one.
    const auto may_have_replaced = !progress.possible_holder.id.empty() && now < state.moves_allowed_from;
    if (range.next.id == range.holder.id && !has_other_possible_holder && !may_have_replaced) {
        return move_proof::same_holder;
    }
    if (now < state.moves_allowed_from) {
        return std::nullopt;
    }
    // A release by the holder proves nothing about another target that may hold the keys.
    const auto keys = key_span{.first = range.first, .last = range.last};
    if (progress.released && !has_other_possible_holder &&
        has_no_uncertain_grant(state, range.holder.id, keys, now)) {
        return has_newer_incarnation(state, range.holder) ? move_proof::restarted : move_proof::released;
    }
    const auto is_expired =
        now >= progress.may_hold_until && !has_overdue_grant(state, range.holder.id, keys, now);
    return is_expired ? std::optional{move_proof::expired} : std::nullopt;
}

/// Whether @a holder may have an aborted grant in its sockets, from this controller or the one before.
auto may_have_stale_grant(const range_grantor& state, const target_id& holder, instant now) -> bool {
    const auto is_recent = [&](instant at) {
        return at != instant{} && now < at + state.former.options.watch_time;
    };
    const auto responses = state.responses.find(holder);
    return is_awaited(state.overdue, holder) || is_recent(state.taken_over_at) ||
           (responses != state.responses.end() && is_recent(responses->second.uncertain_until));
}

/// Makes the next holder the holder of the range.
auto transfer_to_next(range_grantor& state, key_range& range, move_proof proof, instant now) -> void {
    auto before = std::move(progress_of(state, range));
    const auto was_released = proof == move_proof::released || proof == move_proof::restarted;
    if (proof == move_proof::expired || (was_released && may_have_stale_grant(state, range.holder.id, now))) {
        add_stale_grant(state.former, range, now);
    }
    // The same target may hold the keys under its old fence until that grant expires.
    const auto may_hold_until = range.next.id == range.holder.id ? std::max(now, before.may_hold_until) : now;
    const auto earlier_holder = range.holder;
    state.progress[range.fence].erase(range.first);
    if (state.progress[range.fence].empty()) {
        state.progress.erase(range.fence);
    }
    range.holder = range.next;
    range.fence = range.next_fence;
    range.next = {};
    range.next_fence = 0;
    progress_of(state, range) = {.may_hold_until = may_hold_until,
                                 .next_call_at = now,
                                 .handover = std::move(before.handover),
                                 .earlier_holder = earlier_holder,
                                 .earlier_answered_at = before.answered_at,
                                 .proof = proof};
}

/// The process of the holder of @a range that is listed now, if there is one.
auto present_process(const range_grantor& state, const key_range& range)
    -> std::optional<target_incarnation> {
    const auto found = state.holders.find(range.holder.id);
    if (found == state.holders.end()) {
        return std::nullopt;
    }
    return has_newer_incarnation(state, range.holder) ? found->second.incarnation : range.holder;
}

auto make_command(const range_grantor& state, const key_range& range, const target_incarnation& to,
                  command_kind kind, const range_progress& progress) -> holder_command {
    return {.kind = kind,
            .to = to,
            .first = range.first,
            .last = range.last,
            .fence = range.fence,
            .term = state.options.grant_term,
            .handover = kind == command_kind::grant ? progress.handover : std::string{},
            .is_first = kind == command_kind::grant && !progress.confirmed,
            .earlier_holder = progress.earlier_holder,
            .earlier_answered_at = progress.earlier_answered_at,
            .proof = progress.proof};
}

auto is_intent_recorded(const range_grantor& state, const key_range& range) -> bool {
    return !state.unrecorded_intents.contains(range.next_fence);
}

/// Lets the next holder have the keys of @a range once nobody else can hold them.
auto transfer_if_free(range_grantor& state, key_range& range, instant now) -> void {
    if (!range.is_moving() || !is_intent_recorded(state, range) ||
        is_held_by_former(state.former, range, now)) {
        return;
    }
    if (const auto proof = find_proof(state, range, progress_of(state, range), now)) {
        transfer_to_next(state, range, *proof, now);
    }
}

/// A command that a range needs.
struct due_command {
    key_range* range = nullptr;
    target_incarnation to;
    command_kind kind = command_kind::grant;
    instant since{};         ///< When it was due.
    bool is_renewal = false; ///< Otherwise nobody has the keys, or they are to move.
};

/// The command that @a range needs now, if any.
auto find_due_command(range_grantor& state, key_range& range, instant now) -> std::optional<due_command> {
    const auto& progress = progress_of(state, range);
    if (progress.call_pending || now < progress.next_call_at) {
        return std::nullopt;
    }
    const auto process = present_process(state, range);
    if (!process) {
        return std::nullopt;
    }
    if (range.is_moving() && is_intent_recorded(state, range)) {
        if (progress.released) {
            return std::nullopt;
        }
        // A process that replaced the holder's may have answered grants that were meant for that one.
        return due_command{
            .range = &range, .to = *process, .kind = command_kind::release, .since = progress.next_call_at};
    }
    if (!progress.confirmed && is_held_by_former(state.former, range, now)) {
        return std::nullopt;
    }
    if (progress.release_requested || *process != range.holder) {
        return std::nullopt; // The intent of a move is not recorded yet.
    }
    return due_command{.range = &range,
                       .to = range.holder,
                       .since = progress.next_call_at,
                       .is_renewal = progress.confirmed};
}

/// The commands that ranges need, those first that have been due for longest.
auto find_due_commands(range_grantor& state, instant now) -> std::vector<due_command> {
    auto due = std::vector<due_command>{};
    for (auto& range : state.map.ranges) {
        if (state.unrecorded_intents.contains(range.fence)) {
            continue;
        }
        transfer_if_free(state, range, now);
        if (auto command = find_due_command(state, range, now)) {
            due.push_back(std::move(*command));
        }
    }
    std::stable_sort(due.begin(), due.end(),
                     [](const auto& left, const auto& right) { return left.since < right.since; });
    return due;
}

/// Notes that @a due is sent, and returns it.
auto begin_command(range_grantor& state, const due_command& due, instant now) -> holder_command {
    auto& progress = progress_of(state, *due.range);
    progress.call_pending = true;
    if (due.kind == command_kind::release) {
        progress.release_requested = true;
    } else {
        // The call may arrive as late as its timeout, and the term counts from its arrival.
        progress.previous_may_hold_until = progress.may_hold_until;
        progress.may_hold_until =
            std::max(progress.may_hold_until, now + state.options.call_timeout + longest_term(state.options));
    }
    auto command = make_command(state, *due.range, due.to, due.kind, progress);
    command.has_place = true;
    return command;
}

/// The commands of @a due for which there is room.
auto begin_due_commands(range_grantor& state, const std::vector<due_command>& due, instant now)
    -> std::vector<holder_command> {
    auto commands = std::vector<holder_command>{};
    auto renewals_left = std::max(min_renewals_at_once, state.map.ranges.size() / renewal_parts);
    const auto max_delay = is_short_of_time(state.window) ? max_renewal_delay_when_short : max_renewal_delay;
    for (const auto& each : due) {
        const auto is_urgent = each.is_renewal && now >= each.since + max_delay;
        if (each.is_renewal && renewals_left == 0 && !is_urgent) {
            continue;
        }
        if (begin_order(state.window, each.to.id, is_urgent, now)) {
            renewals_left -= each.is_renewal && renewals_left > 0 ? 1 : 0;
            commands.push_back(begin_command(state, each, now));
        }
    }
    return commands;
}

auto find_index(const range_grantor& state, shard_key key) -> std::size_t {
    const auto* found = find_range(state.map, key);
    return found == nullptr ? state.map.ranges.size()
                            : static_cast<std::size_t>(found - state.map.ranges.data());
}

/// Splits the range at @a index before @a key. Both parts keep the holder and the fence.
auto split_before(range_grantor& state, std::size_t index, shard_key key) -> void {
    auto& left = state.map.ranges[index];
    if (left.first >= key) {
        return;
    }
    const auto progress = progress_of(state, left);
    auto right = left;
    right.first = key;
    left.last = key - 1;
    progress_of(state, right) = progress;
    state.map.ranges.insert(state.map.ranges.begin() + static_cast<std::ptrdiff_t>(index) + 1, right);
}

} // namespace

auto max_remaining_hold(const range_grantor_options& options) -> duration {
    return longest_term(options) + options.call_timeout + options.late_reading;
}

auto set_holders(range_grantor& state, std::map<target_id, key_holder> holders) -> void {
    for (const auto& [id, holder] : holders) {
        const auto known = state.holders.find(id);
        if (known == state.holders.end() || known->second.incarnation != holder.incarnation) {
            state.responses[id].consecutive_failures = 0;
        }
    }
    state.holders = std::move(holders);
}

auto assign_initial_ranges(range_grantor& state) -> bool {
    auto total = 0.0;
    for (const auto& [id, holder] : state.holders) {
        total += holder.eligible ? holder.capacity : 0;
    }
    if (total <= 0) {
        return false;
    }
    auto share = 0.0;
    auto first = shard_key{0};
    for (const auto& [id, holder] : state.holders) {
        if (!holder.eligible) {
            continue;
        }
        share += holder.capacity / total;
        const auto end = std::min<shard_key>(
            last_shard_key + 1, static_cast<shard_key>(std::lround(share * (last_shard_key + 1))));
        if (end > first) {
            state.map.ranges.push_back({.first = first,
                                        .last = end - 1,
                                        .fence = ++state.map.fences_used,
                                        .holder = holder.incarnation});
            first = end;
        }
    }
    state.map.ranges.back().last = last_shard_key;
    for (const auto& range : state.map.ranges) {
        // Nothing is granted until the record is known to be in the store.
        state.unrecorded_intents.insert(range.fence);
        progress_of(state, range) = {};
    }
    state.changed = true;
    return true;
}

auto start_move(range_grantor& state, shard_key first, shard_key last, const target_incarnation& to) -> void {
    auto index = find_index(state, first);
    if (index >= state.map.ranges.size() || state.map.ranges[index].is_moving() ||
        state.map.ranges[index].last < last) {
        return;
    }
    if (state.map.ranges[index].first < first) {
        split_before(state, index, first);
        ++index;
    }
    split_before(state, index, last + 1 > state.map.ranges[index].last ? 0 : last + 1);
    set_next_holder(state, state.map.ranges[index], to);
}

auto due_commands(range_grantor& state, instant now) -> std::vector<holder_command> {
    auto commands = std::vector<holder_command>{};
    if (state.record_lost && now >= std::max(state.moves_allowed_from, state.lost_grants_until)) {
        state.record_lost = false;
        state.map.holders_uncertain = false;
        state.changed = !state.map.ranges.empty();
    }
    for (const auto& holder : remove_expired(state.overdue, longest_term(state.options), now)) {
        // It may read the grant later still, so it is asked after its keys have moved.
        auto& uncertain_until = state.responses[holder].uncertain_until;
        uncertain_until = std::max(uncertain_until, now);
    }
    if (!state.owns_record || state.record_lost) {
        return commands;
    }
    commands = begin_due_commands(state, find_due_commands(state, now), now);
    auto behind = due_releases_behind(state.overdue, state.map, state.unrecorded_intents, now);
    // They are sent before the grants to the next holders.
    commands.insert(commands.begin(), std::make_move_iterator(behind.begin()),
                    std::make_move_iterator(behind.end()));
    auto present = std::set<target_incarnation>{};
    for (const auto& [id, holder] : state.holders) {
        present.insert(holder.incarnation);
    }
    auto releases = due_stale_releases(state.former, state.map, present, now);
    std::move(releases.begin(), releases.end(), std::back_inserter(commands));
    return commands;
}

auto on_command_finished(range_grantor& state, const holder_command& command, command_result result,
                         const std::string& handover, instant sent, instant now) -> void {
    auto& holder = state.responses[command.to.id];
    const auto& options = state.options;
    if (command.has_place) {
        end_order(state.window, command.to.id, result, now);
    }
    // A process that was suspended aborts its calls late, and a holder may read them later still.
    const auto latest_end =
        std::max(now, sent + options.call_timeout) + options.late_reading + longest_term(options);
    on_stale_release_finished(state.former, command, result, now);
    if (result == command_result::done || result == command_result::refused) {
        on_later_answer(state.overdue, command.to.id, sent, now);
    }
    if (command.kind == command_kind::release) {
        // A target without keys is sent no grants that would show that it answers again.
        const auto is_back = result == command_result::done && holder.has_failed_release;
        holder.consecutive_failures = is_back ? 0 : holder.consecutive_failures;
        holder.has_failed_release = result != command_result::done;
    }
    if (command.kind == command_kind::grant) {
        // A process that is short of time ends calls that it has not got round to.
        const auto has_failed = result != command_result::refused &&
                                !(result == command_result::not_sent && is_short_of_time(state.window));
        holder.consecutive_failures =
            result == command_result::done ? 0 : holder.consecutive_failures + (has_failed ? 1 : 0);
        if (result == command_result::unanswered) {
            holder.uncertain_until = std::max(holder.uncertain_until, latest_end);
        } else if (result == command_result::overdue) {
            add_overdue_grant(state.overdue, command, sent, latest_end);
        }
    }
    // The range may have been split since the call; the result applies to each part.
    for (auto& range : ranges_with(state.map, {.first = command.first, .last = command.last})) {
        if (range.fence != command.fence || range.first < command.first || range.last > command.last) {
            continue;
        }
        auto& progress = progress_of(state, range);
        progress.call_pending = false;
        if (command.kind == command_kind::release) {
            // A release that was sent before the answer to a grant may have been read before that grant.
            progress.released = result == command_result::done && sent >= progress.answered_at;
            progress.handover = result == command_result::done ? handover : std::string{};
            progress.next_call_at = now + options.retry_delay;
            continue;
        }
        if (result == command_result::not_sent) {
            progress.may_hold_until = progress.previous_may_hold_until;
        }
        if (result == command_result::unanswered || result == command_result::overdue) {
            progress.may_hold_until = std::max(progress.may_hold_until, latest_end);
        }
        if (result == command_result::done) {
            on_acknowledged(progress, command.call, now);
            progress.may_hold_until = std::max(progress.previous_may_hold_until, now + longest_term(options));
            state.changed = state.changed || !progress.confirmed;
            progress.confirmed = true;
            progress.next_call_at = range.is_moving() ? now : sent + options.renewal_interval;
        } else if (result == command_result::refused && !range.is_moving()) {
            // The holder has seen a higher fence on some of the keys, so a new fence is needed.
            set_next_holder(state, range, range.holder);
            progress.next_call_at = now;
        } else {
            progress.next_call_at = now + options.retry_delay;
        }
    }
}

auto next_write(range_grantor& state) -> std::optional<key_map> {
    if (!state.changed || state.writing) {
        return std::nullopt;
    }
    state.changed = false;
    state.writing = true;
    state.map.former_holdings = recorded_former_holdings(state.former);
    return state.map;
}

auto on_write_failed(range_grantor& state) -> void {
    state.writing = false;
    state.changed = true;
}

auto on_written(range_grantor& state, const key_map& written, const store_revision& revision) -> void {
    state.writing = false;
    state.owns_record = true;
    state.recorded_era = written.era;
    state.map.revision = revision;
    for (const auto& range : written.ranges) {
        state.unrecorded_intents.erase(range.is_moving() ? range.next_fence : range.fence);
    }
}

auto is_recorded(const range_grantor& state, std::uint64_t era) -> bool {
    const auto is_written = state.owns_record && state.recorded_era == era;
    const auto is_empty = state.map.ranges.empty() && state.map.revision.era == era;
    return !state.record_lost && (is_written || is_empty);
}

auto is_certain(const range_grantor& state, const target_id& holder, instant now) -> bool {
    return !is_awaited(state.overdue, holder) && has_no_uncertain_grant(state, holder, all_keys, now);
}

auto is_served(const range_grantor& state, std::size_t index) -> bool {
    const auto& range = state.map.ranges[index];
    const auto by_fence = state.progress.find(range.fence);
    if (range.is_moving() || by_fence == state.progress.end()) {
        return false;
    }
    const auto found = by_fence->second.find(range.first);
    return found != by_fence->second.end() && found->second.confirmed;
}

} // namespace teaselcross
