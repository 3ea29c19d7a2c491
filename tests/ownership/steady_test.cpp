// Ownership with at most one fault: all shards become served, and move when their target or keeper fails or
// drains.

#include "support/ownership_world.h"

#include <gtest/gtest.h>

namespace teaselcross::test {

TEST(steady, all_shards_become_served) {
    auto world = make_world({.shards = 16});
    run_for(world, std::chrono::seconds{3});
    EXPECT_TRUE(all_served(world));
    EXPECT_EQ(broken_promise(world), "");
}

TEST(steady, a_drained_target_is_empty_within_two_seconds) {
    auto world = make_world({.shards = 16});
    run_for(world, std::chrono::seconds{3});
    world.config.targets.at(target_id{"t0"}).state = target_state::draining;
    run_for(world, std::chrono::seconds{2});
    EXPECT_TRUE(all_served(world));
    for (std::uint32_t shard = 0; shard < 16; ++shard) {
        EXPECT_EQ(holders(world, shard), std::vector<std::size_t>{1});
    }
}

TEST(steady, a_killed_target_is_replaced_within_three_seconds) {
    auto world = make_world({.shards = 16});
    run_for(world, std::chrono::seconds{3});
    kill_target(world, 0);
    run_for(world, std::chrono::seconds{3});
    EXPECT_TRUE(all_served(world));
}

TEST(steady, a_frozen_target_is_replaced_within_three_seconds) {
    auto world = make_world({.shards = 16});
    run_for(world, std::chrono::seconds{3});
    world.targets[0].frozen = true;
    run_for(world, std::chrono::seconds{3});
    EXPECT_TRUE(all_served(world));
}

TEST(steady, a_killed_keeper_is_replaced_within_three_seconds) {
    auto world = make_world({.shards = 16});
    run_for(world, std::chrono::seconds{3});
    kill_keeper(world, 0);
    run_for(world, std::chrono::seconds{3});
    EXPECT_TRUE(all_served(world));
}

TEST(steady, a_frozen_target_without_fence_checks_keeps_its_shards) {
    auto world = make_world({.shards = 16, .checks_fence = false});
    run_for(world, std::chrono::seconds{3});
    ASSERT_TRUE(all_served(world));
    const auto before = world.stored_partition.object.record(shard_id{0}).owner;
    const auto index = before == target_id{"t0"} ? 0U : 1U;
    world.targets[index].frozen = true;
    run_for(world, std::chrono::seconds{20});
    // It may still execute requests in its socket buffer after it resumes, so no other target may own the
    // shard.
    const auto& record = world.stored_partition.object.record(shard_id{0});
    EXPECT_EQ(record.owner, before);
    world.targets[index].frozen = false;
    run_for(world, std::chrono::seconds{3});
    EXPECT_TRUE(all_served(world));
}

TEST(steady, the_first_placement_waits_for_the_targets_and_stays) {
    auto world = make_world({.shards = 64, .targets = 4});
    // Two targets answer half a second later than the others.
    world.cut_links = {{0, 2}, {0, 3}, {1, 2}, {1, 3}};
    run_for(world, std::chrono::milliseconds{500});
    world.cut_links.clear();
    run_for(world, std::chrono::milliseconds{1500});
    ASSERT_TRUE(all_served(world));
    const auto first = world.stored_partition.object.shards;
    run_for(world, std::chrono::seconds{10});
    EXPECT_EQ(world.stored_partition.object.shards, first);
}

} // namespace teaselcross::test
