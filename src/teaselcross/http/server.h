#pragma once

// An HTTP/1.1 server on one thread: limits, error answers, and a stop that cuts nothing.

#include "http/exchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <set>

namespace teaselcross {

struct server_options {
    std::string host; ///< An IP number.
    std::uint16_t port = 0;
    std::uint32_t header_limit = 16 * 1024;
    std::uint32_t body_limit = 1024 * 1024;
    std::uint32_t connection_limit = 4096;
    duration idle_limit = std::chrono::seconds{60};    ///< Between two requests.
    duration request_limit = std::chrono::seconds{10}; ///< For a request to arrive whole.
    bool sets_outcome_header =
        true; ///< Answers to requests that cannot be read name the outcome, as the callers' API does.
};

/// One connection of a caller, while a request of it is handled.
struct server_connection {
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::string remote;     ///< The peer's IP number.
    bool keep_alive = true; ///< Whether the connection lives on after the present answer.
};

/// Handles a request and writes its answer. Returns false when the connection has to be closed, as after an
/// answer that was cut.
using request_handler = std::function<boost::asio::awaitable<bool>(server_connection&, http_request)>;

class http_server {
public:
    http_server(boost::asio::any_io_executor executor, server_options options, request_handler handler);

    /// Binds and accepts. Throws boost::system::system_error when the address is taken.
    auto start() -> void;
    /// Accepts no more connections, closes idle ones, and lets requests in flight finish.
    auto stop() -> void;

    /// Goes on accepting and answering, but each connection ends with its next answer.
    auto close_after_next_answer() -> void { m_winding_down = true; }

    /// The limits for requests that arrive from now on; host and port stay as they are.
    auto set_limits(const server_options& limits) -> void;

    /// Closes the port and all connections at once, as the end of a process does.
    auto abort() -> void;

    /// Requests whose answer is not finished.
    auto busy() const -> std::size_t { return m_busy; }
    auto connections() const -> std::size_t { return m_sessions.size(); }

private:
    struct session;

    auto accept() -> boost::asio::awaitable<void>;
    auto serve(std::shared_ptr<session> served) -> boost::asio::awaitable<void>;

    boost::asio::any_io_executor m_executor;
    server_options m_options;
    request_handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<session>> m_sessions;
    std::size_t m_busy = 0;
    bool m_stopping = false;
    bool m_winding_down = false;
};

/// Learns that a caller has gone while its request is handled.
class disconnect_watch {
public:
    /// Calls @a on_gone once when the peer of @a watched closes its connection. Both must outlive the watch.
    disconnect_watch(server_connection& watched, std::function<void()> on_gone);
    disconnect_watch(const disconnect_watch&) = delete;
    auto operator=(const disconnect_watch&) -> disconnect_watch& = delete;
    ~disconnect_watch();

    auto is_disconnected() const -> bool { return m_state->gone; }

private:
    struct state {
        bool gone = false;
        bool over = false;
        std::function<void()> on_gone;
    };

    server_connection& m_watched;
    std::shared_ptr<state> m_state;
};

/// Writes a whole answer. False when the connection broke.
auto write_answer(server_connection& to, http_response answer) -> boost::asio::awaitable<bool>;

/// Writes an answer that may have to be streamed; it goes out under the header given. False when either side
/// broke, so that the caller has received a visibly cut answer or none.
auto stream_answer(server_connection& to, open_answer& answer, duration stall_timeout)
    -> boost::asio::awaitable<bool>;

/// Ends when the peer of @a watched has gone; never otherwise.
auto wait_for_disconnect(server_connection& watched) -> boost::asio::awaitable<void>;

/// A JSON answer.
auto json_answer(const http_request& request, boost::beast::http::status status, const std::string& body)
    -> http_response;

} // namespace teaselcross
