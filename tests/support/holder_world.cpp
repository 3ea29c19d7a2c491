#include "support/holder_world.h"

#include <algorithm>
#include <sstream>
#include <unordered_map>

namespace teaselcross::test {

namespace {

using std::chrono::milliseconds;

constexpr auto start = instant{std::chrono::seconds{10}};
constexpr auto step_length = milliseconds{100};

auto name_of(std::size_t target) -> target_id {
    return target_id{target == 0 ? "a" : "b"};
}

auto index_of(const target_id& target) -> std::size_t {
    return target == name_of(0) ? 0 : 1;
}

/// Chooses within one step: repeats given choices, then takes the first of each.
class chooser {
public:
    chooser(std::vector<std::uint8_t> given, std::vector<std::string>* trace)
        : m_taken{std::move(given)}, m_trace{trace} {}

    /// One of @a count choices.
    auto choose(std::size_t count) -> std::size_t {
        if (m_position == m_taken.size()) {
            m_taken.push_back(0);
        }
        m_counts.push_back(count);
        return m_taken[m_position++];
    }
    /// The choices that follow these in order; none after the last.
    auto next() const -> std::optional<std::vector<std::uint8_t>> {
        auto following = m_taken;
        following.resize(m_position);
        while (!following.empty() && following.back() + 1U >= m_counts[following.size() - 1]) {
            following.pop_back();
        }
        if (following.empty()) {
            return std::nullopt;
        }
        ++following.back();
        return following;
    }
    auto taken() const -> const std::vector<std::uint8_t>& { return m_taken; }
    auto is_traced() const -> bool { return m_trace != nullptr; }
    auto trace(std::string line) -> void { m_trace->push_back(std::move(line)); }

private:
    std::vector<std::uint8_t> m_taken;
    std::vector<std::size_t> m_counts;
    std::size_t m_position = 0;
    std::vector<std::string>* m_trace;
};

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

auto note(const holder_world& world, chooser& choices, const std::string& what) -> void {
    if (choices.is_traced()) {
        const auto at = std::chrono::duration_cast<milliseconds>(world.now - start).count();
        choices.trace(std::to_string(at) + " ms: " + what);
    }
}

auto longest_hold(const range_grantor_options& options) -> duration {
    return duration{static_cast<duration::rep>(static_cast<double>(options.grant_term.count()) *
                                               (1 + options.clock_drift))};
}

auto timeout_of(const holder_world& world, const holder_command& command) -> duration {
    const auto& options = world.controller.options;
    return command.kind == command_kind::grant ? options.call_timeout : options.release_timeout;
}

auto first_key(std::size_t half) -> shard_key {
    return half == 0 ? 0 : (last_shard_key + 1) / 2;
}

/// The process at the address of @a command carries it out.
auto carry_out(holder_world& world, const holder_command& command) -> command_result {
    auto& halves = world.targets[index_of(command.to.id)].halves;
    const auto concerns = [&command](std::size_t half) {
        return command.first <= first_key(half) && first_key(half) <= command.last;
    };
    const auto is_grant = command.kind == command_kind::grant;
    for (auto half = std::size_t{0}; half < halves.size(); ++half) {
        if (is_grant && concerns(half) && halves[half].fence > command.fence) {
            return command_result::refused;
        }
    }
    for (auto half = std::size_t{0}; half < halves.size(); ++half) {
        auto& held = halves[half];
        if (!concerns(half) || held.fence > command.fence) {
            continue;
        }
        held.until = is_grant ? world.now + longest_hold(world.controller.options) : instant{};
        held.fence = is_grant ? command.fence : held.fence;
    }
    return command_result::done;
}

auto is_broken(const holder_world& world) -> bool {
    for (auto half = std::size_t{0}; half < 2; ++half) {
        if (std::all_of(world.targets.begin(), world.targets.end(),
                        [&](const auto& each) { return world.now < each.halves[half].until; })) {
            return true;
        }
    }
    return false;
}

auto finish(holder_world& world, holder_call_state& call, command_result result) -> void {
    call.is_awaited = false;
    on_command_finished(world.controller, call.command, result, result == command_result::done ? "token" : "",
                        call.sent, world.now);
}

/// The call is read, and answered if somebody waits and the answer is not lost.
auto read_call(holder_world& world, holder_call_state& call, bool is_lost, chooser& choices) -> void {
    const auto result = carry_out(world, call.command);
    call.is_read = true;
    const auto process = world.targets[index_of(call.command.to.id)].start_time_ms;
    note(world, choices,
         describe(call.command) + " is read by process " + std::to_string(process) + ": " +
             std::string{name_in(command_result_names, result)} +
             (!call.is_awaited ? ", nobody waits for the answer"
              : is_lost        ? ", the answer is lost"
                               : ""));
    if (call.is_awaited && !is_lost) {
        finish(world, call, result);
    }
}

/// Chooses whether a fault happens, if one may.
auto chooses_fault(holder_world& world, chooser& choices) -> bool {
    if (world.budget.faults == 0 || choices.choose(2) == 0) {
        return false;
    }
    --world.budget.faults;
    return true;
}

auto send_call(holder_world& world, holder_call_state& call, chooser& choices) -> void {
    call.is_sent = true;
    call.sent = world.now;
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

/// What becomes of the calls of earlier steps.
auto proceed_calls(holder_world& world, chooser& choices) -> void {
    for (auto& call : world.calls) {
        if (!call.is_sent) {
            enum fate : std::size_t { sent, not_sent, later };
            const auto fate = choices.choose(3);
            if (fate == sent) {
                send_call(world, call, choices);
            } else if (fate == not_sent) {
                give_up(world, call, choices);
            }
            continue;
        }
        if (!call.is_read && choices.choose(2) == 0) {
            read_call(world, call, call.is_awaited && chooses_fault(world, choices), choices);
        }
        if (call.is_awaited && world.now >= call.sent + timeout_of(world, call.command)) {
            note(world, choices, describe(call.command) + " is aborted");
            finish(world, call, command_result::unanswered);
        }
    }
    std::erase_if(world.calls, [&world](const auto& each) {
        const auto limit = each.sent + timeout_of(world, each.command) + world.controller.options.margin;
        return !each.is_awaited && (each.is_read || world.now >= limit);
    });
}

auto set_list(holder_world& world) -> void {
    auto holders = std::map<target_id, key_holder>{};
    for (auto index = std::size_t{0}; index < world.targets.size(); ++index) {
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
            return each.is_awaited && each.command.kind == command_kind::grant;
        });
    return !has_grant_in_flight && !state.changed && !state.writing &&
           world.now >= state.moves_allowed_from &&
           std::all_of(state.responses.begin(), state.responses.end(),
                       [&world](const auto& each) { return each.second.uncertain_until <= world.now; });
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
        call.is_awaited = false;
    }
    auto successor = range_grantor{};
    successor.options = world.controller.options;
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
    note(world, choices,
         "the controller moves keys " + std::to_string(range.first) + "-" + std::to_string(last) + " to " +
             to.value());
    start_move(state, range.first, last, state.holders.at(to).incarnation);
}

/// At most one event a step, apart from those of the calls and of the list.
auto choose_event(holder_world& world, chooser& choices) -> void {
    enum event : std::size_t { nothing, move, restart_a, restart_b, replacement };
    const auto may_move = world.budget.moves > 0;
    const auto may_fail = world.budget.faults > 0;
    auto events = std::vector<std::size_t>{nothing};
    if (may_move) {
        events.push_back(move);
    }
    if (may_fail) {
        events.insert(events.end(), {restart_a, restart_b, replacement});
    }
    const auto event = events[choices.choose(events.size())];
    world.budget.faults -= event >= restart_a ? 1 : 0;
    if (event == move) {
        start_some_move(world, choices);
    } else if (event == restart_a || event == restart_b) {
        restart(world, event - restart_a, choices);
    } else if (event == replacement) {
        replace_controller(world, choices);
    }
}

/// A restart is listed in any later step.
auto list_restarts(holder_world& world, chooser& choices) -> void {
    for (auto index = std::size_t{0}; index < world.targets.size(); ++index) {
        auto& target = world.targets[index];
        if (target.listed_start_time_ms != target.start_time_ms && choices.choose(2) == 0) {
            target.listed_start_time_ms = target.start_time_ms;
            note(world, choices,
                 "the list names process " + std::to_string(target.start_time_ms) + " of " +
                     name_of(index).value());
        }
    }
    set_list(world);
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

auto send_due_commands(holder_world& world, chooser& choices) -> void {
    for (auto& command : due_commands(world.controller, world.now)) {
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

/// One step of everything. Returns false if two targets then hold a key.
auto take_step(holder_world& world, chooser& choices) -> bool {
    world.now += step_length;
    choose_event(world, choices);
    proceed_calls(world, choices);
    if (is_broken(world)) {
        return false;
    }
    list_restarts(world, choices);
    start_evictions(world.controller, {}, world.now);
    write_map(world, choices);
    send_due_commands(world, choices);
    return !is_broken(world);
}

/// A state as bytes. Times that have passed are alike.
class state_key {
public:
    explicit state_key(const holder_world& world) : m_now{world.now} {
        add(static_cast<std::uint64_t>((world.now - start) / step_length), world.budget.moves);
        const auto& state = world.controller;
        add(state.changed, state.writing, state.owns_record, state.taken_over_at != instant{},
            state.moves_allowed_from, state.unrecorded_intents.size());
        for (const auto fence : state.unrecorded_intents) {
            add(fence);
        }
        add(state.map);
        add(world.recorded);
        add(world.write.has_value());
        add(world.write.value_or(key_map{}));
        for (const auto& [fence, by_key] : state.progress) {
            for (const auto& [key, each] : by_key) {
                add(fence, key, each.may_hold_until, each.previous_may_hold_until, each.next_call_at,
                    each.call_pending, each.released, each.confirmed, each.release_requested);
                add(each.possible_holder);
            }
        }
        for (const auto& [id, each] : state.responses) {
            add(index_of(id), each.consecutive_failures, each.uncertain_until,
                each.uncertain_until != instant{});
        }
        add(state.former.entries.size());
        for (const auto& each : state.former.entries) {
            add(each.holder);
            add(each.first, each.last, each.fence, each.next_call_at, each.releases, each.is_reachable,
                each.call_pending);
        }
        for (const auto& each : world.targets) {
            add(each.start_time_ms, each.listed_start_time_ms);
            for (const auto& half : each.halves) {
                add(half.fence, half.until);
            }
        }
        add(world.calls.size());
        for (const auto& each : world.calls) {
            add(static_cast<int>(each.command.kind), each.command.first, each.command.last,
                each.command.fence, each.is_sent, each.is_read, each.is_awaited,
                each.is_sent ? (world.now - each.sent).count() : 0);
            add(each.command.to);
        }
    }
    auto bytes() const -> const std::string& { return m_bytes; }

private:
    template <typename... Values>
    auto add(const Values&... values) -> void {
        (add_one(values), ...);
    }
    template <typename Value>
    auto add_one(const Value& value) -> void {
        if constexpr (std::is_same_v<Value, instant>) {
            add_one(std::max<duration::rep>((value - m_now).count(), 0));
        } else {
            m_bytes.append(reinterpret_cast<const char*>(&value), sizeof(value));
        }
    }
    auto add_one(const target_incarnation& each) -> void {
        add(each.id.empty() ? std::size_t{2} : index_of(each.id), each.start_time_ms);
    }
    auto add_one(const key_map& map) -> void {
        add(map.revision.number, map.fences_used, map.ranges.size());
        for (const auto& each : map.ranges) {
            add(each.first, each.last, each.fence, each.next_fence);
            add(each.holder, each.next);
        }
    }

    instant m_now;
    std::string m_bytes;
};

using step_choices = std::vector<std::uint8_t>;

class explorer {
public:
    explicit explorer(int depth) : m_depth{depth} {}

    /// Whether a path from @a world leads to two holders; it is in path() then.
    auto search(const holder_world& world, int depth) -> bool {
        if (depth == m_depth || !is_new(world)) {
            return false;
        }
        auto given = std::optional{step_choices{}};
        while (given) {
            auto after = world;
            auto choices = chooser{std::move(*given), nullptr};
            const auto holds = take_step(after, choices);
            ++m_result.steps;
            m_path.push_back(choices.taken());
            if (!holds || search(after, depth + 1)) {
                return true;
            }
            m_path.pop_back();
            given = choices.next();
        }
        return false;
    }
    auto path() const -> const std::vector<step_choices>& { return m_path; }
    auto result() const -> const holder_exploration& { return m_result; }

private:
    /// A state that was seen with at least as many faults left need not be searched again.
    auto is_new(const holder_world& world) -> bool {
        const auto bytes = state_key{world}.bytes();
        const auto [found, inserted] =
            m_seen.try_emplace(std::hash<std::string>{}(bytes), world.budget.faults);
        m_result.states += inserted ? 1 : 0;
        if (!inserted && found->second >= world.budget.faults) {
            return false;
        }
        found->second = world.budget.faults;
        return true;
    }

    int m_depth;
    std::vector<step_choices> m_path;
    std::unordered_map<std::size_t, int> m_seen;
    holder_exploration m_result;
};

auto describe_path(holder_world world, const std::vector<step_choices>& path) -> std::string {
    auto lines = std::vector<std::string>{};
    for (const auto& each : path) {
        auto choices = chooser{each, &lines};
        take_step(world, choices);
    }
    auto text = std::string{};
    for (const auto& each : lines) {
        text += each + "\n";
    }
    return text;
}

} // namespace

auto model_options() -> range_grantor_options {
    // With these the longest hold ends on a step, so that a bound that is too short by a step is found.
    return {.grant_term = milliseconds{400},
            .renewal_interval = milliseconds{200},
            .retry_delay = milliseconds{100},
            .call_timeout = milliseconds{200},
            .release_timeout = milliseconds{200},
            .margin = milliseconds{100},
            .clock_drift = 0.25,
            .max_unanswered_grants = 2};
}

auto world_with_one_range(const path_budget& budget) -> holder_world {
    auto world = holder_world{.now = start, .budget = budget};
    world.controller.options = model_options();
    set_holders(
        world.controller,
        {{name_of(0),
          {.incarnation = {.id = name_of(0), .start_time_ms = 1}, .eligible = true, .capacity = 10}}});
    assign_initial_ranges(world.controller);
    world.write = next_write(world.controller);
    end_write(world);
    for (const auto& command : due_commands(world.controller, world.now)) {
        const auto result = carry_out(world, command);
        on_command_finished(world.controller, command, result, {}, world.now, world.now);
    }
    world.write = next_write(world.controller);
    end_write(world);
    set_list(world);
    return world;
}

auto explore_holders(const holder_world& world, int depth) -> holder_exploration {
    auto found = holder_exploration{};
    const auto most_faults = world.budget.faults;
    for (auto faults = 0; faults <= most_faults; ++faults) {
        auto from = world;
        from.budget.faults = faults;
        // A path that breaks the promise is shortened as long as there is a shorter one.
        for (auto limit = depth; limit > 0;) {
            auto searched = explorer{limit};
            const auto is_found = searched.search(from, 0);
            found.states += searched.result().states;
            found.steps += searched.result().steps;
            if (!is_found) {
                break;
            }
            found.broken = describe_path(from, searched.path());
            limit = static_cast<int>(searched.path().size()) - 1;
        }
        if (!found.broken.empty()) {
            break;
        }
    }
    return found;
}

} // namespace teaselcross::test
