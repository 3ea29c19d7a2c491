// What callers get when their account has used its quota, and what counts against it.

#include "gateway/quota_client.h"
#include "quota/quota_ledger.h"
#include "support/router_world.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

/// 1 a second for 5 s, and half of what 0.1 of it and 20 requests allow beyond.
constexpr auto units = 15;

class quota_refusal_test : public testing::Test, protected router_world {
protected:
    quota_refusal_test() {
        auto entries =
            std::vector<account_entry>{{.account = {.name = "a", .quota = {.rate = 1}}, .keys = {"k"}}};
        auto accounts =
            std::make_shared<const account_directory>(*make_account_directory(std::move(entries)));
        set_totals(m_ledger, quota_totals_of(*accounts, {}));
        auto table = *m_cluster.routes();
        table.version = 2;
        table.accounts = std::move(accounts);
        m_cluster.set_routes(std::move(table));
        m_router.set_quotas(m_quotas);
        boost::asio::co_spawn(m_context, m_quotas.run(), boost::asio::detached);
    }

    auto answer(quota_query query) -> boost::asio::awaitable<std::optional<quota_reply>> {
        if (!m_controller_answers) {
            co_return std::nullopt;
        }
        co_return on_query(m_ledger, query, true, monotonic_now());
    }

    auto status(const std::string& rule) -> unsigned {
        const auto key = std::string{platform::names::credential} + ": k\r\n";
        return ask(rule, std::to_string(++m_number), key).result_int();
    }

    bool m_controller_answers = true;
    int m_number = 0;
    quota_ledger m_ledger = begin_ledger({}, {.era = 1, .number = 1}, true, monotonic_now());
    quota_client m_quotas{m_settings, m_cluster,
                          quota_controller{.epoch = [] { return quota_epoch{.era = 1, .number = 1}; },
                                           .ask = [this](auto query) { return answer(std::move(query)); }},
                          1, m_context.get_executor()};
};

/// Guards against requests over the quota that reach a target.
TEST_F(quota_refusal_test, request_over_the_quota_is_answered_429_and_not_sent) {
    auto target = scripted_target{
        m_context, [](const auto& request) { return scripted_answer{success(request.attempt_id, "ran")}; }};
    list("t", target);
    for (auto count = 0; count < units; ++count) {
        EXPECT_EQ(status("safe"), 200U);
    }
    EXPECT_EQ(status("once"), 429U);
    EXPECT_EQ(target.requests(), static_cast<std::size_t>(units));
}

/// Guards against a quota that nobody counts while the controller is out of reach.
TEST_F(quota_refusal_test, request_is_refused_while_its_quota_is_unknown) {
    m_controller_answers = false;
    auto target = scripted_target{
        m_context, [](const auto& request) { return scripted_answer{success(request.attempt_id, "ran")}; }};
    list("t", target);
    EXPECT_EQ(status("once"), 503U);
    EXPECT_EQ(target.requests(), 0U);
}

/// Guards against quotas that refused requests use up: more are refused here than there are units.
TEST_F(quota_refusal_test, refused_request_uses_no_unit) {
    for (auto count = 0; count <= units; ++count) {
        EXPECT_EQ(status("safe"), 503U) << "no target is listed";
    }
    EXPECT_LE(units_out(m_ledger, "a"), 1);
}

/// Guards against retries that are not counted: each request is sent twice here.
TEST_F(quota_refusal_test, second_send_uses_a_second_unit) {
    auto sends = 0;
    const auto refuse_first = [&sends](const auto& request) {
        return scripted_answer{++sends % 2 == 1 ? refusal(request.attempt_id)
                                                : success(request.attempt_id, "ran")};
    };
    auto first = scripted_target{m_context, refuse_first};
    auto second = scripted_target{m_context, refuse_first};
    list("t1", first);
    list("t2", second);
    for (auto count = 0; count <= units; ++count) {
        status("safe");
    }
    EXPECT_EQ(sends, units);
}

} // namespace
} // namespace teaselcross
