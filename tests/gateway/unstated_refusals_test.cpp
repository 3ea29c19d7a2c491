// Answers of targets whose status callers take for the promise that their request has not run, without the
// statement that it has not.

#include "support/router_world.h"

namespace teaselcross {
namespace {

namespace names = platform::names;

constexpr auto answer_memory = std::size_t{64} * 1024;

class unstated_refusals_test : public testing::Test, protected router_world {
protected:
    unstated_refusals_test() : router_world{2, answer_memory} {}

    /// Lists the target under a new name, as one that has just failed gets no requests for a while.
    auto list_anew() -> void {
        m_cluster.remove_target(target_id{m_name}, std::nullopt, monotonic_now());
        m_name = "t" + std::to_string(++m_lists);
        list(m_name, m_target, m_lists);
        if (m_is_keyed) {
            make_keyed(m_name, m_lists);
        }
    }

    auto answer(const std::string& attempt_id) const -> scripted_answer {
        return {"HTTP/1.1 " + m_status + " Own\r\n" + names::attempt_id + ": " + attempt_id + "\r\n" +
                names::signature + ": s\r\nRetry-After: 1\r\nContent-Length: " +
                std::to_string(m_body.size()) + "\r\n\r\n" + m_body};
    }

    std::uint64_t m_lists = 0;
    std::string m_name;
    bool m_is_keyed = false;
    std::string m_status;
    std::string m_body = "the database has gone away";
    scripted_target m_target{m_context, [this](const auto& request) { return answer(request.attempt_id); }};
};

const auto promises = std::vector<std::string>{"408", "429", "503"};

// Guards against payments that run twice: their caller got a target's own failure as the promise that the
// first one had not run.
TEST_F(unstated_refusals_test, request_that_runs_at_most_once_gets_no_promise) {
    auto number = 0;
    for (const auto is_keyed : {false, true}) {
        m_is_keyed = is_keyed;
        for (const auto size :
             {std::size_t{0}, std::size_t{26}, 2 * answer_memory}) { // The last is streamed.
            m_body = std::string(size, 'x');
            for (const auto& status : promises) {
                m_status = status;
                list_anew();
                const auto sent = m_target.requests();
                const auto got = ask("once", std::to_string(++number), is_keyed ? key(7) : std::string{});
                EXPECT_EQ(got.result_int(), 502U) << status << ", " << size << " bytes";
                EXPECT_EQ(got.find(names::signature), got.end()) << "it is no answer of the target";
                EXPECT_EQ(got.find("Retry-After"), got.end());
                EXPECT_EQ(m_target.requests(), sent + 1) << "sent again";
            }
        }
    }
    EXPECT_FALSE(m_client.is_closed());
}

// Other statuses promise nothing, so that the target's own answer is passed on.
TEST_F(unstated_refusals_test, other_failures_are_passed_on_unchanged) {
    for (const auto* status : {"400", "404", "409", "425", "500", "502", "504", "507"}) {
        m_status = status;
        list_anew();
        const auto got = ask("once", status);
        EXPECT_EQ(std::to_string(got.result_int()), status);
        EXPECT_EQ(got.body(), m_body);
        EXPECT_EQ(got[names::signature], "s");
    }
}

// A caller may repeat its request after any failure, so that the target's own answer is passed on.
TEST_F(unstated_refusals_test, request_that_may_be_repeated_gets_the_answer_unchanged) {
    for (const auto& status : promises) {
        m_status = status;
        list_anew();
        const auto got = ask("safe", status);
        EXPECT_EQ(std::to_string(got.result_int()), status);
        EXPECT_EQ(got.body(), m_body);
        EXPECT_EQ(got[names::signature], "s");
    }
}

} // namespace
} // namespace teaselcross
