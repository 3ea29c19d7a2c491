#pragma once

// A target on a loopback port that answers with the bytes that a test chooses.

#include "http/exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace teaselcross {

/// A request as a scripted target received it.
struct scripted_request {
    std::size_t connection = 0;    ///< Number of the connection, from 0.
    std::size_t on_connection = 0; ///< Number of the request on its connection, from 0.
    std::size_t number = 0;        ///< Number of the request at the target, from 0.
    std::string attempt_id;
    const http_request* whole = nullptr; ///< Valid during the call of the script only.
};

/// What a target does with a request.
struct scripted_answer {
    std::string bytes;
    std::string head; ///< Sent once, before the bytes.
    bool closes = false;
    bool is_endless = false; ///< The bytes are sent again and again until the router closes the connection.
    std::chrono::milliseconds pause{}; ///< Between two repetitions.
};

using target_script = std::function<scripted_answer(const scripted_request&)>;

/// Not thread safe: use it on the event loop's thread only. It must outlive the event loop's run.
class scripted_target {
public:
    /// Starts accepting. Throws boost::system::system_error if no port can be opened.
    scripted_target(boost::asio::io_context& context, target_script script);

    auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }
    /// Number of requests received.
    auto requests() const -> std::size_t { return m_requests; }
    /// Number of connections accepted.
    auto connections() const -> std::size_t { return m_connections; }

private:
    auto accept() -> boost::asio::awaitable<void>;
    auto serve(boost::asio::ip::tcp::socket socket) -> boost::asio::awaitable<void>;

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    target_script m_script;
    std::size_t m_requests = 0;
    std::size_t m_connections = 0;
};

/// A success of a target: signed, with the attempt ID of the request. @a fields are further header lines.
auto success(const std::string& attempt_id, const std::string& body, const std::string& fields = {})
    -> std::string;
/// A refusal of a target, which says that the request has not run.
auto refusal(const std::string& attempt_id, const std::string& fields = {}) -> std::string;

} // namespace teaselcross
