// Merging of answers that are older than the copy.

#include "replication/object_replica.h"

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

auto at(std::uint64_t number) -> store_revision {
    return {.number = number};
}

auto live(std::string key, std::uint64_t version) -> store_object {
    return {.key = std::move(key), .version = {.number = version}, .value = "{}"};
}

auto removed(std::string key, std::uint64_t version) -> store_object {
    return {.key = std::move(key), .version = {.number = version}, .removed = true};
}

/// A list of one page.
auto list_at(std::uint64_t revision, std::vector<store_object> objects) -> std::vector<object_page> {
    return {{.revision = {.number = revision}, .objects = std::move(objects)}};
}

auto knows(const object_replica& replica, const std::string& key) -> bool {
    return live_versions(replica).contains(key);
}

/// A revision of the store after it was restored once; more often if @a restores says so.
auto restored_at(std::uint64_t number, std::uint64_t restores = 1) -> store_revision {
    return {.era = 1 + restores, .number = number};
}

auto restored(std::string key, std::uint64_t number, std::string value = "{}", std::uint64_t restores = 1)
    -> store_object {
    return {.key = std::move(key), .version = restored_at(number, restores), .value = std::move(value)};
}

/// A copy of a store in its first era.
auto copy_before_restore() -> object_replica {
    auto replica = object_replica{};
    merge_list(replica, {{.revision = {.era = 1, .number = 155},
                          .objects = {{.key = "a", .version = {.era = 1, .number = 140}, .value = "old"},
                                      {.key = "b", .version = {.era = 1, .number = 150}, .value = "old"}}}});
    return replica;
}

// Guards against a confirmed change that is never in force: a store that was restored from an older copy has
// lower revisions, and its lists were refused as older than the copy.
TEST(object_replica, a_list_after_a_restore_replaces_the_copy) {
    auto replica = copy_before_restore();
    merge_list(replica, {{.revision = restored_at(112), .objects = {restored("a", 100, "new")}}});
    EXPECT_EQ(replica.entries.at("a").object.value, "new");
    EXPECT_FALSE(knows(replica, "b"));
    EXPECT_EQ(replica.complete_to, restored_at(112));
    EXPECT_EQ(merge_object(replica, restored("b", 131)), merge_result::applied);
}

// Guards against a change that is undone by an answer from before a restore.
TEST(object_replica, an_answer_of_an_earlier_era_changes_nothing) {
    auto replica = copy_before_restore();
    merge_list(replica, {{.revision = restored_at(112), .objects = {restored("a", 100, "new")}}});
    const auto before = replica.digest;
    EXPECT_TRUE(merge_list(replica, {{.revision = {.era = 1, .number = 170},
                                      .objects = {{.key = "b", .version = {.era = 1, .number = 160}}}}})
                    .empty());
    EXPECT_NE(merge_object(replica, {.key = "a", .version = {.era = 1, .number = 165}, .removed = true}),
              merge_result::applied);
    EXPECT_EQ(replica.digest, before);
    EXPECT_EQ(replica.complete_to, restored_at(112));
}

// Guards against two copies that count as equal with other content: a restored store gives out the numbers of
// the lost changes again.
TEST(object_replica, a_number_that_is_given_out_again_is_another_version) {
    auto replica = copy_before_restore();
    const auto before = replica;
    merge_list(replica, {{.revision = restored_at(155),
                          .objects = {restored("a", 140, "new"), restored("b", 150, "new")}}});
    EXPECT_NE(replica.digest, before.digest);
    EXPECT_GT(replica.change_number, before.change_number);
    EXPECT_EQ(replica.entries.at("b").object.value, "new");
}

TEST(object_replica, two_restores_in_series_leave_the_last_state) {
    auto replica = copy_before_restore();
    merge_list(replica, {{.revision = restored_at(112, 2), .objects = {restored("a", 90, "last", 2)}}});
    merge_list(replica, {{.revision = restored_at(130), .objects = {restored("a", 129, "between")}}});
    EXPECT_EQ(replica.entries.at("a").object.value, "last");
    EXPECT_EQ(replica.complete_to, restored_at(112, 2));
}

TEST(object_replica, a_list_removes_what_it_lacks_up_to_its_revision) {
    auto replica = object_replica{};
    merge_list(replica, list_at(10, {live("a", 3), live("b", 10)}));
    merge_list(replica, list_at(12, {live("b", 10)}));
    EXPECT_FALSE(knows(replica, "a"));
    EXPECT_TRUE(knows(replica, "b"));
}

// Guards against requests to a data centre that is out of service: a relay's list that was older than an
// entry took it away.
TEST(object_replica, a_list_older_than_an_entry_keeps_it) {
    auto replica = object_replica{};
    merge_list(replica, list_at(196, {live("a", 196)}));
    EXPECT_TRUE(merge_list(replica, list_at(180, {})).empty());
    EXPECT_TRUE(knows(replica, "a"));
    EXPECT_EQ(replica.complete_to, at(196));
}

// The same while the copy is not complete up to the entry's version: it came from a comparison.
TEST(object_replica, a_list_that_completes_the_copy_keeps_newer_entries) {
    auto replica = object_replica{};
    merge_list(replica, list_at(170, {}));
    merge_object(replica, live("a", 196));
    merge_list(replica, list_at(180, {}));
    EXPECT_TRUE(knows(replica, "a"));
    EXPECT_EQ(replica.complete_to, at(180));
    EXPECT_TRUE(is_behind(replica));
}

// Guards against a removed object that comes back: it was removed between two pages of a list, and the
// removal was recorded with the revision of the first.
TEST(object_replica, an_object_missing_from_a_later_page_is_absent_at_the_revision_of_that_page) {
    auto replica = object_replica{};
    merge_list(replica, list_at(10, {live("a", 3), live("c", 4)}));
    merge_list(replica, {{.revision = at(20), .last_key = "b", .objects = {live("a", 3)}},
                         {.revision = at(25), .after_key = "b"}});
    EXPECT_EQ(replica.complete_to, at(20));
    merge_list(replica, list_at(22, {live("a", 3), live("c", 4)}));
    EXPECT_FALSE(knows(replica, "c"));
}

TEST(object_replica, a_removed_object_does_not_come_back) {
    auto replica = object_replica{};
    merge_list(replica, list_at(10, {live("a", 3)}));
    merge_object(replica, removed("a", 12));
    EXPECT_EQ(merge_object(replica, live("a", 11)), merge_result::removed_later);
    merge_list(replica, list_at(11, {live("a", 3)}));
    EXPECT_FALSE(knows(replica, "a"));
    EXPECT_EQ(merge_object(replica, live("a", 13)), merge_result::applied);
}

TEST(object_replica, a_removal_whose_record_was_discarded_still_holds) {
    auto replica = object_replica{.max_removals = 0};
    merge_list(replica, list_at(10, {live("a", 3)}));
    merge_list(replica, list_at(20, {}));
    EXPECT_TRUE(replica.entries.empty());
    EXPECT_EQ(merge_object(replica, live("a", 3)), merge_result::removed_later);
}

TEST(object_replica, a_removal_newer_than_the_complete_revision_is_not_discarded) {
    auto replica = object_replica{.max_removals = 0};
    merge_list(replica, list_at(10, {live("a", 3)}));
    merge_object(replica, removed("a", 12));
    EXPECT_EQ(merge_object(replica, live("a", 11)), merge_result::removed_later);
    set_complete_to(replica, at(12));
    EXPECT_TRUE(replica.entries.empty());
}

TEST(object_replica, a_list_of_the_present_heals_a_wrong_removal) {
    auto replica = object_replica{};
    merge_list(replica, list_at(10, {live("a", 3)}));
    merge_object(replica, removed("a", 12));
    merge_list(replica, list_at(15, {live("a", 3)}));
    EXPECT_TRUE(knows(replica, "a"));
}

// Guards against a controller that told all others to remove a live entry: its copy had lost the entry, but
// not the revision.
TEST(object_replica, a_comparison_removes_only_what_the_other_copy_is_complete_for) {
    auto other = object_replica{};
    merge_list(other, list_at(196, {live("a", 196)}));
    merge_list(other, list_at(180, {}));
    auto replica = object_replica{};
    merge_list(replica, list_at(196, {live("a", 196)}));
    const auto versions = live_versions(replica);
    EXPECT_TRUE(objects_to_merge(replica, compare_replicas(other, versions)).empty());
}

TEST(object_replica, a_comparison_reports_changes_and_removals) {
    auto other = object_replica{};
    merge_list(other, list_at(30, {live("a", 30), live("b", 5)}));
    merge_object(other, removed("b", 33));
    auto replica = object_replica{};
    merge_list(replica, list_at(20, {live("a", 20), live("b", 5), live("c", 7)}));
    merge_object(replica, live("d", 31));
    const auto versions = live_versions(replica);
    const auto objects = objects_to_merge(replica, compare_replicas(other, versions));
    ASSERT_EQ(objects.size(), 3);
    EXPECT_EQ(objects.at(0).version, at(30));
    EXPECT_TRUE(objects.at(1).removed);
    EXPECT_EQ(objects.at(2).key, "c");
    EXPECT_TRUE(objects.at(2).removed);
}

// Guards against a copy that counts as complete although it contains a removed object: an older list added
// the object while the comparison was under way.
TEST(object_replica, a_comparison_removes_what_was_added_while_it_was_under_way) {
    auto other = object_replica{};
    merge_list(other, list_at(30, {}));
    auto replica = object_replica{};
    const auto answer = compare_replicas(other, live_versions(replica));
    merge_list(replica, list_at(20, {live("a", 12)}));
    const auto objects = objects_to_merge(replica, answer);
    ASSERT_EQ(objects.size(), 1);
    EXPECT_TRUE(objects.at(0).removed);
}

// The same where the other copy has a record of an earlier removal.
TEST(object_replica, a_comparison_removes_what_was_added_after_a_removal_that_the_other_copy_knows) {
    auto other = object_replica{};
    merge_list(other, list_at(10, {live("a", 3)}));
    merge_list(other, list_at(15, {}));
    merge_list(other, list_at(30, {}));
    auto replica = object_replica{};
    merge_list(replica, list_at(10, {live("a", 3)}));
    const auto answer = compare_replicas(other, live_versions(replica));
    merge_list(replica, list_at(20, {live("a", 18)}));
    for (const auto& object : objects_to_merge(replica, answer)) {
        merge_object(replica, object);
    }
    EXPECT_FALSE(knows(replica, "a"));
}

// Guards against a follower that counts as complete although it holds a removed object: its relay never knew
// the object, which was created and removed between two lists of the relay.
TEST(object_replica, changes_of_a_relay_that_missed_an_object_leave_another_digest) {
    auto relay = object_replica{};
    merge_list(relay, list_at(10, {live("a", 3)}));
    auto follower = relay;
    const auto known = relay.change_number;
    merge_object(follower, live("b", 12));
    merge_list(relay, list_at(20, {live("a", 15)}));
    const auto changes = changes_since(relay, known);
    EXPECT_FALSE(changes.is_whole);
    for (const auto* entry : changes.entries) {
        merge_object(follower, entry->object);
    }
    EXPECT_NE(follower.digest, changes.digest);
}

TEST(object_replica, followers_get_changes_or_the_complete_list) {
    auto replica = object_replica{.max_removals = 1};
    merge_list(replica, list_at(10, {live("a", 3), live("b", 4), live("c", 5)}));
    const auto number = replica.change_number;
    merge_object(replica, removed("a", 11));
    set_complete_to(replica, at(11));
    EXPECT_EQ(changes_since(replica, number).entries.size(), 1);
    merge_object(replica, removed("b", 12));
    set_complete_to(replica, at(12));
    EXPECT_TRUE(changes_since(replica, number).is_whole);
    EXPECT_EQ(changes_since(replica, std::nullopt).entries.size(), 1);
}

} // namespace
} // namespace teaselcross
