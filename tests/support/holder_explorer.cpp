#include "support/holder_explorer.h"

#include <algorithm>
#include <unordered_map>

namespace teaselcross::test {

namespace {

/// A state as bytes. Times that have passed are alike.
class state_key {
public:
    explicit state_key(const holder_world& world) : m_now{world.now} {
        add(static_cast<std::uint64_t>((world.now - world_start) / step_length), world.budget.moves,
            world.is_paused);
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
        for (const auto& [id, each] : state.holders) {
            add(each.incarnation);
        }
        add(state.responses.size());
        for (const auto& [id, each] : state.responses) {
            add(index_of(id), each.consecutive_failures, each.has_failed_release, each.uncertain_until,
                each.uncertain_until != instant{});
        }
        add(state.window.in_flight, state.window.in_doubt, state.window.targets.size());
        for (const auto& [id, each] : state.window.targets) {
            add(index_of(id), each.in_flight, each.in_doubt, each.failures, each.failing_since, each.next_at);
        }
        add(state.former.entries.size());
        for (const auto& each : state.former.entries) {
            add(each.holder);
            add(each.first, each.last, each.fence, each.next_call_at, each.releases, each.is_reachable,
                each.call_pending, each.is_call_outdated);
        }
        for (const auto& [call, each] : state.overdue.entries) {
            const auto& options = state.overdue.options;
            add(place_of(world, each.call), each.may_hold_until, each.sent + options.longest_reading,
                each.later_answer_at != instant{}, each.later_answer_at + options.reading_spread,
                each.released.size());
            for (const auto& keys : each.released) {
                add(keys.first, keys.last);
            }
        }
        for (const auto& each : world.targets) {
            add(each.start_time_ms, each.listed_start_time_ms, each.is_listed);
            for (const auto& half : each.halves) {
                add(half.fence, half.until, half.certain_until);
            }
        }
        add(world.calls.size());
        for (const auto& each : world.calls) {
            add(static_cast<int>(each.command.kind), each.command.first, each.command.last,
                each.command.fence, each.is_sent, each.is_read, each.is_awaited,
                each.is_sent ? (world.now - each.sent).count() : 0, each.answer.has_value(),
                each.answer.value_or(command_result::done),
                each.ended == instant{} ? 0 : (world.now - each.ended).count());
            add(each.command.to);
            add(each.is_overdue, each.is_orphaned, each.has_release_answers, each.behind.size(),
                each.closed == instant{} ? 0 : (world.now - each.closed).count());
            for (const auto& release : each.behind) {
                add(release.first, release.last, release.fence);
            }
            add_answers_since(state, each);
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
    /// The place of the call with that identifier among those in flight.
    static auto place_of(const holder_world& world, std::uint64_t call) -> std::size_t {
        const auto found = std::find_if(world.calls.begin(), world.calls.end(), [call](const auto& each) {
            return each.is_sent && each.command.call == call;
        });
        return static_cast<std::size_t>(found - world.calls.begin());
    }
    /// Whether grants of the keys were answered after the release @a call was sent, or those behind it.
    auto add_answers_since(const range_grantor& state, const holder_call_state& call) -> void {
        for (const auto& release : call.behind) {
            const auto known = state.progress.find(release.fence);
            if (known == state.progress.end()) {
                continue;
            }
            for (const auto& [key, each] : known->second) {
                add(each.answered_call == release.behind, each.answered_at <= release.decided_at,
                    each.other_answered_at <= release.decided_at);
            }
        }
        const auto found = state.progress.find(call.command.fence);
        if (call.command.kind != command_kind::release || !call.is_sent || !call.is_awaited ||
            found == state.progress.end()) {
            return;
        }
        for (const auto& [key, each] : found->second) {
            add(each.answered_at > call.sent);
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
        add(map.former_holdings.size());
        for (const auto& each : map.former_holdings) {
            add(each.holder, each.first, each.last, each.fence);
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
