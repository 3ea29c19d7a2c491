// What the router makes of a target's answer whose status is no HTTP status: it is never passed on, it never
// says that the request has not run, and the target counts as failed.

#include "support/router_world.h"

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

namespace names = platform::names;

/// The status line's code as a target may send it; RFC 9110 defines 100 to 599, and 1xx is never final.
class target_status_test : public testing::TestWithParam<std::string>, protected router_world {
protected:
    static auto answer(const std::string& id, const std::string& fields = {}) -> scripted_answer {
        return {.bytes = "HTTP/1.1 " + GetParam() + "\r\n" + names::attempt_id + ": " + id + "\r\n" +
                         names::signature + ": s\r\n" + fields + "Content-Length: 2\r\n\r\nno"};
    }
};

TEST_P(target_status_test, is_not_passed_on_to_a_caller) {
    auto target = scripted_target{m_context, [](const auto& request) { return answer(request.attempt_id); }};
    list("t", target);
    const auto received = ask("once", "1");
    EXPECT_EQ(received.result_int(), 502U);
    EXPECT_TRUE(received.body().empty());
    EXPECT_EQ(target.requests(), 1U);
}

TEST_P(target_status_test, counts_as_a_failed_target_and_another_one_serves) {
    auto broken = scripted_target{m_context, [](const auto& request) { return answer(request.attempt_id); }};
    auto sound = scripted_target{
        m_context, [](const auto& request) { return scripted_answer{success(request.attempt_id, "sound")}; }};
    list("a", broken);
    list("b", sound);
    for (auto number = 0; number < 4; ++number) {
        EXPECT_EQ(ask("safe", std::to_string(number)).body(), "sound");
    }
}

/// A target that garbles its status cannot be believed when it says that a request has not run.
TEST_P(target_status_test, does_not_say_that_a_request_has_not_run) {
    const auto not_run = names::not_executed + std::string{": 1\r\n"};
    auto target =
        scripted_target{m_context, [&](const auto& request) { return answer(request.attempt_id, not_run); }};
    list("t", target);
    EXPECT_EQ(ask("once", "1").result_int(), 502U);
    EXPECT_EQ(target.requests(), 1U);
}

INSTANTIATE_TEST_SUITE_P(statuses, target_status_test,
                         testing::Values("000 Odd", "099 Odd", "101 Odd", "600 Odd", "999 Odd", "2000 Odd",
                                         "20 Odd", "Odd"));

/// An interim response is skipped, and the final one is the answer.
class interim_status_test : public testing::Test, protected router_world {};

/// An interim response alone is no answer: neither when the target then closes, nor when nothing follows.
TEST_F(interim_status_test, interim_answer_without_a_final_one_is_not_passed_on) {
    const auto interim = [](const auto& request, bool closes) {
        return scripted_answer{.bytes = "HTTP/1.1 199 Odd\r\n" +
                                        (names::attempt_id + (": " + request.attempt_id)) + "\r\n" +
                                        names::not_executed + ": 1\r\n\r\n",
                               .closes = closes};
    };
    auto closing = scripted_target{m_context, [&](const auto& request) { return interim(request, true); }};
    list("closing", closing);
    const auto broken_off = ask("once", "1");
    EXPECT_EQ(broken_off.result_int(), 502U);
    EXPECT_EQ(closing.requests(), 1U);
    m_cluster.remove_target(target_id{"closing"}, std::nullopt, monotonic_now());
    auto silent = scripted_target{m_context, [&](const auto& request) { return interim(request, false); }};
    list("silent", silent);
    const auto timed_out = ask("once", "2");
    EXPECT_EQ(timed_out.result_int(), 504U);
    EXPECT_TRUE(timed_out.body().empty());
    EXPECT_EQ(silent.requests(), 1U);
}

TEST_F(interim_status_test, final_answer_after_an_interim_one_is_passed_on) {
    auto target = scripted_target{m_context, [](const auto& request) {
                                      return scripted_answer{"HTTP/1.1 103 Early Hints\r\n\r\n" +
                                                             success(request.attempt_id, "final")};
                                  }};
    list("t", target);
    EXPECT_EQ(ask("once", "1").body(), "final");
}

} // namespace
} // namespace teaselcross
