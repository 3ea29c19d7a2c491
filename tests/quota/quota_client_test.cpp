// A request waits for units only as long as the controller may have some, and a unit that was not used comes
// back.

#include "gateway/quota_client.h"
#include "quota/quota_ledger.h"
#include "runtime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

class quota_client_test : public testing::Test {
protected:
    quota_client_test() {
        auto table = route_table{.version = 1};
        auto accounts = account_directory{};
        accounts.by_name["a"] = {.name = "a", .rank = {}, .quota = {.rate = 1, .burst = 0}};
        accounts.by_name["free"] = {.name = "free", .rank = {}, .quota = {}};
        set_totals(m_ledger, quota_totals_of(accounts, {}));
        table.accounts = std::make_shared<account_directory>(std::move(accounts));
        m_cluster.set_routes(std::move(table));
        asio::co_spawn(m_context, m_client.run(), asio::detached);
    }

    auto answer(quota_query query) -> asio::awaitable<std::optional<quota_reply>> {
        ++m_queries;
        auto decoded = decode_quota_query(encode(query));
        const auto reply = on_query(m_ledger, *decoded, true, monotonic_now());
        co_return m_answers ? decode_quota_reply(encode(*reply)) : std::nullopt;
    }

    /// Takes a unit, and returns what came of it and after which time.
    auto take() -> std::pair<quota_client::result, duration> {
        auto taken = std::optional<quota_client::result>{};
        const auto started = monotonic_now();
        asio::co_spawn(m_context, m_client.take("a", milliseconds{100}), [&](auto fault, auto result) {
            EXPECT_FALSE(fault);
            taken.emplace(std::move(result));
        });
        while (!taken) {
            m_context.run_one();
        }
        return {std::move(*taken), monotonic_now() - started};
    }

    asio::io_context m_context{1};
    gateway_settings m_settings{.instance = "i", .data_centre = data_centre_id{"west"}};
    cluster_state m_cluster{m_settings, m_context.get_executor()};
    quota_ledger m_ledger = begin_ledger({}, {.era = 1, .number = 1}, true, monotonic_now());
    bool m_answers = true;
    int m_queries = 0;
    quota_client m_client{m_settings,
                          m_cluster,
                          {.epoch = [] { return quota_epoch{.era = 1, .number = 1}; },
                           .ask = [this](auto query) { return answer(std::move(query)); }},
                          1,
                          m_context.get_executor()};
};

} // namespace

/// 15 units: 5 of the quota and half of the slack.
TEST_F(quota_client_test, units_come_from_the_controller_until_the_quota_is_used) {
    for (auto count = 0; count < 15; ++count) {
        auto [taken, time] = take();
        ASSERT_TRUE(taken.hold);
        EXPECT_TRUE(taken.hold->use(monotonic_now()));
    }
    EXPECT_EQ(take().first.reason, unit_result::over_quota);
}

TEST_F(quota_client_test, unit_that_was_not_used_is_taken_again) {
    for (auto count = 0; count < 50; ++count) {
        EXPECT_TRUE(take().first.hold);
    }
    EXPECT_EQ(units_out(m_ledger, "a"), 1);
}

/// Requests that nobody can serve would be held back, each for its whole time.
TEST_F(quota_client_test, silent_controller_is_waited_for_once) {
    m_answers = false;
    EXPECT_EQ(take().first.reason, unit_result::unknown);
    const auto [taken, time] = take();
    EXPECT_EQ(taken.reason, unit_result::unknown);
    EXPECT_LT(time, milliseconds{50});
}

TEST_F(quota_client_test, account_without_a_quota_sends_no_message) {
    EXPECT_FALSE(m_client.is_limited(nullptr));
    EXPECT_FALSE(m_client.is_limited(&m_cluster.routes()->accounts->by_name.at("free")));
    auto table = route_table{.version = 2};
    m_cluster.set_routes(std::move(table));
    m_context.run_for(milliseconds{500});
    EXPECT_EQ(m_queries, 0);
}

} // namespace teaselcross
