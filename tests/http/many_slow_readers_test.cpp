// Many connections end at once while clients still read their last responses: none of these is given up for
// a number of connections or bytes. Clients that read nothing use a bounded part of the memory.

#include "http/server.h"
#include "runtime/clock.h"
#include "support/http_client.h"
#include "support/slow_reader.h"

#include <gtest/gtest.h>

#include <memory>

namespace teaselcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto body_size = std::size_t{30'000};
const auto request = std::string{"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"};
const auto last_request = std::string{"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"};

class many_slow_readers_test : public testing::Test {
protected:
    auto start(server_options options = {}, std::size_t size = body_size) -> void {
        options.host = "127.0.0.1";
        m_server = std::make_unique<http_server>(
            m_context.get_executor(), options,
            [this, size](responder& to, http_request asked) -> boost::asio::awaitable<bool> {
                ++m_handled;
                to.expect_until(monotonic_now() + m_client_time);
                auto answer = json_answer(asked, boost::beast::http::status::ok, std::string(size, 'x'));
                co_return co_await write_answer(to, std::move(answer));
            });
        m_server->start();
    }

    auto send_all(std::size_t count, const std::string& sent, std::optional<reading_pace> pace) -> void {
        for (auto number = std::size_t{0}; number < count; ++number) {
            m_readers.push_back(std::make_unique<slow_reader>(m_context, m_server->port(), pace));
            m_readers.back()->send(sent);
        }
    }
    /// The same, until all requests are handled.
    auto add_readers(std::size_t count, const std::string& sent, std::optional<reading_pace> pace) -> void {
        const auto handled = m_handled + count;
        send_all(count, sent, pace);
        ASSERT_TRUE(run_until(m_context, [&] { return m_handled == handled && m_server->busy() == 0; }));
    }

    /// Opens connections that are idle after a response.
    auto add_idle_clients(std::size_t count) -> void {
        for (auto number = std::size_t{0}; number < count; ++number) {
            m_idle.push_back(std::make_unique<http_client>(m_context, m_server->port()));
            m_idle.back()->send(request);
            ASSERT_TRUE(run_until(m_context, [&] { return !m_idle.back()->responses().empty(); }));
        }
    }

    /// Expects that the response to each request that was handled arrives.
    auto expect_all_whole(std::size_t size = body_size) -> void {
        const auto handled = m_handled - m_idle.size();
        ASSERT_TRUE(run_until(
            m_context,
            [this] {
                return std::all_of(m_readers.begin(), m_readers.end(),
                                   [](const auto& each) { return each->end().has_value(); });
            },
            seconds{20}));
        const auto whole = std::count_if(m_readers.begin(), m_readers.end(),
                                         [size](const auto& each) { return each->has_whole_body(size); });
        EXPECT_EQ(static_cast<std::size_t>(whole), handled);
    }

    auto run_for(milliseconds time) -> void {
        m_context.restart();
        m_context.run_for(time);
    }

    /// Sends a request on a new connection and returns the status of its response; 0 without one.
    auto status_of_new_request() -> unsigned {
        auto client = http_client{m_context, m_server->port()};
        client.send(last_request);
        run_until(m_context, [&] { return client.is_closed() || !client.responses().empty(); });
        return client.responses().empty() ? 0 : client.responses().front().result_int();
    }

    boost::asio::io_context m_context{1};
    duration m_client_time = seconds{30}; ///< For which clients wait for a response.
    std::unique_ptr<http_server> m_server;
    std::size_t m_handled = 0;
    std::vector<std::unique_ptr<slow_reader>> m_readers;
    std::vector<std::unique_ptr<http_client>> m_idle;
};

// Guards against a planned stop that resets slow readers because many idle connections end with them.
TEST_F(many_slow_readers_test, get_whole_responses_when_a_stop_ends_many_idle_connections) {
    start();
    add_idle_clients(300);
    m_server->close_after_next_answer();
    add_readers(6, request, reading_pace{});
    m_server->stop();
    expect_all_whole();
    EXPECT_TRUE(run_until(m_context, [this] { return m_server->connections() == 0; }));
}

// The same with as many slow readers and no idle connection.
TEST_F(many_slow_readers_test, get_whole_responses_when_a_stop_ends_all_of_them) {
    start();
    add_readers(300, request, reading_pace{});
    m_server->stop();
    expect_all_whole();
}

// The same without a stop: their own requests end the connections.
TEST_F(many_slow_readers_test, get_whole_responses_when_all_close) {
    start();
    add_readers(300, last_request, reading_pace{});
    expect_all_whole();
}

// The same when many connections have been idle for the time limit at once.
TEST_F(many_slow_readers_test, get_whole_responses_when_connections_become_idle_together) {
    start({.idle_limit = milliseconds{300}});
    add_readers(6, last_request, reading_pace{});
    add_idle_clients(300);
    expect_all_whole();
}

// The same with responses that are long together, beyond the limit in bytes.
TEST_F(many_slow_readers_test, get_whole_long_responses) {
    constexpr auto long_size = std::size_t{2} * 1024 * 1024;
    start({}, long_size);
    send_all(
        40, last_request,
        reading_pace{.start = seconds{1}, .part = long_size, .pause = milliseconds{1}, .receive_buffer = 0});
    run_for(milliseconds{800});
    EXPECT_GT(m_handled, 30U);
    expect_all_whole(long_size);
}

// Guards against connections that are reset by the end of the process, as they have input that was not read.
TEST_F(many_slow_readers_test, get_the_rest_from_the_system_after_the_process) {
    start();
    add_readers(6, last_request, reading_pace{});
    for (const auto& each : m_readers) {
        each->send_after(milliseconds{50}, request); // Stays unread.
    }
    run_for(milliseconds{200});
    m_server->hand_over_to_system();
    EXPECT_TRUE(run_until(
        m_context, [this] { return m_server->connections() == 0; }, seconds{1}));
    expect_all_whole();
}

// Guards against memory that is used up by clients that read nothing, and against responses that are dropped
// for it while their clients wait.
TEST_F(many_slow_readers_test, new_requests_are_refused_while_too_many_bytes_are_on_their_way) {
    constexpr auto limit = 10 * body_size;
    start({.undelivered_limit = limit});
    for (auto number = 0; number < 40; ++number) {
        send_all(1, last_request,
                 reading_pace{.start = seconds{2}, .part = body_size, .pause = milliseconds{1}});
        run_for(milliseconds{20});
    }
    EXPECT_GE(m_handled, 10U);
    EXPECT_LE(m_handled, 20U); // Each client's own buffer takes a part.
    EXPECT_EQ(status_of_new_request(), 503U);
    expect_all_whole();
    EXPECT_EQ(status_of_new_request(), 200U);
}

// Guards against clients that read nothing and keep others out for longer than they wait themselves.
TEST_F(many_slow_readers_test, responses_that_are_not_waited_for_make_room) {
    start({.undelivered_limit = 5 * body_size});
    m_client_time = milliseconds{500};
    for (auto number = 0; number < 12; ++number) {
        send_all(1, request, std::nullopt);
        run_for(milliseconds{20});
    }
    EXPECT_LT(m_handled, 12U);
    EXPECT_EQ(status_of_new_request(), 503U);
    run_for(milliseconds{600});
    const auto before = m_server->connections();
    EXPECT_EQ(status_of_new_request(), 200U);
    EXPECT_TRUE(run_until(m_context, [&] { return m_server->connections() < before; }))
        << "connections of clients that wait no longer stay";
}

// Guards against files that are used up by clients that read nothing.
TEST_F(many_slow_readers_test, are_limited_in_number_as_all_connections_are) {
    start({.connection_limit = 5});
    add_readers(5, last_request, std::nullopt);
    EXPECT_EQ(status_of_new_request(), 0U);
    EXPECT_EQ(m_server->connections(), 5U);
}

// Guards against new connections that are turned away for ones that wait only for their clients to close.
TEST_F(many_slow_readers_test, connections_whose_responses_have_arrived_give_way_to_new_ones) {
    start({.connection_limit = 5});
    add_readers(5, last_request,
                reading_pace{.part = 2 * body_size, .pause = seconds{2}, .receive_buffer = 0});
    run_for(milliseconds{100});
    EXPECT_EQ(status_of_new_request(), 200U);
}

} // namespace
} // namespace teaselcross
