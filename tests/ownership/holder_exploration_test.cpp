// No two holders of a key on any path of a small world: every order of late calls, lost answers, orders that
// are sent late or not at all, restarts, new controllers and late writes, up to a number of faults.

#include "support/holder_world.h"

#include <gtest/gtest.h>

#include <iostream>

namespace teaselcross::test {
namespace {

auto expect_one_holder(const path_budget& budget, int depth) -> void {
    const auto found = explore_holders(world_with_one_range(budget), depth);
    std::cout << found.states << " states, " << found.steps << " steps\n";
    EXPECT_EQ(found.broken, "");
}

// Guards against a second owner when the next process of a target answers what was meant for the one before.
TEST(holder_exploration_test, no_two_holders_of_a_key_with_two_faults) {
    expect_one_holder({.faults = 2, .moves = 1}, 16);
}

} // namespace
} // namespace teaselcross::test
