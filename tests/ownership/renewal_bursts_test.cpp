// Renewals of many ranges: a controller with as many ranges as a grown deployment sends them in no burst, and
// each of them in time, also when its ticks are late or some calls fail at once.

#include "ownership/range_grantor.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace teaselcross::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto range_count = 800U;

/// One target with all ranges, which were granted in the same tick.
class renewal_bursts_test : public testing::Test {
protected:
    renewal_bursts_test() {
        const auto holder = target_incarnation{.id = target_id{"a"}, .start_time_ms = 1};
        auto map = key_map{.fences_used = range_count};
        for (auto index = 0U; index < range_count; ++index) {
            map.ranges.push_back({.first = index,
                                  .last = index + 1 == range_count ? last_shard_key : index,
                                  .fence = index + 1,
                                  .holder = holder});
        }
        take_over(m_state, std::move(map), m_now, m_now);
        set_holders(m_state, {{holder.id, {.incarnation = holder, .eligible = true, .capacity = 10}}});
        on_written(m_state, *next_write(m_state), {.number = 1});
    }

    /// Ticks for 10 s. Calls for keys below @a failing_below are not sent.
    auto run(duration tick, shard_key failing_below = 0) -> void {
        for (const auto end = m_now + seconds{10}; m_now < end; m_now += tick) {
            const auto commands = due_commands(m_state, m_now);
            for (const auto& each : commands) {
                const auto is_start = !m_granted_at.contains(each.first);
                const auto is_failing = !is_start && each.first < failing_below;
                on_command_finished(m_state, each,
                                    is_failing ? command_result::not_sent : command_result::done, "", m_now,
                                    m_now);
                if (!is_failing) {
                    auto& before = m_granted_at[each.first];
                    m_longest_gap = std::max(m_longest_gap, is_start ? duration{} : m_now - before);
                    before = m_now;
                }
            }
            m_largest_burst = std::max(m_largest_burst, commands.size());
        }
        for (const auto& [first, at] : m_granted_at) {
            m_longest_gap = std::max(m_longest_gap, first < failing_below ? duration{} : m_now - at);
        }
        EXPECT_EQ(m_granted_at.size(), range_count);
    }

    range_grantor m_state;
    instant m_now = instant{seconds{10}};
    std::map<shard_key, instant> m_granted_at;
    duration m_longest_gap{};
    std::size_t m_largest_burst = 0;
};

// Guards against requests that wait while the event loop sends the renewals of all ranges: all were sent in
// the same tick, as their grants had been.
TEST_F(renewal_bursts_test, renewals_of_ranges_that_were_granted_together_are_spread) {
    run(milliseconds{40});
    EXPECT_LE(m_largest_burst, range_count / 4);
    EXPECT_LT(m_longest_gap, seconds{1});
}

// Guards against holders whose terms run out although they answer: the renewals of the first ranges, due
// again by the next tick, went before those of the others.
TEST_F(renewal_bursts_test, each_range_is_renewed_in_time_when_ticks_are_late) {
    run(milliseconds{400});
    EXPECT_LT(m_longest_gap, seconds{2});
}

// The same when calls for the first ranges cannot be sent, and are tried again soon.
TEST_F(renewal_bursts_test, each_range_is_renewed_in_time_beside_calls_that_fail_at_once) {
    run(milliseconds{40}, range_count / 4);
    EXPECT_LT(m_longest_gap, seconds{2});
}

} // namespace
} // namespace teaselcross::test
