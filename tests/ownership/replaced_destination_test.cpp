// Tests what becomes of the destination of a move that a controller and its successor chose differently.

#include "ownership/range_grantor.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace teaselcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto start = instant{seconds{100}};

auto incarnation(const char* id) -> target_incarnation {
    return {.id = target_id{id}, .start_time_ms = 1};
}

// Guards against two owners after a change of controller: the earlier one granted moving keys to a target
// that was suspended, and the successor, which chose another, never asked the suspended one to release them.
TEST(replaced_destination, is_asked_to_release_what_an_earlier_controller_may_have_granted) {
    auto state = range_grantor{};
    auto map = key_map{.revision = {.number = 5}, .fences_used = 7};
    map.ranges = {{.first = 0,
                   .last = last_shard_key,
                   .fence = 5,
                   .holder = incarnation("holder"),
                   .next_fence = 7,
                   .next = incarnation("suspended")}};
    take_over(state, map, start + seconds{5}, start);
    set_holders(state, {{target_id{"holder"}, {.incarnation = incarnation("holder"), .eligible = true}},
                        {target_id{"other"}, {.incarnation = incarnation("other"), .eligible = true}}});
    auto is_granted_to_other = false;
    auto is_suspended_one_asked = false;
    for (auto now = start; now < start + seconds{15}; now += milliseconds{40}) {
        start_evictions(state, {}, now);
        if (const auto written = next_write(state)) {
            on_written(state, *written, {.number = written->revision.number + 1});
        }
        for (const auto& command : due_commands(state, now)) {
            const auto is_grant = command.kind == command_kind::grant;
            is_granted_to_other = is_granted_to_other || (is_grant && command.to.id.value() == "other");
            is_suspended_one_asked =
                is_suspended_one_asked || (!is_grant && command.to.id.value() == "suspended");
            on_command_finished(state, command, command_result::done, is_grant ? "" : "token", now, now);
        }
    }
    EXPECT_TRUE(is_granted_to_other);
    EXPECT_TRUE(is_suspended_one_asked);
}

// Guards against two owners after a change of controller in which the record was lost: the latest map that is
// known names the destination of a move, which was suspended with the earlier controller's grant in its
// sockets, and the successor never asked it to release the keys.
TEST(replaced_destination, is_asked_to_release_when_the_record_was_lost) {
    auto state = range_grantor{};
    auto map = key_map{.revision = {.number = 5}, .fences_used = 7};
    map.ranges = {{.first = 0,
                   .last = last_shard_key,
                   .fence = 5,
                   .holder = incarnation("holder"),
                   .next_fence = 7,
                   .next = incarnation("suspended")}};
    take_over_lost_record(state, map, start + seconds{5}, start + seconds{5}, start);
    set_holders(state, {{target_id{"holder"}, {.incarnation = incarnation("holder"), .eligible = true}},
                        {target_id{"suspended"}, {.incarnation = incarnation("suspended")}}});
    auto is_granted_to_holder = false;
    auto is_suspended_one_asked = false;
    for (auto now = start; now < start + seconds{15}; now += milliseconds{40}) {
        start_evictions(state, {}, now);
        if (const auto written = next_write(state)) {
            on_written(state, *written, {.number = written->revision.number + 1});
        }
        for (const auto& command : due_commands(state, now)) {
            const auto is_grant = command.kind == command_kind::grant;
            is_granted_to_holder = is_granted_to_holder || (is_grant && command.to.id.value() == "holder");
            is_suspended_one_asked =
                is_suspended_one_asked || (!is_grant && command.to.id.value() == "suspended");
            on_command_finished(state, command, command_result::done, is_grant ? "" : "token", now, now);
        }
    }
    EXPECT_TRUE(is_granted_to_holder);
    EXPECT_TRUE(is_suspended_one_asked);
}

} // namespace
} // namespace teaselcross
