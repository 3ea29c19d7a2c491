#pragma once

// A single-threaded HTTP/1.1 server with size and time limits, error responses and a graceful shutdown.

#include "http/exchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <set>

namespace teaselcross {

struct server_options {
    std::string host; ///< IP address.
    std::uint16_t port = 0;
    std::uint32_t header_limit = 16 * 1024;
    std::uint32_t body_limit = 1024 * 1024;
    std::uint32_t connection_limit = 4096;
    duration idle_limit = std::chrono::seconds{60};    ///< Between two requests.
    duration request_limit = std::chrono::seconds{10}; ///< For the complete request to arrive.
    bool sets_outcome_header = true; ///< Whether error responses to malformed requests carry the outcome
                                     ///< header, as in the client API.
};

/// A client connection, as passed to the request handler.
struct server_connection {
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::string remote;     ///< The peer's IP address.
    bool keep_alive = true; ///< Whether the connection stays open after the current response.
};

/// Handles a request and writes its response. Returns false if the connection has to be closed, for example
/// after a truncated response.
using request_handler = std::function<boost::asio::awaitable<bool>(server_connection&, http_request)>;

class http_server {
public:
    http_server(boost::asio::any_io_executor executor, server_options options, request_handler handler);

    /// Binds the port and starts accepting. Throws boost::system::system_error if the address is in use.
    auto start() -> void;
    /// Stops accepting, closes idle connections and lets requests in flight finish.
    auto stop() -> void;

    /// Keeps accepting and handling requests, but closes each connection after its next response.
    auto close_after_next_answer() -> void { m_close_after_next_answer = true; }

    /// Sets the size and time limits for later requests. Host, port and connection limit are unchanged.
    auto set_limits(const server_options& limits) -> void;

    /// Closes the port and resets all connections immediately, as when the process is killed.
    auto abort() -> void;

    /// Number of requests whose response has not been finished.
    auto busy() const -> std::size_t { return m_busy; }
    auto connections() const -> std::size_t { return m_sessions.size(); }

private:
    struct session;

    auto accept() -> boost::asio::awaitable<void>;
    auto serve(std::shared_ptr<session> client_session) -> boost::asio::awaitable<void>;

    boost::asio::any_io_executor m_executor;
    server_options m_options;
    request_handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<session>> m_sessions;
    std::size_t m_busy = 0;
    bool m_stopping = false;
    bool m_close_after_next_answer = false;
};

/// Detects that the client disconnects while its request is being handled.
class disconnect_watch {
public:
    /// Calls @a on_disconnect once, if the peer of @a client closes its connection. @a client and all that
    /// @a on_disconnect refers to must outlive the watch.
    disconnect_watch(server_connection& client, std::function<void()> on_disconnect);
    disconnect_watch(const disconnect_watch&) = delete;
    auto operator=(const disconnect_watch&) -> disconnect_watch& = delete;
    ~disconnect_watch();

    auto is_disconnected() const -> bool { return m_state->disconnected; }

private:
    struct state {
        bool disconnected = false;
        bool cancelled = false;
        std::function<void()> on_disconnect;
    };

    server_connection& m_client;
    std::shared_ptr<state> m_state;
};

/// Writes a complete response. Returns false if the connection broke.
auto write_answer(server_connection& client, http_response answer) -> boost::asio::awaitable<bool>;

struct stream_limits {
    duration stall_timeout{};                 ///< Between two parts of the body.
    duration total_timeout = duration::max(); ///< For the whole body, which may be without end.
};

/// Writes a response with the header of @a answer and streams the part of the body that has not been read
/// yet. Returns false if either connection broke or a limit was reached; the client has then received a
/// detectably truncated response or none.
auto stream_answer(server_connection& client, open_answer& answer, stream_limits limits)
    -> boost::asio::awaitable<bool>;

/// Completes when the peer of @a client disconnects, and never otherwise.
auto wait_for_disconnect(server_connection& client) -> boost::asio::awaitable<void>;

/// Builds a response with a JSON body.
auto json_answer(const http_request& request, boost::beast::http::status status, const std::string& body)
    -> http_response;

} // namespace teaselcross
