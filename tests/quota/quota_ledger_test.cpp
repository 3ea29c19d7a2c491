// What a controller may count as free while earlier or later controllers, of which it does not hear, act.

#include "quota/quota_ledger.h"

#include <gtest/gtest.h>

namespace teaselcross::test {
namespace {

using std::chrono::seconds;

constexpr auto start = instant{seconds{100}};
constexpr auto epoch = quota_epoch{.era = 1, .number = 2};

auto make_ledger(bool is_first) -> quota_ledger {
    auto ledger = begin_ledger({}, epoch, is_first, start);
    set_totals(ledger, {{"a", 100}});
    return ledger;
}

auto make_query(std::uint64_t number, const quota_statement& stated) -> quota_query {
    return {.instance = "i",
            .start_time_ms = 1,
            .number = number,
            .epoch = epoch,
            .is_full = true,
            .accounts = {stated}};
}

const auto half = quota_statement{.account = "a", .total = 100, .share = 50, .held = 50};

} // namespace

/// The instance goes on with the share that it has stated to the successor.
TEST(quota_ledger, share_of_a_silent_instance_stays_out_without_the_lease) {
    auto ledger = make_ledger(true);
    on_query(ledger, make_query(1, half), true, start);
    reclaim_units(ledger, {.holds_lease = false}, start + seconds{20});
    EXPECT_EQ(units_out(ledger, "a"), 50);
    reclaim_units(ledger, {.holds_lease = true}, start + seconds{20});
    EXPECT_EQ(units_out(ledger, "a"), 0);
}

/// It may have confirmed shares until it ended.
TEST(quota_ledger, unstated_units_stay_out_until_those_of_an_earlier_controller_have_expired) {
    auto ledger = make_ledger(false);
    const auto takeover = quota_takeover{.earlier_ended = start + seconds{10}, .holds_lease = true};
    reclaim_units(ledger, takeover, start + seconds{23});
    EXPECT_EQ(ledger.accounts["a"].pool, 0);
    reclaim_units(ledger, takeover, start + seconds{24});
    EXPECT_EQ(ledger.accounts["a"].pool, 100);
}

/// The instance of the earlier controller is lost for good and never states its share.
TEST(quota_ledger, lost_instance_holds_no_more_than_it_may_have_been_given) {
    auto ledger = make_ledger(false);
    ledger.fleet = 64;
    auto listed = std::set<std::string>{"lost"};
    for (auto index = 0; index < 63; ++index) {
        auto query = make_query(1, {.account = "a", .total = 100, .share = 1, .held = 1});
        query.instance = "i" + std::to_string(index);
        query.age = seconds{60};
        listed.insert(query.instance);
        on_query(ledger, query, true, start);
    }
    reclaim_units(ledger, {.instances = listed, .holds_lease = true}, start + seconds{1});
    EXPECT_EQ(ledger.accounts["a"].pool, 100 - 63 - max_share(100, 32));
}

/// All processes are killed at once and some instances do not come back: what the earlier processes used
/// leaves the window after 5 s, and clients are not refused until shares of the lost instances have expired.
TEST(quota_ledger, units_of_restarted_instances_are_free_after_one_window) {
    auto ledger = make_ledger(false);
    ledger.fleet = 64;
    set_totals(ledger, {{"a", 1000}});
    auto listed = std::set<std::string>{"lost"};
    for (auto index = 0; index < 63; ++index) {
        auto query = make_query(1, {.account = "a", .total = 1000});
        query.instance = "i" + std::to_string(index);
        query.age = seconds{1};
        listed.insert(query.instance);
        on_query(ledger, query, true, start);
    }
    const auto takeover = quota_takeover{.earlier_ended = start, .instances = listed, .holds_lease = true};
    reclaim_units(ledger, takeover, start + seconds{4});
    EXPECT_EQ(ledger.accounts["a"].pool, 0);
    reclaim_units(ledger, takeover, start + seconds{5});
    EXPECT_EQ(ledger.accounts["a"].pool, 1000 - max_share(1000, 32));
}

/// An instance that restarted after it stated its share may have got units of the earlier controller.
TEST(quota_ledger, no_units_are_free_early_while_an_earlier_controller_may_act) {
    auto ledger = make_ledger(false);
    auto query = make_query(1, {.account = "a", .total = 100, .share = 1, .held = 1});
    query.age = seconds{60};
    on_query(ledger, query, true, start);
    const auto takeover = quota_takeover{
        .earlier_ended = start + seconds{2}, .instances = std::set<std::string>{"i"}, .holds_lease = true};
    reclaim_units(ledger, takeover, start + seconds{3});
    EXPECT_EQ(ledger.accounts["a"].pool, 0);
}

/// What an instance may hold unknown to a successor is bounded by what it is given.
TEST(quota_ledger, instance_gets_no_more_than_its_largest_share) {
    auto ledger = make_ledger(true);
    ledger.fleet = 64;
    const auto greedy = quota_statement{.account = "a", .total = 100, .waiting = 100, .wanted = 100};
    const auto reply = on_query(ledger, make_query(1, greedy), true, start);
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->accounts.front().added, max_share(100, 64));
}

TEST(quota_ledger, units_given_up_after_a_takeover_are_in_the_pool_at_once) {
    auto ledger = make_ledger(false);
    on_query(ledger, make_query(1, half), true, start);
    EXPECT_EQ(ledger.accounts["a"].pool, 0);
    on_query(ledger, make_query(2, {.account = "a", .total = 100, .share = 20, .held = 20}), true, start);
    EXPECT_EQ(ledger.accounts["a"].pool, 30);
}

/// The instance applies a lower quota already; its units are not there any more under that one.
TEST(quota_ledger, units_scaled_down_by_another_quota_are_not_given_to_others) {
    auto ledger = make_ledger(true);
    on_query(ledger, make_query(1, half), true, start);
    on_query(ledger, make_query(2, {.account = "a", .total = 50, .share = 25, .held = 25}), true, start);
    EXPECT_EQ(ledger.accounts["a"].pool, 50);
}

/// Instances that saw other versions of the configuration have not scaled their shares by the same ratio.
TEST(quota_ledger, shares_beyond_a_lowered_quota_are_taken_back) {
    auto ledger = make_ledger(true);
    on_query(ledger, make_query(1, half), true, start);
    set_totals(ledger, {{"a", 30}});
    const auto stated = quota_statement{.account = "a", .total = 30, .share = 50, .held = 50};
    EXPECT_EQ(on_query(ledger, make_query(2, stated), true, start)->accounts.at(0).added, -20);
}

TEST(quota_ledger, statement_for_an_earlier_controller_is_not_recorded) {
    auto ledger = make_ledger(true);
    auto query = make_query(1, half);
    query.epoch.number = 1;
    EXPECT_FALSE(on_query(ledger, query, true, start)->is_recorded);
    EXPECT_EQ(units_out(ledger, "a"), 0);
}

} // namespace teaselcross::test
