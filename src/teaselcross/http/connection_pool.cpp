#include "http/connection_pool.h"

#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace teaselcross {

namespace asio = boost::asio;

namespace {

/// Whether the peer has closed an idle connection or sent unsolicited data on it.
auto is_stale(asio::ip::tcp::socket& socket) -> bool {
    auto byte = char{};
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

auto set_option(asio::ip::tcp::socket& socket, int level, int name, int value) -> void {
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

} // namespace

auto set_keepalive_options(asio::ip::tcp::socket& socket, duration user_timeout) -> void {
    constexpr auto keepalive_seconds = 1;
    constexpr auto keepalive_count = 3;
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_count);
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(user_timeout).count();
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(milliseconds));
}

auto connection_pool::acquire(endpoint peer, duration max_idle)
    -> asio::awaitable<tl::expected<std::unique_ptr<connection>, connect_error>> {
    if (auto idle = take_idle(peer, max_idle)) {
        co_return std::move(idle);
    }
    auto error = boost::system::error_code{};
    const auto address = asio::ip::make_address(peer.host, error);
    if (error) {
        co_return tl::unexpected(connect_error::unreachable);
    }
    auto opened = std::make_unique<connection>(boost::beast::tcp_stream{m_executor});
    opened->peer = peer;
    opened->stream.expires_after(m_options.connect_timeout);
    const auto [failed] = co_await opened->stream.async_connect(asio::ip::tcp::endpoint{address, peer.port},
                                                                asio::as_tuple(asio::use_awaitable));
    if (failed) {
        co_return tl::unexpected(failed == asio::error::connection_refused ? connect_error::refused
                                                                           : connect_error::unreachable);
    }
    ++m_opened;
    set_keepalive_options(opened->stream.socket(), m_options.user_timeout);
    if (m_options.reset_on_close) {
        auto ignored = boost::system::error_code{};
        opened->stream.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
    }
    co_return std::move(opened);
}

auto connection_pool::release(std::unique_ptr<connection> used) -> void {
    auto& idle = m_idle[used->peer];
    if (idle.size() < m_options.idle_per_peer && used->buffer.size() == 0) {
        used->last_used = monotonic_now();
        used->was_used = true;
        used->stream.expires_never();
        idle.push_back(std::move(used));
    }
}

auto connection_pool::close_idle(const endpoint& peer) -> void {
    m_idle.erase(peer);
}

auto connection_pool::take_idle(const endpoint& peer, duration max_idle) -> std::unique_ptr<connection> {
    const auto found = m_idle.find(peer);
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto& idle = found->second;
    const auto now = monotonic_now();
    while (!idle.empty()) {
        // The most recently used connection is the least likely to be dead.
        if (now - idle.back()->last_used >= max_idle) {
            return nullptr; // Other exchanges may still use it.
        }
        auto candidate = std::move(idle.back());
        idle.pop_back();
        const auto limit = std::min(m_options.idle_limit, candidate->idle_limit);
        if (now - candidate->last_used < limit && !is_stale(candidate->stream.socket())) {
            return candidate;
        }
    }
    return nullptr;
}

} // namespace teaselcross
