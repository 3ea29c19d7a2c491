// Requests that a client sends before earlier ones were answered: they run side by side, within limits, and
// each response goes to its own request, in the order of the requests, whatever becomes of the others.

#include "http/server.h"

#include "support/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace teaselcross {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

auto get(const std::string& path, const std::string& fields = {}) -> std::string {
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
}

auto post(const std::string& path, const std::string& body) -> std::string {
    return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// A server whose handlers answer with the path of their request when the test lets them.
class pipelining_test : public testing::Test {
protected:
    auto start(server_options options = {}) -> void {
        options.host = "127.0.0.1";
        m_server = std::make_unique<http_server>(
            m_context.get_executor(), options,
            [this](responder& to, http_request request) { return handle(to, std::move(request)); });
        m_server->start();
    }

    auto handle(responder& to, http_request request) -> asio::awaitable<bool> {
        const auto path = std::string{request.target()};
        const auto watch = disconnect_watch{to, [this, path] { m_disconnected.push_back(path); }};
        m_begun.push_back(path + request.body());
        m_most_at_once = std::max(m_most_at_once, ++m_at_once);
        auto& permission = m_permissions[path];
        permission = std::make_unique<asio::steady_timer>(
            m_context,
            m_answers_at_once ? asio::steady_timer::time_point{} : asio::steady_timer::time_point::max());
        co_await permission->async_wait(as_result);
        --m_at_once;
        if (path == "/throw") {
            throw std::runtime_error{"a fault of the handler"};
        }
        if (path == "/cut") {
            co_return false;
        }
        auto answer = http_response{http::status::ok, 11};
        answer.body() = path == "/large" ? std::string(4 * 1024 * 1024, 'x') : path;
        answer.prepare_payload();
        co_return co_await write_answer(to, std::move(answer));
    }

    auto answer(const std::string& path) -> void { m_permissions.at(path)->cancel(); }

    template <class Condition>
    auto run_until(Condition condition) -> bool {
        return teaselcross::run_until(m_context, condition);
    }
    auto run_for(milliseconds time) -> void {
        m_context.restart();
        m_context.run_for(time);
    }

    static auto bodies(const http_client& client) -> std::vector<std::string> {
        auto found = std::vector<std::string>{};
        for (const auto& each : client.responses()) {
            found.push_back(each.body());
        }
        return found;
    }

    asio::io_context m_context{1};
    std::unique_ptr<http_server> m_server;
    std::map<std::string, std::unique_ptr<asio::steady_timer>> m_permissions;
    std::vector<std::string> m_begun;
    std::vector<std::string> m_disconnected;
    int m_at_once = 0;
    int m_most_at_once = 0;
    bool m_answers_at_once = false;
};

using paths = std::vector<std::string>;

TEST_F(pipelining_test, requests_run_side_by_side_and_are_answered_in_order) {
    start();
    auto client = http_client{m_context, m_server->port()};
    client.send(get("/1") + get("/2") + get("/3"));
    ASSERT_TRUE(run_until([&] { return m_at_once == 3; }));
    answer("/3");
    answer("/2");
    run_for(milliseconds{20});
    EXPECT_TRUE(client.responses().empty());
    answer("/1");
    ASSERT_TRUE(run_until([&] { return client.responses().size() == 3; }));
    EXPECT_EQ(bodies(client), (paths{"/1", "/2", "/3"}));
    EXPECT_FALSE(client.is_closed());
}

TEST_F(pipelining_test, a_request_that_is_not_safe_runs_alone_and_in_turn) {
    start();
    auto client = http_client{m_context, m_server->port()};
    client.send(get("/1") + post("/2", "body") + get("/3"));
    ASSERT_TRUE(run_until([&] { return m_begun.size() == 1; }));
    run_for(milliseconds{20});
    EXPECT_EQ(m_begun, (paths{"/1"}));
    answer("/1");
    ASSERT_TRUE(run_until([&] { return m_begun.size() == 2; }));
    run_for(milliseconds{20});
    EXPECT_EQ(m_begun, (paths{"/1", "/2body"}));
    answer("/2");
    ASSERT_TRUE(run_until([&] { return m_begun.size() == 3; }));
    answer("/3");
    ASSERT_TRUE(run_until([&] { return client.responses().size() == 3; }));
    EXPECT_EQ(m_most_at_once, 1);
}

TEST_F(pipelining_test, no_more_requests_are_read_than_the_limit) {
    start({.pipeline_limit = 2});
    auto client = http_client{m_context, m_server->port()};
    client.send(get("/1") + get("/2") + get("/3") + get("/4"));
    ASSERT_TRUE(run_until([&] { return m_begun.size() == 2; }));
    run_for(milliseconds{20});
    EXPECT_EQ(m_begun, (paths{"/1", "/2"}));
    answer("/2");
    answer("/1");
    ASSERT_TRUE(run_until([&] { return m_begun.size() == 4; }));
    answer("/3");
    answer("/4");
    ASSERT_TRUE(run_until([&] { return client.responses().size() == 4; }));
    EXPECT_EQ(m_most_at_once, 2);
}

TEST_F(pipelining_test, a_client_that_leaves_ends_all_its_requests) {
    start();
    auto client = http_client{m_context, m_server->port()};
    client.send(get("/1") + get("/2"));
    ASSERT_TRUE(run_until([&] { return m_at_once == 2; }));
    client.close();
    ASSERT_TRUE(run_until([&] { return m_disconnected.size() == 2; }));
    answer("/1");
    answer("/2");
    EXPECT_TRUE(run_until([&] { return m_server->connections() == 0; }));
}

TEST_F(pipelining_test, a_client_that_leaves_with_its_last_request_in_progress_is_noticed) {
    start();
    auto client = http_client{m_context, m_server->port()};
    client.send(get("/1", "Connection: close\r\n"));
    ASSERT_TRUE(run_until([&] { return m_at_once == 1; }));
    client.close();
    EXPECT_TRUE(run_until([&] { return m_disconnected.size() == 1; }));
    answer("/1");
    EXPECT_TRUE(run_until([&] { return m_server->connections() == 0; }));
}

TEST_F(pipelining_test, a_planned_stop_answers_what_was_read_and_reads_nothing_more) {
    start({.pipeline_limit = 2});
    auto client = http_client{m_context, m_server->port()};
    client.send(get("/1") + get("/2") + get("/3"));
    ASSERT_TRUE(run_until([&] { return m_at_once == 2; }));
    m_server->close_after_next_answer();
    answer("/1");
    ASSERT_TRUE(run_until([&] { return client.responses().size() == 1; }));
    EXPECT_TRUE(client.responses().front().keep_alive());
    answer("/2");
    ASSERT_TRUE(run_until([&] { return client.is_closed(); }));
    EXPECT_EQ(bodies(client), (paths{"/1", "/2"}));
    EXPECT_FALSE(client.responses().back().keep_alive());
    EXPECT_EQ(m_begun, (paths{"/1", "/2"}));
}

TEST_F(pipelining_test, a_stop_serves_connections_that_wait_to_be_accepted) {
    start();
    auto client = http_client{m_context, m_server->port()};
    client.send(get("/1"));
    m_server->stop();
    ASSERT_TRUE(run_until([&] { return m_at_once == 1; }));
    answer("/1");
    ASSERT_TRUE(run_until([&] { return client.is_closed(); }));
    EXPECT_EQ(bodies(client), (paths{"/1"}));
}

TEST_F(pipelining_test, a_stop_serves_a_request_that_has_arrived_on_an_idle_connection) {
    start();
    auto client = http_client{m_context, m_server->port()};
    client.send(get("/1"));
    ASSERT_TRUE(run_until([&] { return m_at_once == 1; }));
    answer("/1");
    ASSERT_TRUE(run_until([&] { return client.responses().size() == 1; }));
    client.send(get("/2"));
    m_server->stop();
    ASSERT_TRUE(run_until([&] { return m_begun.size() == 2; }));
    answer("/2");
    ASSERT_TRUE(run_until([&] { return client.is_closed(); }));
    EXPECT_EQ(bodies(client), (paths{"/1", "/2"}));
}

TEST_F(pipelining_test, a_response_that_fails_ends_the_connection_and_no_other_takes_its_place) {
    start();
    auto client = http_client{m_context, m_server->port()};
    client.send(get("/1") + get("/cut") + get("/3"));
    ASSERT_TRUE(run_until([&] { return m_at_once == 3; }));
    answer("/3");
    answer("/1");
    ASSERT_TRUE(run_until([&] { return client.responses().size() == 1; }));
    answer("/cut");
    ASSERT_TRUE(run_until([&] { return client.is_closed(); }));
    EXPECT_EQ(bodies(client), (paths{"/1"}));
    EXPECT_EQ(m_disconnected, (paths{"/3"})); // Its work is of no use to the client any more.
}

TEST_F(pipelining_test, a_handler_that_throws_is_answered_and_the_server_goes_on) {
    start();
    auto client = http_client{m_context, m_server->port()};
    client.send(get("/throw") + get("/2"));
    ASSERT_TRUE(run_until([&] { return m_at_once == 2; }));
    answer("/2");
    answer("/throw");
    ASSERT_TRUE(run_until([&] { return client.responses().size() == 2; }));
    EXPECT_EQ(client.responses()[0].result(), http::status::internal_server_error);
    EXPECT_EQ(client.responses()[1].body(), "/2");
    EXPECT_EQ(m_server->busy(), 0U);
}

TEST_F(pipelining_test, a_malformed_request_is_answered_after_those_before_it) {
    start();
    auto client = http_client{m_context, m_server->port()};
    client.send(get("/1") + "NOT HTTP\r\n\r\n" + get("/3"));
    ASSERT_TRUE(run_until([&] { return m_at_once == 1; }));
    run_for(milliseconds{20});
    EXPECT_TRUE(client.responses().empty());
    answer("/1");
    ASSERT_TRUE(run_until([&] { return client.is_closed(); }));
    ASSERT_EQ(client.responses().size(), 2U);
    EXPECT_EQ(client.responses()[0].body(), "/1");
    EXPECT_EQ(client.responses()[1].result(), http::status::bad_request);
    EXPECT_EQ(m_begun, (paths{"/1"}));
}

TEST_F(pipelining_test, a_large_response_waits_whole_for_the_one_before_it) {
    start();
    auto client = http_client{m_context, m_server->port()};
    client.send(get("/1") + get("/large") + get("/3"));
    ASSERT_TRUE(run_until([&] { return m_at_once == 3; }));
    answer("/large");
    answer("/3");
    run_for(milliseconds{20});
    EXPECT_TRUE(client.responses().empty());
    answer("/1");
    ASSERT_TRUE(run_until([&] { return client.responses().size() == 3; }));
    EXPECT_EQ(client.responses()[1].body().size(), 4U * 1024 * 1024);
    EXPECT_EQ(client.responses()[2].body(), "/3");
}

/// Splits the bytes at each place, with a request inside the body of another one.
TEST_F(pipelining_test, requests_are_the_same_however_their_bytes_arrive) {
    start();
    m_answers_at_once = true;
    const auto text =
        get("/1") + post("/2", get("/inner")) + get("/3", "X: " + std::string(40, 'y') + "\r\n");
    for (auto at = std::size_t{1}; at < text.size(); ++at) {
        m_begun.clear();
        auto client = http_client{m_context, m_server->port()};
        client.send(text.substr(0, at));
        run_for(milliseconds{1});
        client.send(text.substr(at));
        ASSERT_TRUE(run_until([&] { return client.responses().size() == 3; })) << at;
        EXPECT_EQ(bodies(client), (paths{"/1", "/2", "/3"})) << at;
        EXPECT_EQ(m_begun, (paths{"/1", "/2" + get("/inner"), "/3"})) << at;
    }
}

/// Bytes are changed at random: what is answered is what a reader of the same bytes one by one would find.
TEST_F(pipelining_test, garbled_bytes_never_move_a_response_to_another_request) {
    start();
    m_answers_at_once = true;
    auto random = std::mt19937{20261204};
    for (auto round = 0; round < 300; ++round) {
        auto text = get("/1") + get("/2") + post("/3", "body") + get("/4");
        for (auto change = 0; change < 2; ++change) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        m_begun.clear();
        auto client = http_client{m_context, m_server->port()};
        client.send(text + get("/last", "Connection: close\r\n"));
        run_until([&] { return client.is_closed() || m_at_once > 0; });
        for (auto step = 0; step < 5 && !client.is_closed(); ++step) {
            run_for(milliseconds{2});
        }
        auto answered = std::size_t{0};
        for (const auto& each : client.responses()) {
            if (each.result() == http::status::ok) {
                ASSERT_LT(answered, m_begun.size());
                EXPECT_TRUE(m_begun[answered].starts_with(each.body())) << text;
                ++answered;
            }
        }
    }
}

/// Handlers end in a random order, some fail; a plain list of the requests is the oracle.
TEST_F(pipelining_test, random_orders_of_completion_keep_the_order_of_the_requests) {
    start({.pipeline_limit = 5});
    for (auto seed = 1U; seed <= 60; ++seed) {
        auto random = std::mt19937{seed};
        auto client = http_client{m_context, m_server->port()};
        auto expected = paths{};
        auto open = paths{};
        m_begun.clear();
        m_permissions.clear();
        auto text = std::string{};
        for (auto number = 0; number < 12; ++number) {
            expected.push_back("/" + std::to_string(seed) + "-" + std::to_string(number));
            text += get(expected.back());
        }
        client.send(text);
        auto handled = std::size_t{0};
        while (handled < expected.size()) {
            ASSERT_TRUE(run_until([&] { return m_begun.size() > handled; }));
            open.assign(m_begun.begin(), m_begun.end());
            std::erase_if(open, [&](const auto& path) {
                return m_permissions.at(path)->expiry() == asio::steady_timer::time_point{};
            });
            ASSERT_FALSE(open.empty());
            const auto& chosen = open[random() % open.size()];
            answer(chosen);
            m_permissions.at(chosen)->expires_at(asio::steady_timer::time_point{});
            ++handled;
            run_for(milliseconds{1});
        }
        ASSERT_TRUE(run_until([&] { return client.responses().size() == expected.size(); })) << seed;
        EXPECT_EQ(bodies(client), expected) << seed;
    }
}

} // namespace
} // namespace teaselcross
