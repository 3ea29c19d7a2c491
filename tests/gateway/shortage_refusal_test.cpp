// A less urgent request is refused before it is sent while a more urgent one of its service finds no
// capacity.

#include "support/router_world.h"

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

class shortage_refusal_test : public testing::Test, protected router_world {};

TEST_F(shortage_refusal_test, less_urgent_request_is_not_sent_to_a_target_that_refuses_urgent_ones) {
    // Thirty requests in four slots: an answer is expected within the objective of a second, but barely.
    const auto load = std::string{platform::names::load} + ": 4,26,4\r\n";
    auto target = scripted_target{
        m_context, [&](const auto& request) { return scripted_answer{refusal(request.attempt_id, load)}; }};
    list("t", target);
    auto table = *m_cluster.routes();
    table.version = 2;
    table.rules_by_host["a"].front().rank = 1; // The rule "safe".
    m_cluster.set_routes(std::move(table));
    EXPECT_EQ(ask("safe", "1").result_int(), 503U);
    EXPECT_EQ(ask("once", "2").result_int(), 503U);
    const auto sent = target.requests();
    const auto answer = ask("safe", "3");
    EXPECT_EQ(answer.result_int(), 503U);
    EXPECT_TRUE(answer.count(boost::beast::http::field::retry_after) > 0);
    EXPECT_EQ(target.requests(), sent);
    auto gauges = std::vector<gauge>{};
    m_router.shortage().append_gauges(gauges);
    ASSERT_EQ(gauges.size(), 3U);
    EXPECT_GT(gauges[0].value, 0.3) << "level of the service";
    EXPECT_EQ(gauges[1].value, 1) << "refusals of rank 0";
    EXPECT_EQ(gauges[2].value, 2) << "refusals of rank 1";
}

} // namespace
} // namespace teaselcross
