// What the router makes of the answers of targets that are faulty, leave or ask for quiet: each caller gets
// the answer to its own request, "not run" is true, and a target gets no requests that it does not want.

#include "support/router_world.h"

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

namespace names = platform::names;
using std::chrono::milliseconds;
using std::chrono::seconds;

class request_router_test : public testing::Test, protected router_world {};

/// A second copy of an answer arrives late, when the connection is in use again.
TEST_F(request_router_test, late_copy_of_an_answer_does_not_reach_the_next_caller) {
    auto target = scripted_target{m_context, [](const auto& request) {
                                      const auto copy = request.number == 0 ? "" : success("1", "first");
                                      return scripted_answer{
                                          copy + success(request.attempt_id, "of " + request.attempt_id)};
                                  }};
    list("t", target);
    EXPECT_EQ(ask("safe", "1").body(), "of 1");
    EXPECT_EQ(ask("safe", "2").body(), "of 2");
    EXPECT_EQ(target.connections(), 1U);
    // What follows an unrelated answer cannot be attributed.
    EXPECT_EQ(ask("safe", "3").body(), "of 3");
    EXPECT_EQ(target.connections(), 2U);
}

/// The copy of an earlier refusal comes before the answer to a request that the target runs.
TEST_F(request_router_test, copy_of_an_earlier_refusal_does_not_deny_that_a_request_has_run) {
    auto target =
        scripted_target{m_context, [](const auto& request) {
                            if (request.number == 0) {
                                return scripted_answer{refusal("1")};
                            }
                            return scripted_answer{refusal("1") + success(request.attempt_id, "ran")};
                        }};
    list("t", target);
    EXPECT_EQ(ask("once", "1").result_int(), 503U);
    const auto answer = ask("once", "2");
    EXPECT_EQ(answer.result_int(), 200U);
    EXPECT_EQ(answer.body(), "ran");
}

/// The same without an attempt ID, so that the copy cannot be told from a refusal of this request.
TEST_F(request_router_test, refusal_without_identity_is_not_believed_on_a_used_connection) {
    auto target = scripted_target{m_context, [](const auto& request) {
                                      if (request.number == 0) {
                                          return scripted_answer{success(request.attempt_id, "first")};
                                      }
                                      return scripted_answer{refusal("")};
                                  }};
    list("t", target);
    EXPECT_EQ(ask("once", "1").result_int(), 200U);
    EXPECT_EQ(ask("once", "2").result_int(), 502U);
    EXPECT_EQ(target.connections(), 1U);
}

TEST_F(request_router_test, refusal_without_identity_is_believed_on_a_new_connection) {
    auto target = scripted_target{m_context, [](const auto&) { return scripted_answer{refusal("")}; }};
    list("t", target);
    EXPECT_EQ(ask("once", "1").result_int(), 503U);
}

/// The owner of a key refuses with free slots and is asked again. A copy of the first refusal may still
/// arrive on the first connection, with the same attempt ID.
TEST_F(request_router_test, second_send_to_the_same_target_uses_a_new_connection) {
    const auto load = std::string{names::load} + ": 0,0,4\r\n";
    auto target = scripted_target{m_context, [&](const auto& request) {
                                      if (request.number == 0) {
                                          return scripted_answer{refusal(request.attempt_id, load)};
                                      }
                                      const auto copy =
                                          request.connection == 0 ? refusal(request.attempt_id, load) : "";
                                      return scripted_answer{copy + success(request.attempt_id, "ran")};
                                  }};
    make_keyed("t");
    list("t", target);
    EXPECT_EQ(ask("once", "1", key(7)).body(), "ran");
    EXPECT_EQ(target.connections(), 2U);
    EXPECT_EQ(target.requests(), 2U);
}

/// The target stops in the middle of its answer's head and closes.
TEST_F(request_router_test, answer_cut_in_its_head_is_never_a_success) {
    const auto whole = success("1", "body");
    for (auto size = std::size_t{1}; size < whole.size(); ++size) {
        auto target =
            scripted_target{m_context, [&](const auto&) {
                                return scripted_answer{.bytes = whole.substr(0, size), .closes = true};
                            }};
        const auto name = "t" + std::to_string(size);
        list(name, target);
        auto client = http_client{m_context, m_server.port()};
        EXPECT_EQ(ask(client, "once", "1").result_int(), 502U) << whole.substr(0, size);
        m_cluster.remove_target(target_id{name}, std::nullopt, monotonic_now());
    }
}

TEST_F(request_router_test, target_that_says_it_is_leaving_gets_nothing_more) {
    const auto leaving = std::string{names::leaving} + ": 1\r\n";
    auto leaver = scripted_target{m_context, [&](const auto& request) {
                                      return scripted_answer{success(request.attempt_id, "leaver", leaving)};
                                  }};
    auto other = scripted_target{
        m_context, [](const auto& request) { return scripted_answer{success(request.attempt_id, "other")}; }};
    list("leaver", leaver);
    EXPECT_EQ(ask("safe", "1").body(), "leaver");
    list("other", other);
    // The list is behind: it still says that the target is ready.
    list("leaver", leaver, 2);
    for (auto number = 2; number < 12; ++number) {
        EXPECT_EQ(ask("safe", std::to_string(number)).body(), "other");
    }
    EXPECT_EQ(leaver.requests(), 1U);
    // Its entry expires while the store is away and comes back.
    m_cluster.remove_target(target_id{"leaver"}, std::nullopt, monotonic_now());
    m_cluster.remove_expired(monotonic_now() + seconds{10});
    ASSERT_EQ(m_cluster.target(target_id{"leaver"}), nullptr);
    list("leaver", leaver, 3);
    EXPECT_EQ(m_cluster.candidates(service_id{"s"}).size(), 1U);
    // A new process under the same ID is another target.
    list("leaver", leaver, 4, 2);
    EXPECT_EQ(m_cluster.candidates(service_id{"s"}).size(), 2U);
}

TEST_F(request_router_test, owner_that_says_it_is_leaving_gets_nothing_after_the_drain_time) {
    m_settings.drain = milliseconds{100};
    const auto leaving = std::string{names::leaving} + ": 1\r\n";
    auto owner = scripted_target{m_context, [&](const auto& request) {
                                     return scripted_answer{success(request.attempt_id, "owner", leaving)};
                                 }};
    make_keyed("owner");
    list("owner", owner);
    EXPECT_EQ(ask("safe", "1", key(7)).result_int(), 200U);
    m_context.restart();
    m_context.run_for(milliseconds{100});
    EXPECT_EQ(ask("safe", "2", key(7)).result_int(), 503U);
    EXPECT_EQ(owner.requests(), 1U);
}

// Guards against requests with a key to a target that left longer ago than the drain time: an instance that
// learnt of it late went on for the time that one has which learns of it at once.
TEST_F(request_router_test, owner_whose_leaving_may_be_old_gets_nothing_more) {
    auto owner = scripted_target{
        m_context, [](const auto& request) { return scripted_answer{success(request.attempt_id, "owner")}; }};
    make_keyed("owner");
    list("owner", owner);
    EXPECT_EQ(ask("safe", "1", key(7)).result_int(), 200U);
    auto listed = m_cluster.target(target_id{"owner"})->view.listed;
    listed.leaving = true;
    const auto now = monotonic_now();
    m_cluster.put_target(listed, {.number = 2}, now, now - m_settings.drain * 9 / 10);
    EXPECT_EQ(ask("safe", "2", key(7)).result_int(), 503U);
    EXPECT_EQ(owner.requests(), 1U);
}

TEST_F(request_router_test, owner_that_left_just_now_is_served_until_its_keys_have_moved) {
    auto owner = scripted_target{
        m_context, [](const auto& request) { return scripted_answer{success(request.attempt_id, "owner")}; }};
    make_keyed("owner");
    list("owner", owner);
    auto listed = m_cluster.target(target_id{"owner"})->view.listed;
    listed.leaving = true;
    const auto now = monotonic_now();
    m_cluster.put_target(listed, {.number = 2}, now, now - m_settings.drain / 4);
    EXPECT_EQ(ask("safe", "1", key(7)).result_int(), 200U);
}

TEST_F(request_router_test, target_that_asks_for_quiet_gets_nothing_until_then) {
    auto busy =
        scripted_target{m_context, [](const auto& request) {
                            return scripted_answer{refusal(request.attempt_id, "Retry-After: 0.4\r\n")};
                        }};
    list("busy", busy);
    EXPECT_EQ(ask("safe", "1").result_int(), 503U);
    const auto received = busy.requests();
    const auto refused = ask("safe", "2");
    EXPECT_EQ(refused.result_int(), 503U);
    EXPECT_GT(std::stod(std::string{refused["Retry-After"]}), 0.1);
    EXPECT_EQ(busy.requests(), received);
    auto other = scripted_target{
        m_context, [](const auto& request) { return scripted_answer{success(request.attempt_id, "other")}; }};
    list("other", other);
    for (auto number = 3; number < 13; ++number) {
        EXPECT_EQ(ask("safe", std::to_string(number)).body(), "other");
    }
    EXPECT_EQ(busy.requests(), received);
    m_context.restart();
    m_context.run_for(milliseconds{500});
    m_cluster.remove_target(target_id{"other"}, std::nullopt, monotonic_now());
    static_cast<void>(ask("safe", "13"));
    EXPECT_GT(busy.requests(), received);
}

TEST_F(request_router_test, owner_that_asks_for_quiet_is_not_asked_again) {
    const auto fields = std::string{"Retry-After: 1\r\n"} + names::load + ": 0,0,4\r\n";
    auto owner = scripted_target{
        m_context, [&](const auto& request) { return scripted_answer{refusal(request.attempt_id, fields)}; }};
    make_keyed("owner");
    list("owner", owner);
    EXPECT_EQ(ask("safe", "1", key(7)).result_int(), 503U);
    EXPECT_EQ(ask("safe", "2", key(7)).result_int(), 503U);
    EXPECT_EQ(owner.requests(), 1U);
}

/// A request that must not be repeated waits behind earlier responses: one that closes the connection makes
/// it a request that was not read, and its caller sends it again.
TEST_F(request_router_test, request_that_runs_at_most_once_is_sent_in_turn) {
    auto target = scripted_target{m_context, [](const auto& request) {
                                      return scripted_answer{request.attempt_id == "1"
                                                                 ? std::string{}
                                                                 : success(request.attempt_id, "x")};
                                  }};
    list("t", target);
    const auto line = [](const std::string& rule, const std::string& id, int patience) {
        return "GET /" + rule + "/ HTTP/1.1\r\nHost: a\r\n" + names::attempt_id + ": " + id + "\r\n" +
               names::time_left_ms + ": " + std::to_string(patience) + "\r\n\r\n";
    };
    m_client.send(line("safe", "1", 300) + line("once", "2", 2000));
    ASSERT_TRUE(run_until(m_context, [&] { return target.requests() == 1; }));
    m_context.restart();
    m_context.run_for(milliseconds{100});
    EXPECT_EQ(target.requests(), 1U);
    auto other = scripted_target{
        m_context, [](const auto& request) { return scripted_answer{success(request.attempt_id, "other")}; }};
    list("other", other);
    ASSERT_TRUE(run_until(m_context, [&] { return m_client.responses().size() == 2; }));
    EXPECT_EQ(m_client.responses()[0].result_int(), 504U);
    EXPECT_EQ(m_client.responses()[1].result_int(), 200U);
}

// Guards against callers that are told there is no such route by an instance that may lack a newer
// configuration: they would not ask again.
TEST_F(request_router_test, route_missing_in_an_unconfirmed_configuration_is_refused_for_now) {
    auto age = m_settings.config_apply;
    m_router.set_config_age([&age] { return age; });
    const auto refused = ask("elsewhere", "1");
    EXPECT_EQ(refused.result_int(), 503U);
    EXPECT_FALSE(refused["Retry-After"].empty());
    age -= milliseconds{1};
    EXPECT_EQ(ask("elsewhere", "2").result_int(), 404U);
}

} // namespace
} // namespace teaselcross
