// What becomes of requests that reach an instance while it stops: each is answered before the process ends,
// and what may not finish until then is refused instead of passed on.

#include "gateway/graceful_stop.h"

#include "platform/names.h"
#include "runtime/clock.h"
#include "support/http_client.h"
#include "support/scripted_target.h"
#include "support/slow_reader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

namespace names = platform::names;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto accepting = milliseconds{50};
constexpr auto grace = milliseconds{600};

class graceful_stop_test : public testing::Test {
protected:
    graceful_stop_test() {
        auto table = route_table{.version = 1};
        const auto rule = [](const std::string& name, request_kind kind) {
            return route_rule{.name = name,
                              .path_prefix = "/" + name + "/",
                              .kind = kind,
                              .timeout = seconds{2},
                              .objective = seconds{1},
                              .max_attempts = 2,
                              .services = {{.service = service_id{"s"}}}};
        };
        table.rules_by_host["a"] = {rule("safe", request_kind::idempotent),
                                    rule("once", request_kind::at_most_once)};
        table.services[service_id{"s"}] = {};
        m_cluster.set_routes(std::move(table));
    }

    auto list(const scripted_target& target, const std::string& name = "t") -> void {
        m_cluster.put_target({.id = target_id{name},
                              .service = service_id{"s"},
                              .host = "127.0.0.1",
                              .port = target.port(),
                              .slots = 4,
                              .start_time_ms = 1},
                             {.number = 1}, monotonic_now());
    }

    static auto request(const std::string& rule, const std::string& id, milliseconds time_left)
        -> std::string {
        return "GET /" + rule + "/ HTTP/1.1\r\nHost: a\r\n" + names::attempt_id + ": " + id + "\r\n" +
               names::time_left_ms + ": " + std::to_string(time_left.count()) + "\r\n\r\n";
    }

    auto stop() -> void {
        const auto now = monotonic_now();
        const auto schedule = stop_schedule{
            .stop_accepting = now + accepting, .give_up = now + grace * 2 / 3, .end = now + grace};
        m_server.close_after_next_answer();
        boost::asio::co_spawn(m_context, stop_serving(m_server, m_router, schedule),
                              [this](const std::exception_ptr& /*failure*/) { m_stopped = true; });
    }
    auto run_to_end() -> bool {
        return run_until(m_context, [this] { return m_stopped; });
    }
    auto run_for(milliseconds time) -> void {
        m_context.restart();
        m_context.run_for(time);
    }

    auto statuses() const -> std::vector<unsigned> {
        auto found = std::vector<unsigned>{};
        for (const auto& each : m_client.responses()) {
            found.push_back(each.result_int());
        }
        return found;
    }

    memory_budget m_answer_memory{std::size_t{32} * 1024 * 1024};
    boost::asio::io_context m_context{1};
    gateway_settings m_settings{.instance = "i", .data_centre = data_centre_id{"west"}};
    metrics m_measured;
    cluster_state m_cluster{m_settings, m_context.get_executor()};
    request_router m_router{m_settings, m_cluster, m_measured, m_answer_memory, m_context.get_executor()};
    http_server m_server{m_context.get_executor(), {.host = "127.0.0.1"}, [this](auto& to, auto request) {
                             return m_router.handle(to, std::move(request));
                         }};
    http_client m_client{m_context, (m_server.start(), m_server.port())};
    bool m_stopped = false;
};

using status_list = std::vector<unsigned>;

auto answer_nothing(const scripted_request& /*request*/) -> scripted_answer {
    return {};
}

auto answer_success(const scripted_request& request) -> scripted_answer {
    return {success(request.attempt_id, "x")};
}

// Guards against a request that is cut without an answer: it waited its turn behind one that was given up,
// was passed on after that, and the process ended.
TEST_F(graceful_stop_test, request_whose_turn_comes_after_giving_up_is_refused) {
    auto target = scripted_target{m_context, answer_nothing};
    list(target);
    m_client.send(request("safe", "1", seconds{2}) + request("once", "2", seconds{2}));
    ASSERT_TRUE(run_until(m_context, [&] { return target.requests() == 1; }));
    auto other = scripted_target{m_context, answer_nothing};
    list(other, "other");
    stop();
    ASSERT_TRUE(run_to_end());
    EXPECT_EQ(statuses(), (status_list{504, 503}));
    EXPECT_EQ(other.requests(), 0U);
    EXPECT_EQ(m_server.busy(), 0U);
}

// Guards against the same while the process still waits for answers: its target may work until after the end.
TEST_F(graceful_stop_test, request_whose_turn_comes_late_is_refused_if_it_may_not_finish) {
    auto target = scripted_target{m_context, answer_nothing};
    list(target);
    m_client.send(request("safe", "1", accepting * 3) + request("once", "2", seconds{2}));
    ASSERT_TRUE(run_until(m_context, [&] { return target.requests() == 1; }));
    auto other = scripted_target{m_context, answer_nothing};
    list(other, "other");
    stop();
    ASSERT_TRUE(run_to_end());
    EXPECT_EQ(statuses(), (status_list{504, 503}));
    EXPECT_EQ(other.requests(), 0U);
}

// Guards against a request that is passed on and given up: its last bytes came late in the grace time.
TEST_F(graceful_stop_test, request_that_is_read_late_is_refused_if_it_may_not_finish) {
    auto target = scripted_target{m_context, answer_nothing};
    list(target);
    const auto text = request("once", "1", seconds{2});
    m_client.send(text.substr(0, text.size() / 2));
    run_for(milliseconds{10});
    stop();
    run_for(accepting * 2);
    m_client.send(text.substr(text.size() / 2));
    ASSERT_TRUE(run_to_end());
    ASSERT_EQ(statuses(), (status_list{503}));
    const auto& refusal = m_client.responses().front();
    EXPECT_FALSE(refusal.keep_alive());
    EXPECT_LT(std::stod(std::string{refusal["Retry-After"]}), 0.1) << "other instances can serve it at once";
    EXPECT_EQ(target.requests(), 0U);
}

// Guards against a request that is sent after the process has given up waiting for answers.
TEST_F(graceful_stop_test, request_that_waits_for_a_target_when_waiting_ends_is_refused) {
    auto target = scripted_target{m_context, answer_success};
    m_client.send(request("once", "1", seconds{2}));
    ASSERT_TRUE(run_until(m_context, [&] { return m_server.busy() == 1; }));
    m_router.give_up_waiting();
    list(target);
    ASSERT_TRUE(run_until(m_context, [&] { return !m_client.responses().empty(); }));
    EXPECT_EQ(statuses(), (status_list{503}));
    EXPECT_EQ(target.requests(), 0U);
}

// Guards against refusals of requests that can be answered in time.
TEST_F(graceful_stop_test, requests_that_finish_in_time_are_served) {
    auto target = scripted_target{m_context, answer_success};
    list(target);
    const auto late = request("once", "2", milliseconds{150});
    auto late_client = http_client{m_context, m_server.port()};
    late_client.send(late.substr(0, late.size() / 2));
    run_for(milliseconds{10});
    stop();
    m_client.send(request("once", "1", seconds{2}));
    ASSERT_TRUE(run_until(m_context, [&] { return m_client.is_closed(); }));
    EXPECT_EQ(statuses(), (status_list{200}));
    run_for(accepting * 2);
    late_client.send(late.substr(late.size() / 2));
    ASSERT_TRUE(run_until(m_context, [&] { return late_client.is_closed(); }));
    ASSERT_EQ(late_client.responses().size(), 1U);
    EXPECT_EQ(late_client.responses().front().result_int(), 200U);
}

// Guards against clients that read nothing and keep the process beyond the end of its schedule.
TEST_F(graceful_stop_test, many_callers_that_read_nothing_do_not_delay_the_end) {
    auto target = scripted_target{m_context, [](const scripted_request& asked) -> scripted_answer {
                                      return {success(asked.attempt_id, std::string(30'000, 'x'))};
                                  }};
    list(target);
    auto readers = std::vector<std::unique_ptr<slow_reader>>{};
    for (auto number = std::size_t{1}; number <= 300; ++number) {
        readers.push_back(std::make_unique<slow_reader>(m_context, m_server.port(), std::nullopt));
        readers.back()->send(request("safe", std::to_string(number), seconds{2}));
        ASSERT_TRUE(run_until(m_context, [&] { return target.requests() == number; }));
    }
    ASSERT_TRUE(run_until(m_context, [this] { return m_server.busy() == 0; }));
    EXPECT_GE(m_server.connections(), 300U);
    const auto began = monotonic_now();
    stop();
    ASSERT_TRUE(run_to_end());
    EXPECT_GE(monotonic_now() - began, grace) << "responses that callers still wait for were given up";
    EXPECT_LT(monotonic_now() - began, grace + milliseconds{200});
}

// Guards against requests that are cut as soon as the instance stops accepting, because the grace time is
// short.
TEST(stop_schedule, leaves_time_for_answers_whatever_the_grace_time) {
    const auto ordered = instant{seconds{100}};
    for (const auto grace_time : {milliseconds{500}, milliseconds{2000}, milliseconds{3000},
                                  milliseconds{6000}, milliseconds{60'000}}) {
        const auto schedule = make_stop_schedule(ordered, grace_time);
        EXPECT_GT(schedule.stop_accepting, ordered);
        EXPECT_GE(schedule.give_up - schedule.stop_accepting, grace_time / 3);
        EXPECT_GT(schedule.end, schedule.give_up);
        EXPECT_LT(schedule.end, ordered + grace_time);
    }
    const auto usual = make_stop_schedule(ordered, seconds{6});
    EXPECT_EQ(usual.stop_accepting - ordered, milliseconds{2800});
    EXPECT_EQ(usual.give_up - ordered, seconds{5});
    EXPECT_EQ(usual.end - ordered, milliseconds{5500});
}

} // namespace
} // namespace teaselcross
