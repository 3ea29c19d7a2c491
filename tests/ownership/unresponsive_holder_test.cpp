// Targets that left grants unanswered and answer again.

#include "ownership/range_grantor.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace teaselcross::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto start = instant{seconds{10}};
constexpr auto tick = milliseconds{40};
const auto a = target_incarnation{.id = target_id{"a"}, .start_time_ms = 1};
const auto b = target_incarnation{.id = target_id{"b"}, .start_time_ms = 1};

auto write_now(range_grantor& state) -> void {
    if (auto map = next_write(state)) {
        on_written(state, *map, {.number = map->revision.number + 1});
    }
}

/// Runs the controller from @a now to @a until; calls to "a" stay unanswered while @a is_cut_off.
auto run(range_grantor& state, instant& now, instant until, bool is_cut_off) -> void {
    for (; now < until; now += tick) {
        start_evictions(state, {}, now);
        write_now(state);
        for (const auto& command : due_commands(state, now)) {
            const auto is_answered = !is_cut_off || command.to.id != a.id;
            on_command_finished(state, command,
                                is_answered ? command_result::done : command_result::unanswered, "token", now,
                                now);
        }
    }
}

// Guards against targets without keys that get none until they restart, though they answer: after two data
// centres were cut off one after the other, one target was given all keys.
TEST(unresponsive_holder_test, target_that_answers_releases_again_may_get_keys) {
    auto state = range_grantor{};
    set_holders(state, {{a.id, {.incarnation = a, .eligible = true, .capacity = 10}},
                        {b.id, {.incarnation = b, .eligible = true, .capacity = 10}}});
    ASSERT_TRUE(assign_initial_ranges(state));
    write_now(state);
    auto now = start;
    run(state, now, start + seconds{1}, false);
    run(state, now, now + seconds{12}, true);
    ASSERT_TRUE(std::none_of(state.map.ranges.begin(), state.map.ranges.end(),
                             [](const auto& each) { return each.holder == a; }));
    run(state, now, now + seconds{2}, false);
    set_holders(state, {{a.id, {.incarnation = a, .eligible = true, .capacity = 10}},
                        {b.id, {.incarnation = b, .leaving = true, .capacity = 10}}});
    run(state, now, now + seconds{5}, false);
    for (const auto& range : state.map.ranges) {
        EXPECT_EQ(range.holder.id, a.id) << range.first;
    }
}

} // namespace
} // namespace teaselcross::test
