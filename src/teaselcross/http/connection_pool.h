#pragma once

// Client connections of one thread, kept open per endpoint and reused.

#include "core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <tl/expected.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace teaselcross {

struct endpoint {
    std::string host; ///< An IP number.
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// One client connection with its read buffer.
struct connection {
    explicit connection(boost::beast::tcp_stream opened) : stream{std::move(opened)} {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    endpoint peer;
    instant last_used{};
    duration idle_limit = duration::max(); ///< After which the peer says it closes the connection.
};

/// Why there is no connection.
enum class connect_error { refused, unreachable };

struct pool_options {
    duration connect_timeout = std::chrono::milliseconds{500};
    duration idle_limit = std::chrono::seconds{5}; ///< Unused for longer, a connection may have gone silent.
    duration user_timeout = std::chrono::seconds{2}; ///< Unacknowledged data ends the connection after this.
    std::size_t idle_per_peer = 64;
    /// Closing resets the connection, so that bytes still on their way, as behind a partition, never arrive.
    bool reset_on_close = false;
};

/// Connections of one thread. Not thread safe.
class connection_pool {
public:
    connection_pool(boost::asio::any_io_executor executor, pool_options options)
        : m_executor{std::move(executor)}, m_options{options} {}

    /// An idle connection to @a peer that was used within @a freshness and is not known to be closed, or a
    /// new one.
    auto acquire(endpoint peer, duration freshness = duration::max())
        -> boost::asio::awaitable<tl::expected<std::unique_ptr<connection>, connect_error>>;

    /// Takes back a connection whose last answer was read to its end.
    auto release(std::unique_ptr<connection> used) -> void;

    /// Closes the idle connections to @a peer, after one of them went silent.
    auto forget(const endpoint& peer) -> void;

    /// Connections opened so far.
    auto opened() const -> std::uint64_t { return m_opened; }

private:
    auto take_idle(const endpoint& peer, duration freshness) -> std::unique_ptr<connection>;

    boost::asio::any_io_executor m_executor;
    pool_options m_options;
    std::map<endpoint, std::vector<std::unique_ptr<connection>>> m_idle;
    std::uint64_t m_opened = 0;
};

/// Sets the options by which the kernel notices peers that have gone silent.
auto guard_against_silence(boost::asio::ip::tcp::socket& socket, duration user_timeout) -> void;

} // namespace teaselcross
