// No two holders of a key on any path of a small world: every order of late calls, lost answers, orders that
// are sent late or not at all, restarts, pauses, new controllers and late writes, up to a number of faults.

#include "support/holder_explorer.h"

#include <gtest/gtest.h>

namespace teaselcross::test {
namespace {

auto expect_one_holder(const holder_world& world, int depth, std::uint64_t least_states) -> void {
    const auto found = explore_holders(world, depth);
    EXPECT_TRUE(found.broken.empty()) << found.broken;
    EXPECT_GE(found.states, least_states);
}

auto expect_one_holder(const path_budget& budget, int depth, std::uint64_t least_states) -> void {
    expect_one_holder(world_with_one_range(budget), depth, least_states);
}

// Guards against a second owner when the next process of a target answers what was meant for the one before,
// when a grant is read late, or when it is decided before a bound and sent after it.
TEST(holder_exploration_test, two_faults_around_a_move_make_no_second_holder) {
    expect_one_holder({.faults = 2, .moves = 1}, 16, 70'000);
}

// Guards against a second owner when a restarted target gets its own keys back or is replaced as the next
// holder, and its earlier grants are forgotten.
TEST(holder_exploration_test, three_faults_around_a_move_make_no_second_holder) {
    expect_one_holder({.faults = 3, .moves = 1}, 7, 50'000);
}

// Guards against a second owner when a range is split while a grant of the whole range is on its way.
TEST(holder_exploration_test, two_faults_around_a_move_of_half_the_keys_make_no_second_holder) {
    expect_one_holder({.faults = 2, .moves = 1, .splits = true}, 12, 100'000);
}

// Guards against a second owner when the answer to a renewal shortens the time for which an earlier grant,
// that was aborted and may still be read, counts as held.
TEST(holder_exploration_test, renewal_after_an_aborted_grant_makes_no_second_holder) {
    auto world = world_with_one_range({.faults = 1, .moves = 1});
    world.controller.options.late_reading = 3 * step_length;
    const auto found = explore_holders(world, 16);
    EXPECT_TRUE(found.broken.empty()) << found.broken;
}

// Guards against a second owner when a new controller doesn't count with the late reading of grants that the
// one before it sent.
TEST(holder_exploration_test, grant_that_is_read_late_after_a_takeover_makes_no_second_holder) {
    auto world = world_with_one_range({.faults = 2, .moves = 1});
    world.controller.options.late_reading = step_length;
    const auto found = explore_holders(world, 16);
    EXPECT_TRUE(found.broken.empty()) << found.broken;
}

// Guards against a second owner when a recorded move gets another destination, and the next controller
// doesn't know that the first destination may hold the keys.
TEST(holder_exploration_test, two_takeovers_during_a_move_make_no_second_holder) {
    auto world = world_with_one_range({.faults = 3, .moves = 0});
    world.targets[0] = {.start_time_ms = 2}; // It has restarted.
    const auto found = explore_holders(world, 5);
    EXPECT_TRUE(found.broken.empty()) << found.broken;
}

// The promise for grants on open connections, which are read as late as the path likes: two targets hold a
// key only if the earlier one had a grant unread for longer than its controller counts with, and then not
// beyond the step in which it reads that grant, for as long as that controller is there.

// Guards against a second owner when a grant is overdue and then read at any time, around a move.
TEST(holder_exploration_test, grant_that_is_read_at_any_time_makes_no_second_holder_beyond_its_step) {
    auto world = world_with_one_range({.faults = 2, .moves = 1});
    world.has_overdue_grants = true;
    expect_one_holder(world, 16, 100'000);
}

// Guards against a second owner when the release behind an overdue grant is taken for proof that another
// grant of the holder, in flight when that release was sent, has no effect.
TEST(holder_exploration_test, release_behind_one_grant_after_another_makes_no_second_holder_beyond_its_step) {
    auto world = world_with_overdue_grant({.faults = 2, .moves = 1});
    world.closes_overdue = false;
    expect_one_holder(world, 10, 80'000);
}

// Guards against a second owner when the connection of an overdue grant ends after the controller stopped
// counting with the grant, and the target reads it within the time that applies to aborted calls.
TEST(holder_exploration_test, end_of_an_overdue_grants_connection_makes_no_second_holder_beyond_its_step) {
    expect_one_holder(world_with_overdue_grant({.faults = 2, .moves = 1}), 9, 60'000);
}

// Guards against a second owner when an overdue grant covers more keys than the range that moves.
TEST(holder_exploration_test, grant_of_more_keys_than_are_moved_makes_no_second_holder_beyond_its_step) {
    auto world = world_with_overdue_grant({.faults = 1, .moves = 2, .splits = true});
    world.controller.options.late_reading = step_length;
    expect_one_holder(world, 12, 50'000);
}

// Guards against an exploration that is too weak: calls that are read later than the controller counts with
// make a second holder.
TEST(holder_exploration_test, grant_that_is_read_too_late_is_found) {
    auto world = world_with_one_range({.faults = 2, .moves = 1});
    world.excess_delay = step_length;
    EXPECT_NE(explore_holders(world, 14).broken, "");
}

// Guards against an exploration that is too weak: a clock that is slower than the controller counts with
// makes a second holder.
TEST(holder_exploration_test, clock_that_is_too_slow_is_found) {
    auto world = world_with_one_range({.faults = 2, .moves = 1});
    world.excess_drift = 0.25;
    EXPECT_NE(explore_holders(world, 14).broken, "");
}

// Guards against an exploration that is too weak: a grant that is read after the keys have moved makes a
// second holder if no release follows it on its connection.
TEST(holder_exploration_test, release_that_is_not_sent_behind_a_grant_is_found) {
    auto world = world_with_overdue_grant({.faults = 0, .moves = 1});
    EXPECT_EQ(explore_holders(world, 8).broken, "");
    world.sends_behind = false;
    EXPECT_NE(explore_holders(world, 8).broken, "");
}

// Guards against an exploration that is too weak: a grant that is read late makes a second holder if its
// answer is ignored and the keys move later.
TEST(holder_exploration_test, late_answer_that_is_ignored_is_found) {
    auto world = world_with_overdue_grant({.faults = 1, .moves = 1});
    world.closes_overdue = false;
    EXPECT_EQ(explore_holders(world, 8).broken, "");
    world.notices_overdue = false;
    EXPECT_NE(explore_holders(world, 8).broken, "");
}

} // namespace
} // namespace teaselcross::test
