// Bytes without end that are no answer, in a head or a body: bounded memory and time, and the connection is
// not used again.

#include "http/server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr auto exchange_timeout = duration{milliseconds{300}};
constexpr auto body_limit = std::size_t{256} * 1024;
/// What both ends of a loopback connection may hold, besides the answer's own limit.
constexpr auto socket_buffers = std::size_t{24} * 1024 * 1024;

/// What a peer sends after any request.
struct endless_answer {
    const char* name;
    std::string start;
    std::string repeated; ///< Without end, until the connection is closed.
    duration pause{};     ///< Between two repetitions.
};

auto repeat(const std::string& text, int times) -> std::string {
    auto repeated = std::string{};
    for (auto count = 0; count < times; ++count) {
        repeated += text;
    }
    return repeated;
}

auto endless_answers() -> std::vector<endless_answer> {
    const auto ok = std::string{"HTTP/1.1 200 OK\r\n"};
    const auto chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const auto block = std::string(16384, 'x');
    return {{.name = "head without a line", .repeated = block},
            {.name = "status line", .start = "HTTP/1.1 200 ", .repeated = block},
            {.name = "header field", .start = ok + "A: ", .repeated = block},
            {.name = "header fields", .start = ok, .repeated = repeat("A: b\r\n", 2000)},
            {.name = "empty lines", .repeated = repeat("\r\n", 2000)},
            {.name = "slow head", .start = ok, .repeated = "A: b\r\n", .pause = milliseconds{20}},
            {.name = "chunks", .start = chunked, .repeated = "4000\r\n" + block + "\r\n"},
            {.name = "slow chunks", .start = chunked, .repeated = "1\r\nx\r\n", .pause = milliseconds{20}},
            {.name = "chunk size", .start = chunked, .repeated = repeat("0", 16384)},
            {.name = "chunk extension", .start = chunked + "1;", .repeated = block},
            {.name = "trailer field", .start = chunked + "0\r\nA: ", .repeated = block},
            {.name = "trailer fields", .start = chunked + "0\r\n", .repeated = repeat("A: b\r\n", 2000)},
            {.name = "body without length", .start = ok + "\r\n", .repeated = block},
            {.name = "slow body without length",
             .start = ok + "\r\n",
             .repeated = "x",
             .pause = milliseconds{20}},
            {.name = "after an answer", .start = ok + "Content-Length: 0\r\n\r\n", .repeated = block},
            {.name = "interim answers", .repeated = repeat("HTTP/1.1 100 Continue\r\n\r\n", 500)}};
}

/// A peer that answers every connection with the same bytes.
class endless_peer {
public:
    endless_peer(asio::any_io_executor executor, endless_answer answer)
        : m_executor{executor},
          m_acceptor{executor, {asio::ip::address_v4::loopback(), 0}}, m_answer{std::move(answer)} {
        asio::co_spawn(m_executor, accept(), asio::detached);
    }

    auto address() const -> endpoint {
        return {.host = "127.0.0.1", .port = m_acceptor.local_endpoint().port()};
    }
    auto connections() const -> std::size_t { return m_connections; }
    auto sent() const -> std::size_t { return m_sent; }

private:
    auto accept() -> asio::awaitable<void> {
        while (true) {
            auto [error, socket] = co_await m_acceptor.async_accept(as_result);
            if (error) {
                co_return;
            }
            ++m_connections;
            asio::co_spawn(m_executor, send(std::move(socket)), asio::detached);
        }
    }

    auto send(asio::ip::tcp::socket socket) -> asio::awaitable<void> {
        auto request = std::array<char, 4096>{};
        static_cast<void>(co_await socket.async_read_some(asio::buffer(request), as_result));
        auto timer = asio::steady_timer{m_executor};
        auto text = &m_answer.start;
        while (true) {
            const auto [error, size] = co_await asio::async_write(socket, asio::buffer(*text), as_result);
            m_sent += size;
            if (error) {
                break;
            }
            text = &m_answer.repeated;
            timer.expires_after(m_answer.pause);
            static_cast<void>(co_await timer.async_wait(as_result));
        }
    }

    asio::any_io_executor m_executor;
    asio::ip::tcp::acceptor m_acceptor;
    endless_answer m_answer;
    std::size_t m_connections = 0;
    std::size_t m_sent = 0;
};

class endless_answer_test : public testing::TestWithParam<endless_answer> {
protected:
    /// Runs the event loop until @a condition holds; false after five seconds without it.
    template <class Condition>
    auto run_until(Condition condition) -> bool {
        const auto end = std::chrono::steady_clock::now() + seconds{5};
        while (!condition() && std::chrono::steady_clock::now() < end) {
            m_context.run_one_for(milliseconds{50});
        }
        return condition();
    }

    /// Performs one exchange with @a peer. Returns false if it does not end in time.
    auto exchange_ends(const endless_peer& peer) -> bool {
        auto is_done = false;
        auto request = http_request{boost::beast::http::verb::get, "/", 11};
        asio::co_spawn(
            m_context,
            [&]() -> asio::awaitable<void> {
                auto address = peer.address();
                static_cast<void>(co_await perform_exchange(m_pool, std::move(address), std::move(request),
                                                            exchange_timeout, body_limit));
                is_done = true;
            },
            asio::detached);
        return run_until([&] { return is_done; });
    }

    asio::io_context m_context{1};
    connection_pool m_pool{m_context.get_executor(), {}};
};

TEST_P(endless_answer_test, is_given_up_within_bounds_and_its_connection_is_not_used_again) {
    auto peer = endless_peer{m_context.get_executor(), GetParam()};
    ASSERT_TRUE(exchange_ends(peer));
    EXPECT_LE(peer.sent(), body_limit + socket_buffers);
    // A second request may use the connection only as long as nothing has followed the answer.
    ASSERT_TRUE(run_until([&] { return peer.sent() > GetParam().start.size(); }));
    ASSERT_TRUE(exchange_ends(peer));
    EXPECT_EQ(peer.connections(), 2);
}

TEST_P(endless_answer_test, is_not_passed_on_for_longer_than_the_caller_waits) {
    auto peer = endless_peer{m_context.get_executor(), GetParam()};
    auto is_done = false;
    auto server = asio::ip::tcp::acceptor{m_context, {asio::ip::address_v4::loopback(), 0}};
    auto caller = asio::ip::tcp::socket{m_context};
    caller.connect(server.local_endpoint());
    const auto link = std::make_shared<client_link>(server.accept());
    auto to = responder{link};
    asio::co_spawn(
        m_context,
        [&]() -> asio::awaitable<void> {
            const auto limits = exchange_limits{.answer_timeout = exchange_timeout,
                                                .stall_timeout = exchange_timeout,
                                                .buffer_timeout = exchange_timeout,
                                                .buffered_body_limit = 4096};
            auto request = http_request{boost::beast::http::verb::get, "/", 11};
            auto address = peer.address();
            auto answer = co_await begin_exchange(m_pool, std::move(address), std::move(request), limits);
            if (answer) {
                static_cast<void>(co_await stream_answer(
                    to, *answer, {.stall_timeout = exchange_timeout, .total_timeout = exchange_timeout}));
                abort_exchange(*answer);
            }
            link->close();
            is_done = true;
        },
        asio::detached);
    asio::co_spawn(
        m_context,
        [&]() -> asio::awaitable<void> {
            auto bytes = std::array<char, 65536>{};
            while (true) {
                const auto [error, size] = co_await caller.async_read_some(asio::buffer(bytes), as_result);
                if (error) {
                    co_return;
                }
            }
        },
        asio::detached);
    EXPECT_TRUE(run_until([&] { return is_done; }));
}

INSTANTIATE_TEST_SUITE_P(answers, endless_answer_test, testing::ValuesIn(endless_answers()),
                         [](const auto& parameter) {
                             auto name = std::string{parameter.param.name};
                             std::replace(name.begin(), name.end(), ' ', '_');
                             return name;
                         });

} // namespace
} // namespace teaselcross
