#pragma once

// A client connection whose bytes a test chooses, for servers that run on the test's event loop.

#include "http/exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace teaselcross {

/// Not thread safe: use it on the event loop's thread only. It must outlive the event loop's run.
class http_client {
public:
    /// Connects to @a port on the loopback address. Throws boost::system::system_error if it is refused.
    http_client(boost::asio::io_context& context, std::uint16_t port);

    /// Sends @a text at once, which must fit the socket's buffer.
    auto send(const std::string& text) -> void;
    /// Ends the sending side, as a client that leaves.
    auto close() -> void;

    /// The responses that have arrived so far.
    auto responses() const -> const std::vector<http_response>& { return m_responses; }
    /// Whether the server has closed the connection.
    auto is_closed() const -> bool { return m_closed; }
    /// Whether the connection ended within a response.
    auto is_cut() const -> bool { return m_cut; }

private:
    auto receive() -> boost::asio::awaitable<void>;

    boost::beast::tcp_stream m_stream;
    std::vector<http_response> m_responses;
    bool m_closed = false;
    bool m_cut = false;
};

/// Runs @a context until @a condition holds, for at most @a limit. Returns whether it holds.
template <class Condition>
auto run_until(boost::asio::io_context& context, Condition condition,
               std::chrono::milliseconds limit = std::chrono::seconds{10}) -> bool {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_for(std::chrono::milliseconds{1});
    }
    return condition();
}

} // namespace teaselcross
