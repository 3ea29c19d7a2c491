// Tests how long a controller counts with the grants of the one before.

#include "ownership/range_grantor.h"

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

using std::chrono::milliseconds;

constexpr auto start = instant{std::chrono::seconds{100}};

auto incarnation(const char* id) -> target_incarnation {
    return {.id = target_id{id}, .start_time_ms = 1};
}

// Guards against keys without an owner for longer than needed after a controller and a holder were lost
// together: when it turns out that the earlier controller's grants expire sooner, the keys move then.
TEST(inherited_grants, lost_holder_is_awaited_no_longer_than_the_grants_of_the_earlier_controller) {
    auto map = key_map{.revision = {.number = 5}, .fences_used = 2};
    map.ranges = {{.first = 0, .last = 99, .fence = 1, .holder = incarnation("a")},
                  {.first = 100, .last = last_shard_key, .fence = 2, .holder = incarnation("b")}};
    auto taken = range_grantor{};
    take_over(taken, map, start + milliseconds{15000}, start);
    set_holders(taken, {{target_id{"a"}, {.incarnation = incarnation("a"), .eligible = true}},
                        {target_id{"b"}, {.incarnation = incarnation("b"), .eligible = true}}});
    const auto is_lost = [](const holder_command& command) { return command.to.id == target_id{"a"}; };
    const auto expired_from = start + milliseconds{6000};
    auto is_moved = false;
    for (auto now = start; now < expired_from + milliseconds{500}; now += milliseconds{40}) {
        if (now >= start + milliseconds{1000}) {
            taken.moves_allowed_from = expired_from;
        }
        start_evictions(taken, {}, now);
        if (const auto written = next_write(taken)) {
            on_written(taken, *written, {.number = written->revision.number + 1});
        }
        for (const auto& command : due_commands(taken, now)) {
            is_moved =
                is_moved || (command.kind == command_kind::grant && command.first == 0 && !is_lost(command));
            EXPECT_TRUE(!is_moved || now >= expired_from);
            on_command_finished(taken, command,
                                is_lost(command) ? command_result::not_sent : command_result::done, "", now,
                                now);
        }
    }
    EXPECT_TRUE(is_moved);
}

} // namespace
} // namespace teaselcross
