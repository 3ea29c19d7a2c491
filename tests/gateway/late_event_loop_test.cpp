// Requests while the event loop is held up: one whose caller has left meanwhile, or whose time is up, is not
// sent to a target.

#include "support/router_world.h"

#include <thread>

namespace teaselcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class late_event_loop_test : public testing::Test, protected router_world {
protected:
    late_event_loop_test() { list("t", m_target); }

    /// Sends a request, and returns when the connection to the target is being opened.
    auto send_request(const std::string& rule, int time_left_ms) -> void {
        m_client.send("GET /" + rule + "/ HTTP/1.1\r\nHost: a\r\n" + platform::names::attempt_id + ": 1\r\n" +
                      platform::names::time_left_ms + ": " + std::to_string(time_left_ms) + "\r\n\r\n");
        const auto end = monotonic_now() + seconds{10};
        while (m_measured.value(counter::requests) == 0 && monotonic_now() < end) {
            m_context.restart();
            m_context.poll_one();
        }
        ASSERT_EQ(m_measured.value(counter::requests), 1U);
    }
    static auto hold_up_loop() -> void { std::this_thread::sleep_for(seconds{2}); }
    auto run_loop() -> void {
        m_context.restart();
        m_context.run_for(milliseconds{500});
    }

    scripted_target m_target{
        m_context, [](const auto& request) { return scripted_answer{success(request.attempt_id, "ran")}; }};
};

// Guards against work for callers that have left: the loop was late, and a request was sent although its
// caller had closed the connection a while before.
TEST_F(late_event_loop_test, request_whose_caller_has_left_is_not_sent) {
    send_request("safe", 10'000);
    m_client.close();
    hold_up_loop();
    run_loop();
    EXPECT_EQ(m_target.requests(), 0U);
}

// The same for a request that must run at most once.
TEST_F(late_event_loop_test, request_at_most_once_whose_caller_has_left_is_not_sent) {
    send_request("once", 10'000);
    m_client.close();
    hold_up_loop();
    run_loop();
    EXPECT_EQ(m_target.requests(), 0U);
}

// Guards against work that nobody waits for: the loop was late, and a request was sent after its deadline.
TEST_F(late_event_loop_test, request_whose_time_is_up_is_not_sent) {
    send_request("once", 1'000);
    hold_up_loop();
    run_loop();
    EXPECT_EQ(m_target.requests(), 0U);
    ASSERT_EQ(m_client.responses().size(), 1U);
    EXPECT_EQ(m_client.responses().front().result_int(), 503U) << "it has not run";
}

} // namespace
} // namespace teaselcross
