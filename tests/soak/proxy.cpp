#include "proxy.h"

#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace teaselcross::soak {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr auto blocked_poll = std::chrono::milliseconds{10};

auto address_of(const endpoint& named) -> tcp::endpoint {
    return {asio::ip::make_address(named.host), named.port};
}

auto reset(tcp::socket& socket) -> void {
    auto ignored = boost::system::error_code{};
    socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    socket.close(ignored);
}

/// Whether the peer of @a socket has reset it; what it sent before is lost then.
auto was_reset(tcp::socket& socket) -> bool {
    auto byte = char{};
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
}

} // namespace

struct proxy::session {
    tcp::socket caller;
    tcp::socket target;
    int directions = 2; ///< That still pass something on.
};

proxy::proxy(asio::io_context& context, endpoint from, endpoint to)
    : m_context{context}, m_to{std::move(to)}, m_acceptor{context, address_of(from)} {}

auto proxy::start() -> void {
    asio::co_spawn(m_context, accept(), asio::detached);
}

auto proxy::set(link_mode mode, duration delay, duration backlog) -> void {
    m_mode = mode;
    m_delay = delay;
    m_backlog = backlog;
    if (mode == link_mode::reset) {
        for (const auto& each : m_sessions) {
            reset(each->caller);
            reset(each->target);
        }
    }
}

auto proxy::accept() -> asio::awaitable<void> {
    while (true) {
        auto [error, socket] = co_await m_acceptor.async_accept(as_result);
        if (error) {
            continue;
        }
        if (m_mode == link_mode::reset) {
            reset(socket);
            continue;
        }
        auto through =
            std::make_shared<session>(session{.caller = std::move(socket), .target = tcp::socket{m_context}});
        const auto [refused] = co_await through->target.async_connect(address_of(m_to), as_result);
        if (refused) {
            reset(through->caller);
            continue;
        }
        m_sessions.insert(through);
        asio::co_spawn(m_context, pump(through, true), asio::detached);
        asio::co_spawn(m_context, pump(through, false), asio::detached);
    }
}

auto proxy::reserve(std::size_t size, bool to_target) -> instant {
    auto& busy_until = m_busy_until.at(to_target ? 1 : 0);
    const auto taken = std::chrono::duration<double>(static_cast<double>(size) / m_rate);
    busy_until = std::max(busy_until, monotonic_now()) + std::chrono::duration_cast<duration>(taken);
    return busy_until;
}

auto proxy::pump(std::shared_ptr<session> through, bool to_target) -> asio::awaitable<void> {
    auto& from = to_target ? through->caller : through->target;
    auto& to = to_target ? through->target : through->caller;
    auto bytes = std::array<char, 16384>{};
    auto timer = asio::steady_timer{m_context};
    auto ignored = boost::system::error_code{};
    while (true) {
        const auto [error, size] = co_await from.async_read_some(asio::buffer(bytes), as_result);
        const auto was_held = m_mode == link_mode::held;
        while (m_mode == link_mode::silent || m_mode == link_mode::held ||
               (m_mode == link_mode::one_way && !to_target)) {
            timer.expires_after(blocked_poll);
            co_await timer.async_wait(as_result);
            // Bytes that a partition holds up are lost when their sender resets the connection.
            if (m_mode != link_mode::held && !was_held && from.is_open() && was_reset(from)) {
                reset(from);
                reset(to);
            }
        }
        if (was_held && m_backlog > duration::zero()) {
            timer.expires_after(duration{
                static_cast<duration::rep>(m_random() % static_cast<std::uint64_t>(m_backlog.count()))});
            co_await timer.async_wait(as_result);
        }
        if (error == asio::error::eof) {
            to.shutdown(tcp::socket::shutdown_send, ignored);
            break;
        }
        if (error) {
            // A reset stays a reset: a broken answer must not look like an orderly end.
            reset(from);
            reset(to);
            break;
        }
        if (m_delay > duration::zero()) {
            timer.expires_after(m_delay);
            co_await timer.async_wait(as_result);
        }
        if (m_rate > 0) {
            timer.expires_after(reserve(size, to_target) - monotonic_now());
            co_await timer.async_wait(as_result);
        }
        const auto [broken, written] =
            co_await asio::async_write(to, asio::buffer(bytes.data(), size), as_result);
        if (broken) {
            reset(from);
            break;
        }
    }
    if (--through->directions == 0) {
        m_sessions.erase(through);
    }
}

} // namespace teaselcross::soak
