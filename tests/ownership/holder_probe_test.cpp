// Probes are releases of keys that another target holds. One may be read seconds after it was sent, when its
// target has got the key.

#include "ownership/holder_probe.h"
#include "ownership/range_grantor.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace teaselcross::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto start = instant{seconds{10}};
constexpr auto targets = 4;

auto name_of(std::uint64_t target) -> target_id {
    return target_id{"t" + std::to_string(target)};
}

auto holders_with(const std::vector<std::uint64_t>& start_times) -> std::map<target_id, key_holder> {
    auto holders = std::map<target_id, key_holder>{};
    for (auto target = std::size_t{0}; target < start_times.size(); ++target) {
        const auto id = name_of(target);
        holders[id] = {.incarnation = {.id = id, .start_time_ms = start_times[target]},
                       .eligible = true,
                       .capacity = 10};
    }
    return holders;
}

/// Whether a target that compares fences would lose or refuse @a grant if it read @a probe before or after
/// it.
auto is_affected_by(const holder_command& grant, const holder_command& probe) -> bool {
    return grant.to.id == probe.to.id && grant.first <= probe.first && probe.first <= grant.last &&
           grant.fence <= probe.fence;
}

/// Plays moves, restarts, lost answers and changes of controller. Returns the number of pairs of a grant and
/// a probe that was sent before it and affects it.
auto count_affected_grants(std::uint64_t seed) -> int {
    auto random = std::mt19937_64{seed};
    const auto one_in = [&random](std::uint64_t number) { return random() % number == 0; };
    auto start_times = std::vector<std::uint64_t>(targets, 1);
    auto state = range_grantor{};
    set_holders(state, holders_with(start_times));
    EXPECT_TRUE(assign_initial_ranges(state));
    auto recorded = key_map{};
    auto affected = 0;
    auto probes = std::vector<holder_command>{};
    for (auto now = start; now < start + seconds{40}; now += milliseconds{40}) {
        if (one_in(40)) {
            ++start_times[random() % targets];
        }
        set_holders(state, holders_with(start_times));
        if (one_in(300) && !recorded.ranges.empty()) {
            take_over(state, recorded, now + max_remaining_hold(state.options), now);
        }
        if (one_in(20)) {
            const auto& range = state.map.ranges[random() % state.map.ranges.size()];
            const auto& to = state.holders.at(name_of(random() % targets)).incarnation;
            const auto middle = range.first + (range.last - range.first) / 2;
            start_move(state, one_in(2) ? range.first : middle, range.last, to);
        }
        start_evictions(state, {}, now);
        if (const auto map = next_write(state)) {
            recorded = *map;
            recorded.revision = {.number = map->revision.number + 1};
            on_written(state, *map, recorded.revision);
        }
        for (const auto& command : due_commands(state, now)) {
            const auto result = one_in(4) ? command_result::unanswered : command_result::done;
            if (command.kind == command_kind::grant) {
                affected +=
                    static_cast<int>(std::count_if(probes.begin(), probes.end(), [&](const auto& probe) {
                        return is_affected_by(command, probe);
                    }));
                probes.push_back(make_probe(state.map, command));
            }
            on_command_finished(state, command, result, result == command_result::done ? "token" : "", now,
                                now);
        }
    }
    EXPECT_GT(probes.size(), 100U);
    return affected;
}

// Guards against keys that a target loses to a probe which it reads late, and grants that it refuses after
// one: each later grant of the key bears a higher fence.
TEST(holder_probe, bears_a_lower_fence_than_each_later_grant_to_its_target) {
    for (auto seed = std::uint64_t{1}; seed <= 20; ++seed) {
        EXPECT_EQ(count_affected_grants(seed), 0) << "seed " << seed;
    }
}

} // namespace
} // namespace teaselcross::test
