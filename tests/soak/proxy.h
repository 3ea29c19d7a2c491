#pragma once

// A loopback proxy for connections that are delayed, silenced, cut one way or reset.

#include "http/connection_pool.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <random>
#include <set>

namespace teaselcross::soak {

enum class link_mode {
    open,
    silent,  ///< Nothing passes, and nothing is closed.
    one_way, ///< Requests pass, answers do not.
    reset,   ///< Connections are reset, new ones too.
    held,    ///< As silent, but what is held up passes later, also if its sender has reset the connection.
};

/// Forwards the connections that it accepts to one address. Belongs to the event loop's thread.
class proxy {
public:
    proxy(boost::asio::io_context& context, endpoint from, endpoint to);

    auto start() -> void;
    /// Applies to connections that exist, too. What is held up passes at a time of its own within @a backlog
    /// after the link has healed.
    auto set(link_mode mode, duration delay = {}, duration backlog = {}) -> void;

    /// Limits each direction of the link, all connections together, to so many bytes per second.
    auto set_rate(double bytes_per_second) -> void { m_rate = bytes_per_second; }

private:
    struct session;

    auto accept() -> boost::asio::awaitable<void>;
    auto pump(std::shared_ptr<session> through, bool to_target) -> boost::asio::awaitable<void>;
    /// When bytes of this number have passed the link in one direction.
    auto reserve(std::size_t size, bool to_target) -> instant;

    boost::asio::io_context& m_context;
    endpoint m_to;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<session>> m_sessions;
    link_mode m_mode = link_mode::open;
    duration m_delay{};
    duration m_backlog{};
    std::minstd_rand m_random; ///< Draws the times within the backlog.
    double m_rate = 0;         ///< In bytes per second; 0: unlimited.
    std::array<instant, 2> m_busy_until{};
};

} // namespace teaselcross::soak
