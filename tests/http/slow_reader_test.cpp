// Closes of connections whose client still reads the last response, with input that the server does not read:
// the client gets the whole response at its own pace, within bounds.

#include "http/server.h"
#include "runtime/clock.h"
#include "support/http_client.h"
#include "support/slow_reader.h"

#include <boost/asio/steady_timer.hpp>

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto body_size = std::size_t{30'000};

const auto request = std::string{"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"};

class slow_reader_test : public testing::Test {
protected:
    auto start(server_options options = {}) -> void {
        options.host = "127.0.0.1";
        m_server = std::make_unique<http_server>(
            m_context.get_executor(), options,
            [this](responder& to, http_request asked) -> asio::awaitable<bool> {
                ++m_handled;
                auto answer = json_answer(asked, boost::beast::http::status::ok, std::string(body_size, 'x'));
                co_return co_await write_answer(to, std::move(answer));
            });
        m_server->start();
    }
    auto expect_whole(const slow_reader& reader) -> void {
        ASSERT_TRUE(run_until(m_context, [&] { return reader.end().has_value(); }));
        const auto body = reader.received().find("\r\n\r\n");
        ASSERT_NE(body, std::string::npos);
        EXPECT_EQ(reader.received().substr(body + 4, body_size), std::string(body_size, 'x'))
            << reader.received().size() << " bytes, then " << reader.end()->message();
        EXPECT_TRUE(run_until(
            m_context, [&] { return m_server->connections() == 0; }, seconds{2}));
    }

    asio::io_context m_context{1};
    std::unique_ptr<http_server> m_server;
    std::size_t m_handled = 0;
};

// Guards against a planned stop that resets the connections of slow readers, which had half of a response.
TEST_F(slow_reader_test, gets_the_whole_response_of_a_server_that_stops) {
    start();
    auto reader = slow_reader{m_context, m_server->port()};
    m_server->close_after_next_answer();
    reader.send(request);
    reader.send_after(milliseconds{50}, request);
    ASSERT_TRUE(run_until(m_context, [&] { return m_handled == 1; }));
    auto timer = asio::steady_timer{m_context, milliseconds{200}};
    timer.async_wait([&](const auto&) { m_server->stop(); });
    expect_whole(reader);
    EXPECT_EQ(m_handled, 1U) << "a request behind a response that closes the connection is not read";
}

// The same after a request that asks for the close.
TEST_F(slow_reader_test, gets_the_whole_response_after_connection_close) {
    start();
    auto reader = slow_reader{m_context, m_server->port()};
    reader.send("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    reader.send_after(milliseconds{50}, request);
    expect_whole(reader);
}

// The same when the connection counts as idle before the response has arrived.
TEST_F(slow_reader_test, gets_the_whole_response_of_a_connection_that_has_been_idle_for_long) {
    start({.idle_limit = milliseconds{100}});
    auto reader = slow_reader{m_context, m_server->port()};
    reader.send(request);
    reader.send_after(milliseconds{300}, request);
    expect_whole(reader);
}

// The same with a malformed request behind the good one.
TEST_F(slow_reader_test, gets_the_whole_response_before_a_malformed_request) {
    start();
    auto reader = slow_reader{m_context, m_server->port()};
    reader.send(request + "malformed\r\n\r\n");
    reader.send_after(milliseconds{50}, std::string(2000, 'x'));
    expect_whole(reader);
    EXPECT_NE(reader.received().find("HTTP/1.1 400"), std::string::npos);
}

// The same with a request behind the good one that is refused because the memory for bodies is used up.
TEST_F(slow_reader_test, gets_the_whole_response_before_a_request_that_finds_no_memory) {
    auto memory = memory_budget{std::size_t{64} * 1024};
    auto in_use = memory_reservation{&memory};
    ASSERT_TRUE(in_use.try_grow(60 * 1024));
    start({.body_memory = &memory});
    auto reader = slow_reader{m_context, m_server->port()};
    reader.send(request + "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n");
    reader.send_after(milliseconds{50}, std::string(2000, 'x'));
    expect_whole(reader);
    EXPECT_NE(reader.received().find("HTTP/1.1 503"), std::string::npos);
}

// Guards against responses that are lost with a later one that fails on the same connection.
TEST_F(slow_reader_test, gets_the_whole_response_before_one_that_breaks_off) {
    auto handled = 0;
    auto server = http_server{m_context.get_executor(),
                              {.host = "127.0.0.1"},
                              [&](responder& to, http_request asked) -> asio::awaitable<bool> {
                                  if (++handled > 1) {
                                      co_await to.wait_turn();
                                      co_return false;
                                  }
                                  auto answer = json_answer(asked, boost::beast::http::status::ok,
                                                            std::string(body_size, 'x'));
                                  co_return co_await write_answer(to, std::move(answer));
                              }};
    server.start();
    auto reader = slow_reader{m_context, server.port()};
    reader.send(request + request);
    reader.send_after(milliseconds{50}, request);
    ASSERT_TRUE(run_until(m_context, [&] { return reader.end().has_value(); }));
    EXPECT_EQ(std::count(reader.received().begin(), reader.received().end(), 'x'),
              static_cast<std::ptrdiff_t>(body_size));
}

// Guards against connections that stay for ever because their client reads nothing.
TEST_F(slow_reader_test, that_reads_nothing_is_closed_after_a_time) {
    start({.linger_limit = milliseconds{800}});
    auto reader = slow_reader{m_context, m_server->port(), std::nullopt};
    reader.send("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + request);
    ASSERT_TRUE(run_until(m_context, [&] { return m_handled == 1 && m_server->busy() == 0; }));
    const auto began = monotonic_now();
    ASSERT_TRUE(run_until(
        m_context, [&] { return m_server->connections() == 0; }, seconds{3}));
    EXPECT_GE(monotonic_now() - began, milliseconds{700});
}

// Guards against connections that stay after their client has read everything and closed.
TEST_F(slow_reader_test, that_has_closed_behind_unread_input_is_noticed) {
    start();
    {
        auto client = http_client{m_context, m_server->port()};
        client.send("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + request);
        ASSERT_TRUE(run_until(m_context, [&] { return client.is_closed(); }));
        client.close();
        const auto began = monotonic_now();
        ASSERT_TRUE(run_until(m_context, [&] { return m_server->connections() == 0; }));
        EXPECT_LT(monotonic_now() - began, milliseconds{300});
    }
}

} // namespace
} // namespace teaselcross
