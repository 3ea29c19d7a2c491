// Differences between key maps: applying them yields the later map, or they are rejected.

#include "keyspace/key_map.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace teaselcross {
namespace {

/// A complete map with range boundaries at random keys and random holders.
auto random_map() -> key_map {
    auto cuts = std::set<shard_key>{0};
    for (const auto cut : *rc::gen::container<std::vector<shard_key>>(rc::gen::inRange(1U, 40U))) {
        cuts.insert(cut);
    }
    auto map = key_map{.fences_used = 9, .writer = "w"};
    for (auto each = cuts.begin(); each != cuts.end(); ++each) {
        const auto next = std::next(each);
        map.ranges.push_back({.first = *each,
                              .last = next == cuts.end() ? last_shard_key : *next - 1,
                              .fence = *rc::gen::inRange<std::uint64_t>(1, 4),
                              .holder = {.id = target_id{"t" + std::to_string(*rc::gen::inRange(0, 3))}}});
        if (*rc::gen::inRange(0, 4) == 0) {
            map.ranges.back().next = {.id = target_id{"n"}, .start_time_ms = 7};
            map.ranges.back().next_fence = 8;
        }
    }
    for (auto count = *rc::gen::inRange(0, 3); count > 0; --count) {
        map.former_holdings.push_back({.holder = {.id = target_id{"f"}, .start_time_ms = 3},
                                       .first = 5,
                                       .last = 6,
                                       .fence = *rc::gen::inRange<std::uint64_t>(1, 4)});
    }
    return map;
}

RC_GTEST_PROP(key_map, applying_changes_yields_the_later_map, ()) {
    const auto before = random_map();
    const auto after = random_map();
    const auto parsed = key_map_changes_from_json(to_json(changes_between(before, after)));
    RC_ASSERT(parsed.has_value());
    const auto applied = apply_changes(before, *parsed, {.number = 5});
    RC_ASSERT(applied.has_value());
    RC_ASSERT(applied->ranges == after.ranges);
    RC_ASSERT(applied->former_holdings == after.former_holdings);
    RC_ASSERT(applied->revision == store_revision{.number = 5});
}

TEST(key_map, one_moved_range_is_the_only_change) {
    auto before = key_map{};
    constexpr auto width = shard_key{128};
    for (auto first = shard_key{0}; first <= last_shard_key; first += width) {
        before.ranges.push_back({.first = first, .last = first + width - 1, .fence = first + 1});
    }
    auto after = before;
    after.ranges[100].next = {.id = target_id{"next"}, .start_time_ms = 1};
    EXPECT_EQ(changes_between(before, after).ranges.size(), 1U);
}

TEST(key_map, changes_for_a_different_map_are_rejected) {
    const auto before = key_map{.ranges = {{.first = 0, .last = last_shard_key}}};
    const auto changes = key_map_changes{.ranges = {{.first = 10, .last = 20}}};
    EXPECT_FALSE(apply_changes(before, changes, {.number = 2}).has_value());
}

TEST(key_map, malformed_changes_are_rejected) {
    EXPECT_FALSE(key_map_changes_from_json(nlohmann::json::parse("{\"ranges\": 3}")).has_value());
}

// Guards against a successor that does not learn of former holders, or that cannot read the map of an earlier
// build, which names none.
TEST(key_map, former_holdings_are_read_back_and_may_be_missing) {
    const auto map = key_map{
        .ranges = {{.fence = 2, .holder = {.id = target_id{"b"}, .start_time_ms = 9}}},
        .former_holdings = {{.holder = {.id = target_id{"a"}, .start_time_ms = 8}, .last = 99, .fence = 1}}};
    auto document = to_json(map);
    const auto read = key_map_from_json(document, {.number = 5});
    ASSERT_TRUE(read);
    EXPECT_EQ(read->former_holdings, map.former_holdings);
    document.erase("former_holdings");
    const auto earlier = key_map_from_json(document, {.number = 5});
    ASSERT_TRUE(earlier);
    EXPECT_TRUE(earlier->former_holdings.empty());
    EXPECT_EQ(to_json(*earlier), document) << "an empty list is not written";
}

// Guards against a list that stays in the copies of other instances after it was cleared, and against one
// that is sent with every change.
TEST(key_map, changes_name_the_former_holdings_only_when_they_differ) {
    const auto before = key_map{.ranges = {{.fence = 2}}, .former_holdings = {{.last = 99, .fence = 1}}};
    EXPECT_FALSE(to_json(changes_between(before, before)).contains("former_holdings"));
    auto after = before;
    after.former_holdings.clear();
    const auto cleared = key_map_changes_from_json(to_json(changes_between(before, after)));
    ASSERT_TRUE(cleared);
    const auto applied = apply_changes(before, *cleared, {.number = 2});
    ASSERT_TRUE(applied);
    EXPECT_TRUE(applied->former_holdings.empty());
}

// Guards against a record of no ranges, which an earlier build may have written, that stops the controller.
TEST(key_map, a_map_without_ranges_can_be_read) {
    const auto read =
        key_map_from_json(to_json(key_map{.era = 2, .fences_used = 7}), {.era = 2, .number = 5});
    ASSERT_TRUE(read);
    EXPECT_TRUE(read->ranges.empty());
    EXPECT_EQ(read->fences_used, 7U);
}

} // namespace
} // namespace teaselcross
