#include "support/holder_calls.h"

#include <algorithm>
#include <sstream>

namespace teaselcross::test {

namespace {

using std::chrono::milliseconds;

auto describe(const holder_command& command) -> std::string {
    auto text = std::ostringstream{};
    text << name_in(command_kind_names, command.kind) << " to " << command.to.id.value() << " (process "
         << command.to.start_time_ms << ") keys " << command.first << "-" << command.last << " fence "
         << command.fence;
    if (command.kind == command_kind::grant) {
        text << " proof " << name_in(move_proof_names, command.proof);
    }
    return text.str();
}

/// How long a process with the slowest clock uses a grant.
auto longest_hold(const holder_world& world) -> duration {
    const auto& options = world.controller.options;
    return duration{static_cast<duration::rep>(static_cast<double>(options.grant_term.count()) *
                                               (1 + options.clock_drift + world.excess_drift))};
}

auto timeout_of(const holder_world& world, const holder_command& command) -> duration {
    const auto& options = world.controller.options;
    return command.kind == command_kind::grant ? options.call_timeout : options.release_timeout;
}

/// Whether @a command is one of the keys of @a half.
auto concerns(const holder_command& command, std::size_t half) -> bool {
    return command.first <= first_key(half) && first_key(half) <= command.last;
}

} // namespace

auto note(const holder_world& world, chooser& choices, const std::string& what) -> void {
    if (choices.is_traced()) {
        const auto at = std::chrono::duration_cast<milliseconds>(world.now - world_start).count();
        choices.trace(std::to_string(at) + " ms: " + what);
    }
}

auto first_key(std::size_t half) -> shard_key {
    return half == 0 ? 0 : (last_shard_key + 1) / 2;
}

auto counted_until(const holder_world& world, const holder_call_state& call) -> instant {
    const auto aborted = std::max(call.ended, call.sent + timeout_of(world, call.command));
    return aborted + world.controller.options.margin + world.controller.options.late_reading;
}

auto carry_out(holder_world& world, const holder_command& command, bool is_certain) -> command_result {
    auto& halves = world.targets[index_of(command.to.id)].halves;
    const auto is_grant = command.kind == command_kind::grant;
    for (auto half = std::size_t{0}; half < halves.size(); ++half) {
        if (is_grant && concerns(command, half) && halves[half].fence > command.fence) {
            return command_result::refused;
        }
    }
    for (auto half = std::size_t{0}; half < halves.size(); ++half) {
        auto& held = halves[half];
        if (!concerns(command, half) || held.fence > command.fence) {
            continue;
        }
        held.until = is_grant ? world.now + longest_hold(world) : instant{};
        held.certain_until = is_grant && !is_certain ? held.certain_until : held.until;
        held.fence = is_grant ? command.fence : held.fence;
    }
    return command_result::done;
}

auto finish(holder_world& world, holder_call_state& call, command_result result) -> void {
    call.is_awaited = false;
    call.ended = world.now;
    on_command_finished(world.controller, call.command, result, result == command_result::done ? "token" : "",
                        call.sent, world.now);
}

auto chooses_fault(holder_world& world, chooser& choices) -> bool {
    if (world.budget.faults == 0 || choices.choose(2) == 0) {
        return false;
    }
    --world.budget.faults;
    return true;
}

namespace {

auto have_two_holders(const holder_world& world) -> bool {
    for (auto half = std::size_t{0}; half < 2; ++half) {
        const auto& one = world.targets[0].halves[half];
        const auto& other = world.targets[1].halves[half];
        const auto& earlier = one.fence < other.fence ? one : other;
        const auto& later = one.fence < other.fence ? other : one;
        if (world.now < earlier.certain_until && world.now < later.until) {
            return true;
        }
    }
    return false;
}

/// Ends the connection of an overdue grant, whose answer is @a result.
auto end_overdue(holder_world& world, holder_call_state& call, command_result result) -> void {
    call.is_overdue = false;
    call.closed = world.now;
    call.has_release_answers = result != command_result::unanswered && !call.behind.empty();
    if (world.notices_overdue) {
        on_overdue_answer(world.controller, call.command.call, result, world.now);
    }
}

/// The controller notices the answers to the releases behind @a call after other answers, or later.
auto notice_release_answers(holder_world& world, holder_call_state& call, chooser& choices) -> void {
    if (!call.has_release_answers || world.is_paused || chooses_fault(world, choices)) {
        return;
    }
    call.has_release_answers = false;
    for (const auto& release : call.behind) {
        note(world, choices, "the answer to " + describe(release) + " comes");
        on_release_behind_answered(world.controller, release, "token");
    }
}

/// The controller notices the answer to @a call, if it goes on.
auto notice_answer(holder_world& world, holder_call_state& call) -> void {
    if (call.answer && !world.is_paused) {
        const auto result = *call.answer;
        call.answer.reset();
        if (call.is_overdue) {
            end_overdue(world, call, result);
        } else {
            finish(world, call, result);
        }
    }
}

/// The target reads the releases behind @a call.
auto read_behind(holder_world& world, const holder_call_state& call, chooser& choices) -> void {
    for (const auto& release : call.behind) {
        carry_out(world, release, true);
        note(world, choices, describe(release) + " is read behind it");
    }
}

/// The controller that sent @a call has to count with it, now that it was read.
auto make_certain(holder_world& world, const holder_call_state& call) -> void {
    auto& halves = world.targets[index_of(call.command.to.id)].halves;
    for (auto half = std::size_t{0}; half < halves.size(); ++half) {
        if (concerns(call.command, half)) {
            halves[half].certain_until = halves[half].until;
        }
    }
    world.is_broken = world.is_broken || have_two_holders(world);
}

/// The call is read, and answered if somebody waits and the answer is not lost.
auto read_call(holder_world& world, holder_call_state& call, bool is_lost, chooser& choices) -> void {
    const auto is_certain = call.is_awaited || world.now <= counted_until(world, call) + world.excess_delay;
    const auto result = carry_out(world, call.command, is_certain);
    world.is_broken = world.is_broken || have_two_holders(world);
    call.is_read = true;
    const auto has_listener = call.is_awaited || call.is_overdue;
    const auto process = world.targets[index_of(call.command.to.id)].start_time_ms;
    note(world, choices,
         describe(call.command) + " is read by process " + std::to_string(process) + ": " +
             std::string{name_in(command_result_names, result)} +
             (!has_listener ? ", nobody waits for the answer"
              : is_lost     ? ", the answer is lost"
                            : "") +
             (is_certain ? "" : " (the controller did not count with it)"));
    read_behind(world, call, choices);
    if (!is_certain && !call.is_orphaned) {
        make_certain(world, call);
    }
    if (has_listener && !is_lost) {
        call.answer = result;
        notice_answer(world, call);
    }
}

auto send_call(holder_world& world, holder_call_state& call, chooser& choices) -> void {
    call.is_sent = true;
    call.sent = world.now;
    call.command.call = ++world.calls_sent;
    enum fate : std::size_t { answered, answer_lost, late };
    const auto fate = world.budget.faults == 0 ? answered : choices.choose(3);
    world.budget.faults -= fate == answered ? 0 : 1;
    if (fate == late) {
        note(world, choices, describe(call.command) + " is sent, and waits to be read");
        return;
    }
    read_call(world, call, fate == answer_lost, choices);
}

/// The order is given up before it was sent: no connection, or an unanswered probe.
auto give_up(holder_world& world, holder_call_state& call, chooser& choices) -> void {
    note(world, choices, describe(call.command) + " is not sent");
    call.is_read = true;
    call.sent = world.now;
    finish(world, call, command_result::not_sent);
}

/// An order that was decided in an earlier step is sent, given up, or neither yet.
auto proceed_order(holder_world& world, holder_call_state& call, chooser& choices) -> void {
    enum fate : std::size_t { sent, not_sent, later };
    const auto fate = choices.choose(3);
    if (fate == sent) {
        send_call(world, call, choices);
    } else if (fate == not_sent) {
        give_up(world, call, choices);
    }
}

/// When a call can no longer be read, if nobody waits for it.
auto read_limit(const holder_world& world, const holder_call_state& call) -> instant {
    const auto& options = world.controller.options;
    return std::max(counted_until(world, call), call.closed + options.margin + options.late_reading) +
           world.excess_delay;
}

/// The connection of @a call ends, as seen by its controller, before the answer was read.
auto close_overdue(holder_world& world, holder_call_state& call, chooser& choices) -> void {
    note(world, choices, "the connection of " + describe(call.command) + " ends");
    end_overdue(world, call, command_result::unanswered);
}

/// The time limit of @a call has passed.
auto end_call(holder_world& world, holder_call_state& call, chooser& choices) -> void {
    const auto may_be_overdue = world.has_overdue_grants && call.command.kind == command_kind::grant;
    // A lost answer was a fault already.
    const auto is_closed =
        !may_be_overdue || (call.is_read ? choices.choose(2) == 1 : chooses_fault(world, choices));
    note(world, choices, describe(call.command) + (is_closed ? " is aborted" : " is overdue"));
    call.is_overdue = !is_closed;
    finish(world, call, is_closed ? command_result::unanswered : command_result::overdue);
}

/// Sends @a release on the connection of the grant that it follows. It is read at once if the grant was.
auto send_behind(holder_world& world, const holder_command& release, chooser& choices) -> void {
    const auto found = std::find_if(world.calls.begin(), world.calls.end(), [&release](const auto& each) {
        return each.is_overdue && each.command.call == release.behind;
    });
    if (found == world.calls.end() || !world.sends_behind) {
        return;
    }
    note(world, choices, describe(release) + " is sent behind a grant");
    if (found->is_read) {
        carry_out(world, release, true); // No answer can come after the one that was lost.
    } else {
        found->behind.push_back(release);
    }
}

} // namespace

auto proceed_calls(holder_world& world, chooser& choices) -> void {
    for (auto& call : world.calls) {
        if (!call.is_sent) {
            if (!world.is_paused) {
                proceed_order(world, call, choices);
            }
            continue;
        }
        notice_answer(world, call);
        const auto may_close = call.is_overdue && world.closes_overdue && !world.is_paused;
        if (!call.is_read && choices.choose(2) == 0) {
            const auto may_be_lost = call.is_awaited || may_close;
            const auto is_lost = may_be_lost && chooses_fault(world, choices);
            read_call(world, call, is_lost, choices);
            if (is_lost && call.is_overdue) {
                close_overdue(world, call, choices);
            }
        } else if (may_close && chooses_fault(world, choices)) {
            close_overdue(world, call, choices);
        }
        const auto is_due = world.now >= call.sent + timeout_of(world, call.command);
        if (call.is_awaited && is_due && !world.is_paused) {
            end_call(world, call, choices);
        }
    }
    for (auto& call : world.calls) {
        notice_release_answers(world, call, choices);
    }
    std::erase_if(world.calls, [&world](const auto& each) {
        const auto is_listened_to = each.is_awaited || each.is_overdue || each.has_release_answers;
        return !is_listened_to && (each.is_read || world.now >= read_limit(world, each));
    });
}

auto send_due_commands(holder_world& world, chooser& choices) -> void {
    for (auto& command : due_commands(world.controller, world.now)) {
        if (command.behind != 0) {
            send_behind(world, command, choices);
            continue;
        }
        auto call = holder_call_state{.command = std::move(command)};
        if (!chooses_fault(world, choices)) {
            send_call(world, call, choices);
        } else if (choices.choose(2) == 0) {
            give_up(world, call, choices);
        } else {
            note(world, choices, describe(call.command) + " is decided, and sent later");
        }
        if (call.is_awaited || !call.is_read) {
            world.calls.push_back(std::move(call));
        }
    }
}

} // namespace teaselcross::test
