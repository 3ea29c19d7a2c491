// Requests whose key's range is moving, and requests whose key's owner is lost.

#include "support/router_world.h"

#include "ownership/lost_owners.h"

#include <boost/asio/steady_timer.hpp>

namespace teaselcross::test {

using std::chrono::milliseconds;

class moving_keys_test : public testing::Test, protected router_world {
protected:
    auto set_range(std::uint64_t revision, const key_range& range) -> void {
        auto map = key_map{.revision = {.number = revision}};
        map.ranges.push_back(range);
        m_cluster.set_keys(service_id{"s"}, std::move(map));
    }
    /// Starts to move all keys from "owner" to "next".
    auto begin_move() -> void {
        make_keyed("owner");
        list("owner", m_owner);
        list("next", m_next);
        set_range(2, {.fence = 1, .holder = m_from, .next_fence = 2, .next = m_to});
    }
    /// Asks for a key and returns the response and how long it took.
    auto timed_ask(const std::string& id) -> std::pair<http_response, duration> {
        const auto asked = monotonic_now();
        auto response = ask("safe", id, key(7));
        return {std::move(response), monotonic_now() - asked};
    }
    static auto retry_after(const http_response& response) -> double {
        return std::stod(std::string{response["Retry-After"]});
    }

    target_incarnation m_from{.id = target_id{"owner"}, .start_time_ms = 1};
    target_incarnation m_to{.id = target_id{"next"}, .start_time_ms = 1};
    scripted_target m_owner{
        m_context, [](const auto& request) { return scripted_answer{success(request.attempt_id, "owner")}; }};
    scripted_target m_next{
        m_context, [](const auto& request) { return scripted_answer{success(request.attempt_id, "next")}; }};
};

// Guards against refusing a request while the former owner ends its last requests: that takes up to a second.
TEST_F(moving_keys_test, request_for_a_moving_key_is_answered_by_the_next_owner) {
    begin_move();
    auto moved = boost::asio::steady_timer{m_context, milliseconds{500}};
    moved.async_wait([&](auto) { set_range(3, {.fence = 2, .holder = m_to}); });
    EXPECT_EQ(ask("safe", "1", key(7)).body(), "next");
    EXPECT_EQ(m_owner.requests(), 0U);
}

// Guards against holding a request back beyond the time in which it can be answered within its objective.
TEST_F(moving_keys_test, request_for_a_moving_key_waits_no_longer_than_its_objective) {
    begin_move();
    const auto [response, took] = timed_ask("1");
    EXPECT_EQ(response.result_int(), 503U);
    EXPECT_LT(took, milliseconds{1000}); // The objective of the rule.
}

// Guards against holding a request back whose key nobody can serve before a grant has expired, and against
// calling its caller back before then.
TEST_F(moving_keys_test, request_for_a_key_of_a_lost_owner_is_refused_until_the_grant_has_expired) {
    begin_move();
    set_range(3, {.fence = 1, .holder = {.id = target_id{"owner"}, .start_time_ms = 0}});
    const auto [first, took] = timed_ask("1");
    EXPECT_EQ(first.result_int(), 503U);
    EXPECT_LT(took, milliseconds{150});
    EXPECT_GE(retry_after(first), 2.5);
    m_context.restart();
    m_context.run_for(milliseconds{1300});
    const auto [second, second_took] = timed_ask("2");
    EXPECT_LT(second_took, milliseconds{150});
    EXPECT_GE(retry_after(second), 1.0);
    EXPECT_LT(retry_after(second), 1.7);
}

// Guards against waiting for the release of an owner that has just failed to answer.
TEST_F(moving_keys_test, request_for_a_moving_key_of_an_unreachable_owner_is_refused_at_once) {
    begin_move();
    auto& view = m_cluster.target(target_id{"owner"})->view;
    on_sent(view);
    on_ended(view, send_result::no_answer, {}, {}, monotonic_now());
    const auto [response, took] = timed_ask("1");
    EXPECT_EQ(response.result_int(), 503U);
    EXPECT_LT(took, milliseconds{150});
    EXPECT_GE(retry_after(response), 2.5);
}

// Guards against a Retry-After that counts from a loss that is over.
TEST(lost_owners, a_loss_counts_from_its_start_and_is_forgotten_after_a_term) {
    constexpr auto term = duration{milliseconds{2600}};
    constexpr auto start = instant{std::chrono::seconds{10}};
    const auto owner = target_incarnation{.id = target_id{"t"}, .start_time_ms = 1};
    auto state = lost_owners{};
    EXPECT_EQ(time_until_served(state, owner, term, start), term);
    EXPECT_EQ(time_until_served(state, owner, term, start + milliseconds{2000}), milliseconds{600});
    EXPECT_FALSE(time_until_served(state, owner, term, start + milliseconds{2700}));
    EXPECT_EQ(time_until_served(state, owner, term, start + std::chrono::seconds{6}), term);
}

} // namespace teaselcross::test
