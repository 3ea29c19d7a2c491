#pragma once

// A per-thread pool of client connections that are kept open for each endpoint and reused.

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
    std::string host; ///< IP address.
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// One client connection with its read buffer.
struct connection {
    /// Bounds what a peer can send without completing a header field or the frame of a chunk.
    static constexpr auto max_buffered = std::size_t{256} * 1024;

    explicit connection(boost::beast::tcp_stream opened) : stream{std::move(opened)}, buffer{max_buffered} {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    endpoint peer;
    instant last_used{};
    duration idle_limit = duration::max(); ///< Idle timeout that the peer announced.
    bool was_used = false; ///< An earlier exchange used it, so what arrives may belong to that one.
};

/// Why no connection could be acquired.
enum class connect_error { refused, unreachable };

struct pool_options {
    duration connect_timeout = std::chrono::milliseconds{500};
    duration idle_limit = std::chrono::seconds{5};   ///< Idle for longer, a connection may be dead.
    duration user_timeout = std::chrono::seconds{2}; ///< TCP_USER_TIMEOUT for unacknowledged data.
    std::size_t idle_per_peer = 64;
    /// Closes with a TCP reset, so that data in flight, for example across a network partition, is never
    /// delivered later.
    bool reset_on_close = false;
};

/// Pool of client connections. Not thread safe: each thread has a pool.
class connection_pool {
public:
    connection_pool(boost::asio::any_io_executor executor, pool_options options)
        : m_executor{std::move(executor)}, m_options{options} {}

    /// Returns an idle connection to @a peer that was used within @a max_idle and that the peer has not
    /// closed, or opens a new one. Opens a new one in any case if @a max_idle is zero.
    auto acquire(endpoint peer, duration max_idle = duration::max())
        -> boost::asio::awaitable<tl::expected<std::unique_ptr<connection>, connect_error>>;

    /// Returns a connection to the pool. Its last response must have been read completely.
    auto release(std::unique_ptr<connection> used) -> void;

    /// Sets how many idle connections to one peer are kept; those that are idle already stay.
    auto set_idle_per_peer(std::size_t limit) -> void { m_options.idle_per_peer = limit; }

    /// Closes the idle connections to @a peer, for use after one of them timed out or broke.
    auto close_idle(const endpoint& peer) -> void;

    /// Number of connections opened so far.
    auto opened() const -> std::uint64_t { return m_opened; }

private:
    auto take_idle(const endpoint& peer, duration max_idle) -> std::unique_ptr<connection>;

    boost::asio::any_io_executor m_executor;
    pool_options m_options;
    std::map<endpoint, std::vector<std::unique_ptr<connection>>> m_idle;
    std::uint64_t m_opened = 0;
};

/// Disables Nagle's algorithm and sets the keepalive and timeout options by which the kernel detects an
/// unresponsive peer.
auto set_keepalive_options(boost::asio::ip::tcp::socket& socket, duration user_timeout) -> void;

} // namespace teaselcross
