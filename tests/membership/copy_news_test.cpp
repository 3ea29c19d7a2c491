// What an instance hears of later copies of others: it fetches what has not come by the usual way in time.

#include "membership/copy_news.h"

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

using std::chrono::milliseconds;

constexpr auto tolerance = duration{milliseconds{400}};
const auto start = instant{std::chrono::seconds{10}};

auto revision(std::uint64_t number) -> store_revision {
    return {.number = number};
}

// Guards against a change that a whole data centre does not learn behind a late relay.
TEST(copy_news, a_state_that_another_instance_has_for_longer_than_changes_take_is_fetched) {
    auto news = copy_news{};
    hear_copy(news, "far", revision(39), revision(35), start);
    EXPECT_FALSE(instance_ahead(news, revision(35), tolerance, start + tolerance / 2));
    EXPECT_EQ(instance_ahead(news, revision(35), tolerance, start + tolerance), "far");
}

TEST(copy_news, a_change_that_comes_by_the_usual_way_is_not_fetched) {
    auto news = copy_news{};
    hear_copy(news, "far", revision(39), revision(35), start);
    EXPECT_FALSE(instance_ahead(news, revision(39), tolerance, start + tolerance));
    EXPECT_FALSE(news.later);
}

// Guards against fetching each version in a quick succession of them, which come only a little late.
TEST(copy_news, in_quick_succession_only_a_state_that_is_still_lacking_counts) {
    auto news = copy_news{};
    auto now = start;
    for (auto number = std::uint64_t{1}; number < 60; ++number, now += milliseconds{80}) {
        const auto own = revision(number > 3 ? number - 3 : 0);
        hear_copy(news, "far", revision(number), own, now);
        EXPECT_FALSE(instance_ahead(news, own, tolerance, now)) << number;
    }
}

// Guards against later news that put off the fetching of a state that was lacking before.
TEST(copy_news, further_changes_do_not_put_off_the_fetching) {
    auto news = copy_news{};
    for (auto passed = duration{}; passed < tolerance; passed += milliseconds{80}) {
        hear_copy(news, "far", revision(40 + static_cast<std::uint64_t>(passed.count())), revision(35),
                  start + passed);
    }
    hear_copy(news, "late", revision(38), revision(35), start + tolerance);
    EXPECT_EQ(instance_ahead(news, revision(35), tolerance, start + tolerance), "far") << "it has the latest";
}

TEST(copy_news, copies_that_are_no_later_say_nothing) {
    auto news = copy_news{};
    hear_copy(news, "far", revision(35), revision(35), start);
    hear_copy(news, "far", revision(30), revision(35), start);
    hear_copy(news, "far", {.era = 0, .number = 90}, {.era = 2, .number = 35}, start);
    EXPECT_FALSE(news.later);
}

TEST(copy_news, an_instance_that_did_not_answer_is_not_asked_again_before_it_is_heard_of) {
    auto news = copy_news{};
    hear_copy(news, "far", revision(39), revision(35), start);
    forget_copy(news, "other");
    EXPECT_TRUE(news.later);
    forget_copy(news, "far");
    EXPECT_FALSE(instance_ahead(news, revision(35), tolerance, start + tolerance));
}

} // namespace
} // namespace teaselcross
