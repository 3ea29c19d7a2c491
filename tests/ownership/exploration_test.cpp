// All interleavings of two controllers, two keepers and two targets over one shard, to a stated depth, and
// long random sequences beyond it.

#include "support/explorer.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <iostream>
#include <random>

namespace teaselcross::test {

namespace {

constexpr auto depth = 5;
constexpr auto walk_length = 80;
constexpr auto walks = 4000;

/// The first violated invariant in random walks through a model with a planted defect, or "".
auto walk_randomly(const world_options& options, std::uint64_t seed) -> std::string {
    const auto world = world_before_move(options);
    auto random = std::mt19937_64{seed};
    for (auto walk = 0; walk < walks; ++walk) {
        auto choices = std::vector<std::uint16_t>(walk_length);
        for (auto& choice : choices) {
            choice = static_cast<std::uint16_t>(random());
        }
        if (auto violation = follow(world, choices, {.restarts = 2, .takeovers = 1, .losses = 3});
            !violation.empty()) {
            return violation;
        }
    }
    return {};
}

} // namespace

TEST(exploration, no_interleaving_has_two_owners) {
    const auto result = explore(world_before_move({}), depth, {});
    std::cout << "depth " << depth << ": " << result.states << " states, " << result.steps << " steps\n";
    EXPECT_EQ(result.broken, "");
    EXPECT_GT(result.states, 10'000U);
}

RC_GTEST_PROP(exploration, no_random_sequence_has_two_owners, ()) {
    static const auto world = world_before_move({});
    const auto choices =
        *rc::gen::container<std::vector<std::uint16_t>>(walk_length, rc::gen::arbitrary<std::uint16_t>());
    RC_ASSERT(follow(world, choices, {.restarts = 2, .takeovers = 1, .losses = 3}).empty());
}

TEST(exploration, no_long_random_sequence_has_two_owners) {
    EXPECT_EQ(walk_randomly({}, 2), "");
}

TEST(exploration, targets_without_fence_checks_have_one_owner) {
    EXPECT_EQ(walk_randomly({.checks_fence = false}, 3), "");
}

} // namespace teaselcross::test
