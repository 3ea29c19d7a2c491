// Renewals of many ranges: a controller with as many ranges as a grown deployment sends none of them in a
// burst, and each of them in time.

#include "ownership/range_grantor.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace teaselcross::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against requests that wait while the event loop sends the renewals of all ranges: all were sent in
// the same tick, as their grants had been.
TEST(renewal_bursts_test, renewals_of_ranges_that_were_granted_together_are_spread) {
    constexpr auto range_count = 800U;
    constexpr auto tick = milliseconds{40};
    const auto holder = target_incarnation{.id = target_id{"a"}, .start_time_ms = 1};
    auto state = range_grantor{};
    auto now = instant{seconds{10}};
    auto map = key_map{.fences_used = range_count};
    for (auto index = 0U; index < range_count; ++index) {
        map.ranges.push_back({.first = index,
                              .last = index + 1 == range_count ? last_shard_key : index,
                              .fence = index + 1,
                              .holder = holder});
    }
    take_over(state, std::move(map), now, now);
    set_holders(state, {{holder.id, {.incarnation = holder, .eligible = true, .capacity = 10}}});
    on_written(state, *next_write(state), {.number = 1});
    auto granted_at = std::map<shard_key, instant>{};
    auto largest_burst = std::size_t{0};
    for (const auto end = now + seconds{10}; now < end; now += tick) {
        const auto commands = due_commands(state, now);
        const auto is_start = granted_at.empty();
        for (const auto& each : commands) {
            on_command_finished(state, each, command_result::done, "", now, now);
            auto& before = granted_at[each.first];
            EXPECT_TRUE(is_start || now - before < seconds{1}) << "range " << each.first;
            before = now;
        }
        largest_burst = std::max(largest_burst, is_start ? 0 : commands.size());
    }
    EXPECT_EQ(granted_at.size(), range_count);
    EXPECT_LE(largest_burst, range_count / 4);
}

} // namespace
} // namespace teaselcross::test
