#include "support/holder_world.h"

#include "support/holder_calls.h"

#include <algorithm>

namespace teaselcross::test {

auto name_of(std::size_t target) -> target_id {
    return target_id{target == 0 ? "a" : "b"};
}

auto index_of(const target_id& target) -> std::size_t {
    return target == name_of(0) ? 0 : 1;
}

namespace {

using std::chrono::milliseconds;

auto set_list(holder_world& world) -> void {
    auto holders = std::map<target_id, key_holder>{};
    for (auto index = std::size_t{0}; index < world.targets.size(); ++index) {
        if (!world.targets[index].is_listed) {
            continue;
        }
        const auto id = name_of(index);
        holders[id] = {.incarnation = {.id = id, .start_time_ms = world.targets[index].listed_start_time_ms},
                       .eligible = true,
                       .capacity = 10};
    }
    set_holders(world.controller, std::move(holders));
}

auto end_write(holder_world& world) -> void {
    const auto revision = store_revision{.number = world.recorded.revision.number + 1};
    world.recorded = *world.write;
    world.recorded.revision = revision;
    on_written(world.controller, *world.write, revision);
    world.write.reset();
}

/// Whether the controller may tell its successor that all is recorded and certain.
auto may_resign_cleanly(const holder_world& world) -> bool {
    const auto& state = world.controller;
    const auto has_grant_in_flight =
        std::any_of(world.calls.begin(), world.calls.end(), [](const auto& each) {
            return each.is_awaited && each.is_sent && each.command.kind == command_kind::grant;
        });
    return !has_grant_in_flight && !state.changed && !state.writing &&
           world.now >= state.moves_allowed_from &&
           std::all_of(state.responses.begin(), state.responses.end(),
                       [&](const auto& each) { return is_certain(state, each.first, world.now); });
}

/// A controller that knows only the record. Nobody waits for the answers to calls of the one before.
auto replace_controller(holder_world& world, chooser& choices) -> void {
    if (world.write && choices.choose(2) == 0) {
        note(world, choices, "the write in flight is carried out");
        end_write(world);
    }
    world.write.reset();
    const auto is_clean = may_resign_cleanly(world) && choices.choose(2) == 1;
    note(world, choices,
         is_clean ? "a successor takes over from a clean resignation" : "a successor takes over");
    std::erase_if(world.calls, [](const auto& each) { return !each.is_sent; });
    for (auto& call : world.calls) {
        call.ended = call.is_awaited ? world.now : call.ended;
        call.closed = call.is_overdue ? world.now : call.closed;
        call.is_awaited = false;
        call.is_overdue = false;
        call.has_release_answers = false;
        call.is_orphaned = true;
        call.answer.reset();
    }
    world.is_paused = false;
    auto successor = range_grantor{};
    successor.options = world.controller.options;
    successor.overdue.options = world.controller.overdue.options;
    const auto remaining = is_clean ? duration::zero() : max_remaining_hold(successor.options);
    take_over(successor, world.recorded, world.now + remaining, world.now);
    world.controller = std::move(successor);
    set_list(world);
}

auto restart(holder_world& world, std::size_t target, chooser& choices) -> void {
    auto& process = world.targets[target];
    ++process.start_time_ms;
    process.halves = {};
    note(world, choices,
         name_of(target).value() + " restarts as process " + std::to_string(process.start_time_ms));
}

auto start_some_move(holder_world& world, chooser& choices) -> void {
    auto& state = world.controller;
    --world.budget.moves;
    const auto& range = state.map.ranges[choices.choose(state.map.ranges.size())];
    const auto is_split =
        world.budget.splits && range.first == 0 && range.last == last_shard_key && choices.choose(2) == 1;
    const auto last = is_split ? first_key(1) - 1 : range.last;
    const auto to = name_of(1 - index_of(range.holder.id));
    const auto listed = state.holders.find(to);
    if (listed == state.holders.end()) {
        return;
    }
    note(world, choices,
         "the controller moves keys " + std::to_string(range.first) + "-" + std::to_string(last) + " to " +
             to.value());
    start_move(state, range.first, last, listed->second.incarnation);
}

/// At most one event a step, apart from those of the calls and of the list.
auto choose_event(holder_world& world, chooser& choices) -> void {
    enum event : std::size_t {
        nothing,
        move,
        restart_a,
        restart_b,
        missing_a,
        missing_b,
        replacement,
        pause
    };
    if (world.is_paused && choices.choose(2) == 0) {
        note(world, choices, "the controller goes on");
        world.is_paused = false;
    }
    auto events = std::vector<std::size_t>{nothing};
    if (world.budget.moves > 0 && !world.is_paused) {
        events.push_back(move);
    }
    if (world.budget.faults > 0) {
        for (const auto fault : {restart_a, restart_b, missing_a, missing_b}) {
            events.push_back(fault);
        }
    }
    if (world.budget.faults > 0 && !world.is_paused) {
        events.push_back(pause);
    }
    const auto event = events[choices.choose(events.size())];
    world.budget.faults -= event > move ? 1 : 0;
    if (event == move) {
        start_some_move(world, choices);
    } else if (event == restart_a || event == restart_b) {
        restart(world, event - restart_a, choices);
    } else if (event == missing_a || event == missing_b) {
        world.targets[event - missing_a].is_listed = false;
        note(world, choices, "the list lacks " + name_of(event - missing_a).value());
    } else if (event == pause) {
        world.is_paused = true;
        note(world, choices, "the controller pauses");
    }
}

/// A restart is listed in any later step, and a target that is missing is listed again.
auto change_list(holder_world& world, chooser& choices) -> void {
    for (auto index = std::size_t{0}; index < world.targets.size(); ++index) {
        auto& target = world.targets[index];
        const auto is_current = target.is_listed && target.listed_start_time_ms == target.start_time_ms;
        if (is_current || choices.choose(2) == 1) {
            continue;
        }
        target.is_listed = true;
        target.listed_start_time_ms = target.start_time_ms;
        note(world, choices,
             "the list names process " + std::to_string(target.start_time_ms) + " of " +
                 name_of(index).value());
    }
}

auto write_map(holder_world& world, chooser& choices) -> void {
    if (world.write && choices.choose(2) == 0) {
        end_write(world);
        note(world, choices, "the late write is carried out");
    }
    if (world.write) {
        return;
    }
    world.write = next_write(world.controller);
    if (world.write && !chooses_fault(world, choices)) {
        end_write(world);
    } else if (world.write) {
        note(world, choices, "a write of the map is late");
    }
}

} // namespace

auto take_step(holder_world& world, chooser& choices) -> bool {
    world.now += step_length;
    choose_event(world, choices);
    proceed_calls(world, choices);
    change_list(world, choices);
    if (!world.is_paused) {
        set_list(world);
        start_evictions(world.controller, {}, world.now);
        write_map(world, choices);
        send_due_commands(world, choices);
    }
    if (chooses_fault(world, choices)) { // Right after its calls were sent.
        replace_controller(world, choices);
    }
    return !world.is_broken;
}

auto model_options() -> range_grantor_options {
    // With these the longest hold ends on a step, so that a bound that is too short by a step is found.
    return {.grant_term = milliseconds{400},
            .renewal_interval = milliseconds{200},
            .retry_delay = milliseconds{100},
            .call_timeout = milliseconds{200},
            .release_timeout = milliseconds{200},
            .margin = milliseconds{100},
            .late_reading = {},
            .clock_drift = 0.25,
            .max_unanswered_grants = 2};
}

auto world_with_one_range(const path_budget& budget) -> holder_world {
    auto world = holder_world{.now = world_start, .budget = budget};
    world.controller.options = model_options();
    set_holders(
        world.controller,
        {{name_of(0),
          {.incarnation = {.id = name_of(0), .start_time_ms = 1}, .eligible = true, .capacity = 10}}});
    assign_initial_ranges(world.controller);
    world.write = next_write(world.controller);
    end_write(world);
    for (const auto& command : due_commands(world.controller, world.now)) {
        const auto result = carry_out(world, command, true);
        on_command_finished(world.controller, command, result, {}, world.now, world.now);
    }
    world.write = next_write(world.controller);
    end_write(world);
    set_list(world);
    return world;
}

auto world_with_overdue_grant(const path_budget& budget) -> holder_world {
    auto world = world_with_one_range(budget);
    const auto& options = world.controller.options;
    // Only the usual time of reading counts, so that paths are short.
    world.controller.overdue.options = {.reading_spread = {}, .longest_reading = {}};
    world.has_overdue_grants = true;
    world.now += options.renewal_interval;
    for (auto& command : due_commands(world.controller, world.now)) {
        command.call = ++world.calls_sent;
        world.calls.push_back({.command = std::move(command), .is_sent = true, .sent = world.now});
    }
    world.now += options.call_timeout;
    for (auto& call : world.calls) {
        call.is_overdue = true;
        finish(world, call, command_result::overdue);
        world.now = std::max(world.now, counted_until(world, call));
    }
    world.now += step_length;
    for (const auto& command : due_commands(world.controller, world.now)) {
        const auto result = carry_out(world, command, true);
        on_command_finished(world.controller, command, result, {}, world.now, world.now);
    }
    return world;
}

} // namespace teaselcross::test
