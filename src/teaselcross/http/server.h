#pragma once

// A single-threaded HTTP/1.1 server with size and time limits, error responses and a graceful shutdown.

#include "http/responder.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace teaselcross {

struct server_options {
    std::string host; ///< IP address.
    std::uint16_t port = 0;
    std::uint32_t header_limit = 16 * 1024;
    std::uint32_t body_limit = 1024 * 1024;
    std::uint32_t connection_limit = 4096;
    duration idle_limit = std::chrono::seconds{60};    ///< Between two requests.
    duration request_limit = std::chrono::seconds{10}; ///< For the complete request to arrive.
    /// For the last responses of a connection to arrive at a client that reads slowly, once it gets no more.
    duration linger_limit = std::chrono::seconds{30};
    /// Bytes of responses that were written and have not arrived at their clients, of all connections
    /// together. Beyond it new requests are refused. A response that has begun stays, until its client has
    /// stopped waiting for it.
    std::size_t undelivered_limit = std::size_t{64} * 1024 * 1024;
    /// Requests of one connection that are handled at the same time; the next one is read afterwards.
    std::size_t pipeline_limit = 16;
    /// Bodies of the requests of one connection that are handled at the same time, in bytes; one request is
    /// always read.
    std::size_t pipeline_bytes = std::size_t{256} * 1024;
    /// Limits the memory of the bodies of all requests in progress together, beside a few kilobytes for each.
    /// Null for no limit; it must outlive the event loop.
    memory_budget* body_memory = nullptr;
    /// Builds the response to a request that is not handled because the memory is used up; null for a plain
    /// one.
    std::function<http_response(const boost::beast::http::request_header<>&)> make_busy_answer;
    bool sets_outcome_header = true; ///< Whether error responses to malformed requests carry the outcome
                                     ///< header, as in the client API.
};

/// Handles a request and writes its response. Returns false if the connection has to be closed, for example
/// after a truncated response. The handlers of requests that a client sent without waiting run side by side.
using request_handler = std::function<boost::asio::awaitable<bool>(responder&, http_request)>;

/// Serves requests of many connections. Pipelined requests of one connection are handled at once, up to
/// limits, and answered in order. Not thread safe: use it on the event loop's thread only.
class http_server {
public:
    http_server(boost::asio::any_io_executor executor, server_options options, request_handler handler);

    /// Binds the port and starts accepting. Throws boost::system::system_error if the address is in use.
    auto start() -> void;
    /// Stops accepting, once the connections that already wait to be accepted have been, closes idle
    /// connections and lets requests in flight finish.
    auto stop() -> void;

    /// Keeps accepting and handling requests, but closes each connection after the responses to the requests
    /// that were read; an idle connection is closed after its next response.
    auto close_after_next_answer() -> void;

    /// Sets the size and time limits for later requests. Host, port and connection limit are unchanged.
    auto set_limits(const server_options& limits) -> void;

    /// Closes the connections before the process ends, so that the system goes on delivering what was written
    /// on them: input that was not read would make it reset them instead.
    auto hand_over_to_system() -> void;

    /// Closes the port and resets all connections immediately, as when the process is killed.
    auto abort() -> void;

    /// The port that is bound; useful if the options leave the choice to the system.
    /// @pre start() has been called.
    auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }
    /// Number of requests whose response has not been finished.
    auto busy() const -> std::size_t { return *m_busy; }
    auto connections() const -> std::size_t { return *m_connections; }

private:
    struct session;
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    auto accept() -> boost::asio::awaitable<void>;
    auto accept_waiting() -> void;
    auto start_session(boost::asio::ip::tcp::socket socket) -> void;
    auto open_sessions() const -> std::vector<std::shared_ptr<session>>;
    auto spawn(boost::asio::awaitable<void> work) -> void;
    auto serve(std::shared_ptr<session> client_session) -> boost::asio::awaitable<void>;
    auto may_read(const session& client_session) const -> bool;
    auto close_gracefully(std::shared_ptr<session> client_session) -> boost::asio::awaitable<void>;
    auto linger(std::shared_ptr<session> client_session) -> boost::asio::awaitable<void>;
    auto linger_check_interval() const -> duration;
    auto release_settled() -> bool;
    auto is_undelivered_full() -> bool;
    auto measure_undelivered(instant now) -> void;
    auto wait_for_input(std::shared_ptr<session> client_session, duration limit)
        -> boost::asio::awaitable<void>;
    auto read_request(std::shared_ptr<session> client_session) -> boost::asio::awaitable<void>;
    auto read_body(std::shared_ptr<session> client_session, request_parser& parser,
                   memory_reservation& reserved) -> boost::asio::awaitable<boost::system::error_code>;
    auto respond(std::shared_ptr<session> client_session, std::shared_ptr<responder> to, http_request request,
                 memory_reservation reserved) -> boost::asio::awaitable<void>;
    auto respond_busy(std::shared_ptr<session> client_session,
                      const boost::beast::http::request_header<>& refused) -> boost::asio::awaitable<void>;
    auto log_full_memory(const boost::beast::http::request_header<>& refused) const -> void;
    auto respond_to_malformed(std::shared_ptr<session> client_session, boost::system::error_code error)
        -> boost::asio::awaitable<void>;

    boost::asio::any_io_executor m_executor;
    server_options m_options;
    request_handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    /// The coroutine that serves a connection owns its session.
    std::set<std::weak_ptr<session>, std::owner_less<>> m_sessions;
    std::size_t m_undelivered = 0; ///< Bytes that had not arrived at their clients at the last measurement.
    instant m_next_measurement{};
    /// Shared with the connections and requests, which are counted until they are destroyed: also when an
    /// exception ends their coroutine, or the event loop is destroyed after the server.
    std::shared_ptr<std::size_t> m_connections = std::make_shared<std::size_t>();
    std::shared_ptr<std::size_t> m_busy = std::make_shared<std::size_t>();
    /// Connections that wait for their last responses to arrive.
    std::shared_ptr<std::size_t> m_lingering = std::make_shared<std::size_t>();
    /// Bytes of responses that were written since the last measurement.
    std::shared_ptr<std::size_t> m_written = std::make_shared<std::size_t>();
    bool m_stopping = false;
    bool m_close_after_next_answer = false;
};

/// Builds a response with a JSON body.
auto json_answer(const http_request& request, boost::beast::http::status status, const std::string& body)
    -> http_response;

} // namespace teaselcross
