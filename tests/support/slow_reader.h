#pragma once

// A client that reads its responses slowly, or not at all.

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace teaselcross {

/// The pace at which a client reads.
struct reading_pace {
    std::chrono::milliseconds start{}; ///< Time to the first part.
    std::size_t part = 900;            ///< Bytes, at most.
    std::chrono::milliseconds pause{45};
    int receive_buffer = 4096; ///< Bytes; 0 for that of the system.
};

/// A client on the test's event loop, which must outlive it. Not thread safe.
class slow_reader {
public:
    /// Connects to @a port on the loopback address. Throws boost::system::system_error if it is refused.
    /// Without a pace, nothing is read.
    slow_reader(boost::asio::io_context& context, std::uint16_t port,
                std::optional<reading_pace> pace = reading_pace{})
        : m_context{context}, m_socket{context} {
        m_socket.open(boost::asio::ip::tcp::v4());
        const auto receive_buffer = pace.value_or(reading_pace{}).receive_buffer;
        if (receive_buffer > 0) {
            m_socket.set_option(boost::asio::socket_base::receive_buffer_size{receive_buffer});
        }
        m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
        if (pace) {
            boost::asio::co_spawn(m_context, read(*pace), boost::asio::detached);
        }
    }

    auto send(const std::string& text) -> void { boost::asio::write(m_socket, boost::asio::buffer(text)); }
    /// Sends @a text after @a delay, if the connection is open then.
    auto send_after(std::chrono::milliseconds delay, std::string text) -> void {
        boost::asio::co_spawn(m_context, send_later(delay, std::move(text)), boost::asio::detached);
    }

    auto received() const -> const std::string& { return m_received; }
    /// How the connection ended; nothing while it is open.
    auto end() const -> std::optional<boost::system::error_code> { return m_end; }
    /// Whether a response with a body of @a size times 'x' has arrived, and the connection ended after it.
    auto has_whole_body(std::size_t size) const -> bool {
        const auto body = m_received.find("\r\n\r\n");
        return m_end && body != std::string::npos &&
               m_received.compare(body + 4, size, std::string(size, 'x')) == 0;
    }

private:
    static constexpr auto as_result = boost::asio::as_tuple(boost::asio::use_awaitable);

    auto read(reading_pace pace) -> boost::asio::awaitable<void> {
        auto part = std::string(pace.part, '\0');
        auto timer = boost::asio::steady_timer{m_context, pace.start};
        co_await timer.async_wait(as_result);
        while (!m_end) {
            const auto [error, size] =
                co_await m_socket.async_read_some(boost::asio::buffer(part), as_result);
            m_received.append(part.data(), size);
            if (error) {
                m_end = error;
            }
            timer.expires_after(pace.pause);
            co_await timer.async_wait(as_result);
        }
        m_socket.close();
    }
    auto send_later(std::chrono::milliseconds delay, std::string text) -> boost::asio::awaitable<void> {
        auto timer = boost::asio::steady_timer{m_context, delay};
        co_await timer.async_wait(as_result);
        auto ignored = boost::system::error_code{};
        boost::asio::write(m_socket, boost::asio::buffer(text), ignored);
    }

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
    std::optional<boost::system::error_code> m_end;
};

} // namespace teaselcross
