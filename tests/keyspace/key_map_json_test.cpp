// Serialisation of key maps.

#include "keyspace/key_map.h"

#include <gtest/gtest.h>

namespace teaselcross::test {

TEST(key_map, round_trips_through_json_and_finds_owners) {
    auto map = key_map{.fences_used = 9, .writer = "w"};
    map.ranges.push_back(
        {.first = 0, .last = 99, .fence = 3, .holder = {.id = target_id{"a"}, .start_time_ms = 1}});
    map.ranges.push_back({.first = 100,
                          .last = last_shard_key,
                          .fence = 4,
                          .holder = {.id = target_id{"b"}, .start_time_ms = 2},
                          .next_fence = 9,
                          .next = {.id = target_id{"a"}, .start_time_ms = 1}});
    const auto read = key_map_from_json(nlohmann::json::parse(to_json(map).dump()), {.number = 5});
    ASSERT_TRUE(read) << read.error();
    EXPECT_EQ(read->ranges, map.ranges);
    EXPECT_EQ(read->revision, store_revision{.number = 5});
    EXPECT_EQ(find_range(*read, 99)->holder.id, target_id{"a"});
    EXPECT_TRUE(find_range(*read, 100)->is_moving());
}

TEST(key_map, a_map_with_a_gap_is_rejected) {
    auto map = key_map{.fences_used = 1};
    map.ranges.push_back({.first = 1, .last = last_shard_key, .fence = 1, .holder = {.id = target_id{"a"}}});
    EXPECT_FALSE(key_map_from_json(to_json(map), {.number = 1}));
}

} // namespace teaselcross::test
