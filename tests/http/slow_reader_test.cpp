// Closes of connections whose client still reads the last response, with input that the server does not read:
// the client gets the whole response at its own pace, within bounds.

#include "http/server.h"
#include "runtime/clock.h"
#include "support/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr auto body_size = std::size_t{30'000};
constexpr auto part_size = std::size_t{900};
constexpr auto part_pause = milliseconds{45}; // The whole response takes 1.5 s.

const auto request = std::string{"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"};

/// A client with a small window that reads a part at a time.
class slow_reader {
public:
    slow_reader(asio::io_context& context, std::uint16_t port, bool reads = true)
        : m_context{context}, m_socket{context} {
        m_socket.open(asio::ip::tcp::v4());
        m_socket.set_option(asio::socket_base::receive_buffer_size{4096});
        m_socket.connect({asio::ip::address_v4::loopback(), port});
        if (reads) {
            asio::co_spawn(m_context, read(), asio::detached);
        }
    }

    auto send(const std::string& text) -> void { asio::write(m_socket, asio::buffer(text)); }
    /// Sends @a text once some of the response has been read.
    auto send_after(milliseconds delay, std::string text) -> void {
        asio::co_spawn(
            m_context,
            [](slow_reader& self, milliseconds period, std::string sent) -> asio::awaitable<void> {
                auto timer = asio::steady_timer{self.m_context, period};
                co_await timer.async_wait(as_result);
                auto ignored = boost::system::error_code{};
                asio::write(self.m_socket, asio::buffer(sent), ignored);
            }(*this, delay, std::move(text)),
            asio::detached);
    }

    auto received() const -> const std::string& { return m_received; }
    /// How the connection ended; nothing while it is open.
    auto end() const -> std::optional<boost::system::error_code> { return m_end; }

private:
    auto read() -> asio::awaitable<void> {
        auto part = std::array<char, part_size>{};
        auto timer = asio::steady_timer{m_context};
        while (!m_end) {
            const auto [error, size] = co_await m_socket.async_read_some(asio::buffer(part), as_result);
            m_received.append(part.data(), size);
            if (error) {
                m_end = error;
            }
            timer.expires_after(part_pause);
            co_await timer.async_wait(as_result);
        }
        m_socket.close();
    }

    asio::io_context& m_context;
    asio::ip::tcp::socket m_socket;
    std::string m_received;
    std::optional<boost::system::error_code> m_end;
};

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

    /// Lets six clients that read nothing end their connections, one after the other.
    auto expect_three_of_six_to_stay(const server_options& limits) -> void {
        start(limits);
        auto readers = std::vector<std::unique_ptr<slow_reader>>{};
        for (auto number = std::size_t{1}; number <= 6; ++number) {
            readers.push_back(std::make_unique<slow_reader>(m_context, m_server->port(), false));
            readers.back()->send("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + request);
            ASSERT_TRUE(run_until(m_context, [&] { return m_handled == number && m_server->busy() == 0; }));
            run_until(
                m_context, [] { return false; }, milliseconds{100});
        }
        EXPECT_EQ(m_server->connections(), 3U);
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
    auto reader = slow_reader{m_context, m_server->port(), false};
    reader.send("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + request);
    ASSERT_TRUE(run_until(m_context, [&] { return m_handled == 1 && m_server->busy() == 0; }));
    const auto began = monotonic_now();
    ASSERT_TRUE(run_until(
        m_context, [&] { return m_server->connections() == 0; }, seconds{3}));
    EXPECT_GE(monotonic_now() - began, milliseconds{700});
}

// Guards against files that are used up by clients that read nothing.
TEST_F(slow_reader_test, those_that_read_nothing_are_limited_in_number) {
    expect_three_of_six_to_stay({.lingering_connections = 3});
}

// The same for memory.
TEST_F(slow_reader_test, those_that_read_nothing_are_limited_in_bytes) {
    expect_three_of_six_to_stay({.lingering_bytes = 3 * body_size + body_size / 2});
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
