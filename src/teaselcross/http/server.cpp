#include "http/server.h"

#include "http/message_reader.h"
#include "http/server_session.h"
#include "logging/log.h"
#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>
#include <optional>

#include <sys/socket.h>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
/// How long a connection that was accepted before a stop may take to send its first request.
constexpr auto first_request_limit = duration{std::chrono::milliseconds{200}};

/// Bytes of a connection that are buffered beside a header, before they are parsed.
constexpr auto read_ahead_limit = std::size_t{256} * 1024;
/// Each request may have a body of this size beside the memory for bodies, so that small ones are always
/// read.
constexpr auto small_body = std::size_t{4} * 1024;

/// Builds the error response to a request that could not be parsed.
auto error_answer(const boost::system::error_code& error, bool sets_outcome_header) -> http_response {
    auto status = http::status::bad_request;
    auto text = std::string{"The request is malformed: "} + error.message() + ".";
    if (error == http::error::header_limit) {
        status = http::status::request_header_fields_too_large;
        text = "The header is larger than this server allows.";
    } else if (error == http::error::body_limit) {
        status = http::status::payload_too_large;
        text = "The body is larger than this server allows.";
    }
    auto answer = http_response{status, 11};
    answer.set(http::field::content_type, "application/json");
    if (sets_outcome_header) {
        answer.set("Teaselcross-Outcome", "not-run");
    }
    answer.body() = nlohmann::json{{"error", text}, {"outcome", "not-run"}}.dump() + "\n";
    answer.prepare_payload();
    return answer;
}

/// Builds the response to a request that is not read because the memory for bodies is used up.
auto plain_busy_answer(bool sets_outcome_header) -> http_response {
    auto answer = http_response{http::status::service_unavailable, 11};
    answer.set(http::field::content_type, "application/json");
    answer.set(http::field::retry_after, "1");
    if (sets_outcome_header) {
        answer.set("Teaselcross-Outcome", "not-run");
    }
    answer.body() =
        nlohmann::json{{"error", "The memory for bodies is used up."}, {"outcome", "not-run"}}.dump() + "\n";
    answer.prepare_payload();
    return answer;
}

auto is_http_error(const boost::system::error_code& error) -> bool {
    return error.category() == http::make_error_code(http::error::bad_method).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

auto has_unread_input(asio::ip::tcp::socket& socket) -> bool {
    auto byte = char{};
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/// Whether requests with this method may run side by side (RFC 9112, section 9.3.2).
auto is_safe(http::verb method) -> bool {
    return method == http::verb::get || method == http::verb::head || method == http::verb::options;
}

} // namespace

http_server::http_server(asio::any_io_executor executor, server_options options, request_handler handler)
    : m_executor{std::move(executor)}, m_options{std::move(options)}, m_handler{std::move(handler)},
      m_acceptor{m_executor} {}

auto http_server::start() -> void {
    const auto local = asio::ip::tcp::endpoint{asio::ip::make_address(m_options.host), m_options.port};
    m_acceptor.open(local.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address{true});
    m_acceptor.bind(local);
    m_acceptor.listen();
    spawn(accept());
}

/// Runs @a work, which ends with its own connection or request if it throws.
auto http_server::spawn(asio::awaitable<void> work) -> void {
    asio::co_spawn(m_executor, std::move(work), [port = m_options.port](const std::exception_ptr& failure) {
        try {
            if (failure) {
                std::rethrow_exception(failure);
            }
        } catch (const std::exception& error) {
            log::error("connection_failed", {{"port", port}, {"error", error.what()}});
        }
    });
}

auto http_server::open_sessions() const -> std::vector<std::shared_ptr<session>> {
    auto open = std::vector<std::shared_ptr<session>>{};
    for (const auto& each : m_sessions) {
        if (auto found = each.lock()) {
            open.push_back(std::move(found));
        }
    }
    return open;
}

auto http_server::close_after_next_answer() -> void {
    m_close_after_next_answer = true;
    for (const auto& each : open_sessions()) {
        each->link->closing = true;
    }
}

auto http_server::stop() -> void {
    accept_waiting();
    m_stopping = true;
    auto ignored = boost::system::error_code{};
    m_acceptor.close(ignored);
    for (const auto& each : open_sessions()) {
        each->link->closing = true;
        each->link->wake_reader();
    }
}

auto http_server::set_limits(const server_options& limits) -> void {
    m_options.header_limit = limits.header_limit;
    m_options.body_limit = limits.body_limit;
    m_options.idle_limit = limits.idle_limit;
    m_options.request_limit = limits.request_limit;
}

auto http_server::abort() -> void {
    m_stopping = true;
    auto ignored = boost::system::error_code{};
    m_acceptor.close(ignored);
    for (const auto& each : open_sessions()) {
        each->link->reset(); // No peer may take it for an orderly shutdown.
    }
}

auto http_server::accept() -> asio::awaitable<void> {
    while (!m_stopping) {
        auto [error, socket] = co_await m_acceptor.async_accept(as_result);
        if (!error) {
            start_session(std::move(socket));
            continue;
        }
        if (error == asio::error::operation_aborted || m_stopping) {
            co_return;
        }
        if (release_settled()) {
            continue;
        }
        // Probably out of file descriptors: waits until some connections have closed.
        log::warning("accept_failed", {{"port", m_options.port}, {"error", error.message()}});
        auto pause = asio::steady_timer{m_executor, std::chrono::milliseconds{50}};
        co_await pause.async_wait(as_result);
    }
}

/// Accepts the connections that clients have opened already; closing the port would reset them.
auto http_server::accept_waiting() -> void {
    auto error = boost::system::error_code{};
    m_acceptor.non_blocking(true, error);
    while (!error) {
        auto socket = asio::ip::tcp::socket{m_executor};
        m_acceptor.accept(socket, error);
        if (!error) {
            start_session(std::move(socket));
        }
    }
}

auto http_server::start_session(asio::ip::tcp::socket socket) -> void {
    if (connections() >= m_options.connection_limit && !release_settled()) {
        log::warning("connection_limit", {{"port", m_options.port}, {"limit", m_options.connection_limit}});
        return;
    }
    auto ignored = boost::system::error_code{};
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    auto client_session = std::make_shared<session>(std::move(socket), m_connections, m_written);
    auto& link = *client_session->link;
    const auto remote = link.stream.socket().remote_endpoint(ignored);
    link.remote = ignored ? std::string{} : remote.address().to_string();
    link.closing = m_close_after_next_answer || m_stopping;
    m_sessions.insert(client_session);
    spawn(serve(std::move(client_session)));
}

/// Whether the next request may be read. While the connection is closing, requests are read one at a time, so
/// that the response to the first one can close it.
auto http_server::may_read(const session& client_session) const -> bool {
    const auto& link = *client_session.link;
    if (link.is_read_to_end()) {
        return false;
    }
    const auto in_progress = link.in_progress();
    return in_progress == 0 ||
           (!link.closing && !client_session.runs_alone && in_progress < m_options.pipeline_limit &&
            client_session.bytes_in_progress < m_options.pipeline_bytes);
}

auto http_server::serve(std::shared_ptr<session> client_session) -> asio::awaitable<void> {
    auto& link = *client_session->link;
    while (!link.closed && (!link.is_read_to_end() || link.in_progress() > 0)) {
        const auto is_idle = link.in_progress() == 0;
        if (may_read(*client_session) && (link.buffer.size() > 0 || client_session->has_input)) {
            co_await read_request(client_session);
            continue;
        }
        const auto idle_limit = !m_stopping                  ? m_options.idle_limit
                                : client_session->has_served ? duration::zero()
                                                             : first_request_limit;
        const auto idle_end = client_session->idle_since + idle_limit;
        if (is_idle && monotonic_now() >= idle_end) {
            client_session->has_input = has_unread_input(link.stream.socket());
            if (!client_session->has_input) {
                break;
            }
            continue;
        }
        co_await wait_for_input(client_session, is_idle ? idle_end - monotonic_now() : duration::max());
    }
    co_await close_gracefully(client_session);
    m_sessions.erase(client_session);
}

/// Waits until the client sends or disconnects or a response ends, for at most @a limit.
auto http_server::wait_for_input(std::shared_ptr<session> client_session, duration limit)
    -> asio::awaitable<void> {
    auto& link = *client_session->link;
    if (!client_session->watching && !client_session->has_input && !link.disconnected) {
        client_session->watching = true;
        link.stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                        [client_session](const boost::system::error_code& error) {
                                            client_session->watching = false;
                                            client_session->has_input = !error;
                                            client_session->link->wake_reader();
                                        });
    }
    if (limit == duration::max()) {
        link.reader_wakeup.expires_at(asio::steady_timer::time_point::max());
    } else {
        link.reader_wakeup.expires_after(limit);
    }
    co_await link.reader_wakeup.async_wait(as_result);
    if (client_session->has_input && !link.closed && link.in_progress() > 0 && link.is_closed_by_client()) {
        link.on_disconnected();
    }
}

auto http_server::read_request(std::shared_ptr<session> client_session) -> asio::awaitable<void> {
    auto& link = *client_session->link;
    auto parser = request_parser{};
    parser.header_limit(m_options.header_limit);
    parser.body_limit(m_options.body_limit);
    client_session->has_input = false;
    // The parser keeps a chunk's extensions and the trailers in the buffer and limits neither.
    link.buffer.max_size(std::max(link.buffer.size(), m_options.header_limit + read_ahead_limit));
    link.stream.expires_after(m_options.request_limit);
    auto error = co_await receive_header(link.stream, link.buffer, parser);
    auto reserved = memory_reservation{m_options.body_memory};
    if (!error && is_undelivered_full()) {
        error = asio::error::no_memory;
    } else if (!error) {
        error = co_await read_body(client_session, parser, reserved);
    }
    if (link.closed) {
        co_return;
    }
    if (error == asio::error::no_memory) {
        co_await respond_busy(client_session, parser.get().base());
        co_return;
    }
    if (error && is_http_error(error)) {
        co_await respond_to_malformed(client_session, error);
        co_return;
    }
    if (error) {
        link.on_disconnected();
        co_return;
    }
    client_session->has_served = true;
    if (link.reading_ended) {
        co_return; // A response that closes the connection went out meanwhile; the client sends this one
                   // again.
    }
    link.reading_ended = !parser.get().keep_alive();
    auto to = std::make_shared<responder>(client_session->link);
    spawn(respond(client_session, std::move(to), parser.release(), std::move(reserved)));
}

/// Reads the body of a request whose header has been read. Fails with no_memory, without the rest of the
/// body, if the memory for bodies is used up, and with body_limit if the body can never have as much.
auto http_server::read_body(std::shared_ptr<session> client_session, request_parser& parser,
                            memory_reservation& reserved) -> asio::awaitable<boost::system::error_code> {
    auto& link = *client_session->link;
    const auto until = monotonic_now() + m_options.request_limit;
    const auto* budget = m_options.body_memory;
    const auto length = parser.content_length().value_or(0);
    if (budget != nullptr && length > budget->limit()) {
        co_return http::make_error_code(http::error::body_limit);
    }
    if (length > small_body && !reserved.try_grow(static_cast<std::size_t>(length))) {
        co_return asio::error::no_memory;
    }
    parser.eager(true);
    while (!parser.is_done()) {
        // The timeout of a read does not end one whose bytes are there already.
        if (monotonic_now() >= until) {
            co_return boost::beast::error::timeout;
        }
        const auto error = co_await receive_some(link.stream, link.buffer, parser);
        if (error) {
            co_return error;
        }
        const auto& body = parser.get().body();
        if (body.size() <= small_body || body.capacity() <= reserved.bytes()) {
            continue;
        }
        if (budget != nullptr && body.capacity() > budget->limit()) {
            co_return http::make_error_code(http::error::body_limit);
        }
        if (!reserved.try_grow(body.capacity() - reserved.bytes())) {
            co_return asio::error::no_memory;
        }
    }
    co_return boost::system::error_code{};
}

auto http_server::respond(std::shared_ptr<session> client_session, std::shared_ptr<responder> to,
                          http_request request, memory_reservation /*reserved*/) -> asio::awaitable<void> {
    const auto bytes = request.body().size();
    const auto runs_alone = !is_safe(request.method());
    client_session->bytes_in_progress += bytes;
    client_session->runs_alone = client_session->runs_alone || runs_alone;
    auto handled = std::make_optional<counted>(m_busy);
    auto may_run = true;
    if (runs_alone) {
        may_run = co_await to->wait_turn();
    }
    auto keep_open = false;
    auto failure = std::string{};
    try {
        if (may_run) {
            keep_open = co_await m_handler(*to, std::move(request));
        }
    } catch (const std::exception& error) {
        failure = error.what();
    }
    if (!failure.empty()) {
        log::error("request_handler_failed", {{"port", m_options.port}, {"error", failure}});
        if (!to->has_responded() && !to->is_disconnected()) {
            auto answer = http_response{http::status::internal_server_error, 11};
            answer.prepare_payload();
            keep_open = co_await write_answer(*to, std::move(answer));
        }
    }
    handled.reset();
    client_session->bytes_in_progress -= bytes;
    client_session->runs_alone = client_session->runs_alone && !runs_alone;
    client_session->idle_since = monotonic_now();
    if (!keep_open || !to->has_responded()) {
        client_session->link->close();
    }
}

auto http_server::respond_to_malformed(std::shared_ptr<session> client_session,
                                       boost::system::error_code error) -> asio::awaitable<void> {
    client_session->link->reading_ended = true;
    auto to = std::make_shared<responder>(client_session->link);
    static_cast<void>(co_await write_answer(*to, error_answer(error, m_options.sets_outcome_header)));
}

/// Answers a request whose body was not read. What the client still sends of it is read and discarded for a
/// while: most clients look for a response only when they have sent the request.
auto http_server::respond_busy(std::shared_ptr<session> client_session, const http::request_header<>& refused)
    -> asio::awaitable<void> {
    auto& link = *client_session->link;
    if (link.reading_ended) {
        co_return; // A response that closes the connection went out meanwhile.
    }
    log_full_memory(refused);
    auto answer = m_options.make_busy_answer ? m_options.make_busy_answer(refused)
                                             : plain_busy_answer(m_options.sets_outcome_header);
    link.reading_ended = true;
    client_session->discards_input = true;
    auto to = responder{client_session->link};
    static_cast<void>(co_await write_answer(to, std::move(answer)));
}

auto http_server::log_full_memory(const http::request_header<>& refused) const -> void {
    const auto* budget = m_options.body_memory;
    const auto target = std::string{refused.target()};
    if (m_undelivered + *m_written > m_options.undelivered_limit) {
        log::warning("undelivered_limit", {{"port", m_options.port},
                                           {"target", target},
                                           {"undelivered", m_undelivered + *m_written},
                                           {"limit", m_options.undelivered_limit}});
    } else if (budget != nullptr) {
        log::warning("request_memory_full", {{"port", m_options.port},
                                             {"target", target},
                                             {"in_use", budget->in_use()},
                                             {"limit", budget->limit()}});
    }
}

auto json_answer(const http_request& request, http::status status, const std::string& body) -> http_response {
    auto answer = http_response{status, request.version()};
    answer.set(http::field::content_type, "application/json");
    answer.body() = body;
    answer.prepare_payload();
    return answer;
}

} // namespace teaselcross
