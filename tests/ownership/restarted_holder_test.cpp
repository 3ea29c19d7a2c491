// One owner at a time although targets restart: no answer names the process that gave it, so an order that
// was meant for one process may have been carried out by the next.

#include "ownership/range_grantor.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace teaselcross::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto start = instant{seconds{10}};
const auto first_process = target_incarnation{.id = target_id{"a"}, .start_time_ms = 1};
const auto second_process = target_incarnation{.id = target_id{"a"}, .start_time_ms = 2};
const auto third_process = target_incarnation{.id = target_id{"a"}, .start_time_ms = 3};
const auto other = target_incarnation{.id = target_id{"b"}, .start_time_ms = 1};

class restarted_holder_test : public testing::Test {
protected:
    /// Two holders whose grants were answered at the start; "a" has the lower half of the keys.
    restarted_holder_test() {
        list(first_process);
        EXPECT_TRUE(assign_initial_ranges(m_state));
        write();
        answer(start);
        write();
    }

    auto list(const target_incarnation& a) -> void {
        set_holders(m_state, {{a.id, {.incarnation = a, .eligible = true, .capacity = 10}},
                              {other.id, {.incarnation = other, .eligible = true, .capacity = 10}}});
    }
    auto write() -> void {
        if (auto map = next_write(m_state)) {
            on_written(m_state, *map, {.number = map->revision.number + 1});
        }
    }
    /// One step of the controller in which "a" gives @a result and "b" carries out what it is sent. Returns
    /// the commands.
    auto step(instant now, command_result result) -> std::vector<holder_command> {
        start_evictions(m_state, {}, now);
        write();
        const auto commands = due_commands(m_state, now);
        for (const auto& command : commands) {
            const auto given = command.to.id == other.id ? command_result::done : result;
            on_command_finished(m_state, command, given, given == command_result::done ? "token" : "", now,
                                now);
        }
        return commands;
    }
    auto answer(instant now) -> std::vector<holder_command> { return step(now, command_result::done); }

    /// Whether one of @a commands grants the lower half of the keys to "b".
    static auto gives_keys_to_other(const std::vector<holder_command>& commands) -> bool {
        return std::any_of(commands.begin(), commands.end(), [](const auto& command) {
            return command.kind == command_kind::grant && command.to == other && command.first == 0;
        });
    }
    auto longest_hold() const -> duration { return m_state.options.grant_term * 102 / 100; }

    range_grantor m_state;
};

// Guards against a second owner when a restarted target has answered a renewal that was meant for its earlier
// process.
TEST_F(restarted_holder_test, renewal_that_the_next_process_answered_delays_the_move) {
    const auto renewed = start + milliseconds{700};
    answer(renewed); // The next process has answered.
    list(second_process);
    for (auto now = renewed + milliseconds{100}; now < renewed + longest_hold(); now += milliseconds{20}) {
        ASSERT_FALSE(gives_keys_to_other(step(now, command_result::unanswered)))
            << (now - renewed).count() / 1000 << " ms after the renewal";
    }
}

// Guards against keys without an owner for as long as a grant lasts: the next process can release them.
TEST_F(restarted_holder_test, next_process_is_asked_to_release_the_keys) {
    list(second_process);
    const auto now = start + milliseconds{700};
    const auto fence = m_state.map.ranges.front().fence;
    const auto commands = answer(now);
    const auto release = std::find_if(commands.begin(), commands.end(), [](const auto& command) {
        return command.kind == command_kind::release;
    });
    ASSERT_NE(release, commands.end());
    EXPECT_EQ(release->to, second_process);
    EXPECT_EQ(release->fence, fence);
    EXPECT_TRUE(gives_keys_to_other(answer(now)));
}

// Guards against a second owner when a restarted target gets its own keys back under a new fence, cannot be
// reached, and loses them while the grant under the old fence is still in force.
TEST_F(restarted_holder_test, new_fence_for_the_next_process_does_not_end_the_grant_of_the_old_one) {
    const auto renewed = start + milliseconds{700};
    const auto commands = due_commands(m_state, renewed);
    for (const auto& command : commands) { // Uncertain, so that the next process is given its keys back.
        on_command_finished(m_state, command,
                            command.to == other ? command_result::done : command_result::unanswered, {},
                            renewed, renewed);
    }
    list(second_process);
    step(renewed + milliseconds{20}, command_result::not_sent);
    ASSERT_EQ(m_state.map.ranges.front().holder, second_process);
    list(third_process);
    for (auto now = renewed + milliseconds{40}; now < renewed + longest_hold(); now += milliseconds{20}) {
        ASSERT_FALSE(gives_keys_to_other(step(now, command_result::not_sent)))
            << (now - renewed).count() / 1000 << " ms after the grant that is in force";
    }
}

} // namespace
} // namespace teaselcross::test
