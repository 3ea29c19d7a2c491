#include "http/server.h"

#include "logging/log.h"
#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <nlohmann/json.hpp>

#include <sys/socket.h>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr auto write_timeout = std::chrono::seconds{30};

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
    answer.keep_alive(false);
    answer.body() = nlohmann::json{{"error", text}, {"outcome", "not-run"}}.dump() + "\n";
    answer.prepare_payload();
    return answer;
}

auto is_http_error(const boost::system::error_code& error) -> bool {
    return error.category() == http::make_error_code(http::error::bad_method).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

} // namespace

struct http_server::session {
    explicit session(asio::ip::tcp::socket socket)
        : client{.stream = boost::beast::tcp_stream{std::move(socket)}, .buffer = {}, .remote = {}} {}

    server_connection client;
    bool idle = true;
};

http_server::http_server(asio::any_io_executor executor, server_options options, request_handler handler)
    : m_executor{std::move(executor)}, m_options{std::move(options)}, m_handler{std::move(handler)},
      m_acceptor{m_executor} {}

auto http_server::start() -> void {
    const auto local = asio::ip::tcp::endpoint{asio::ip::make_address(m_options.host), m_options.port};
    m_acceptor.open(local.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address{true});
    m_acceptor.bind(local);
    m_acceptor.listen();
    asio::co_spawn(m_executor, accept(), asio::detached);
}

auto http_server::stop() -> void {
    m_stopping = true;
    auto ignored = boost::system::error_code{};
    m_acceptor.close(ignored);
    for (const auto& each : m_sessions) {
        each->client.keep_alive = false;
        if (each->idle) {
            each->client.stream.cancel();
        }
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
    for (const auto& each : m_sessions) {
        each->client.keep_alive = false;
        // A TCP reset, so that no peer takes it for an orderly shutdown.
        each->client.stream.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
        each->client.stream.socket().close(ignored);
    }
}

auto http_server::accept() -> asio::awaitable<void> {
    while (!m_stopping) {
        auto [error, socket] = co_await m_acceptor.async_accept(as_result);
        if (error == asio::error::operation_aborted || m_stopping) {
            co_return;
        }
        if (error) {
            // Probably out of file descriptors: waits until some connections have closed.
            auto pause = asio::steady_timer{m_executor, std::chrono::milliseconds{50}};
            co_await pause.async_wait(as_result);
            continue;
        }
        if (m_sessions.size() >= m_options.connection_limit) {
            log::warning("connection_limit",
                         {{"port", m_options.port}, {"limit", m_options.connection_limit}});
            continue;
        }
        auto ignored = boost::system::error_code{};
        socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
        auto client_session = std::make_shared<session>(std::move(socket));
        const auto remote = client_session->client.stream.socket().remote_endpoint(ignored);
        client_session->client.remote = ignored ? std::string{} : remote.address().to_string();
        m_sessions.insert(client_session);
        asio::co_spawn(m_executor, serve(client_session), asio::detached);
    }
}

auto http_server::serve(std::shared_ptr<session> client_session) -> asio::awaitable<void> {
    auto& client = client_session->client;
    while (client.keep_alive && !m_stopping) {
        auto parser = http::request_parser<http::string_body>{};
        parser.header_limit(m_options.header_limit);
        parser.body_limit(m_options.body_limit);
        client_session->idle = client.buffer.size() == 0;
        client.stream.expires_after(m_options.idle_limit);
        const auto [header_error, header_size] =
            co_await http::async_read_header(client.stream, client.buffer, parser, as_result);
        client_session->idle = false;
        auto error = header_error;
        if (!error) {
            client.stream.expires_after(m_options.request_limit);
            const auto [body_error, body_size] =
                co_await http::async_read(client.stream, client.buffer, parser, as_result);
            error = body_error;
        }
        if (error) {
            if (is_http_error(error)) {
                client.keep_alive = false;
                static_cast<void>(
                    co_await write_answer(client, error_answer(error, m_options.sets_outcome_header)));
            }
            break;
        }
        client.stream.expires_never();
        client.keep_alive = parser.get().keep_alive() && !m_stopping && !m_close_after_next_answer;
        ++m_busy;
        const auto keep_open = co_await m_handler(client, parser.release());
        --m_busy;
        if (!keep_open) {
            break;
        }
    }
    auto ignored = boost::system::error_code{};
    client.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_sessions.erase(client_session);
}

auto write_answer(server_connection& client, http_response answer) -> asio::awaitable<bool> {
    answer.keep_alive(client.keep_alive);
    client.stream.expires_after(write_timeout);
    const auto [error, size] = co_await http::async_write(client.stream, answer, as_result);
    client.stream.expires_never();
    co_return !error;
}

auto stream_answer(server_connection& client, open_answer& answer, stream_limits limits)
    -> asio::awaitable<bool> {
    const auto started = monotonic_now();
    auto message = http::response<http::buffer_body>{answer.header()};
    message.keep_alive(client.keep_alive);
    if (!message.has_content_length()) {
        message.chunked(true);
    }
    auto serializer = http::response_serializer<http::buffer_body>{message};
    client.stream.expires_after(write_timeout);
    const auto [header_error, header_size] =
        co_await http::async_write_header(client.stream, serializer, as_result);
    auto part = std::exchange(answer.body, {});
    auto broken = static_cast<bool>(header_error);
    while (!broken) {
        message.body().data = part.empty() ? nullptr : part.data();
        message.body().size = part.size();
        message.body().more = !answer.complete;
        if (!part.empty() || answer.complete) {
            client.stream.expires_after(write_timeout);
            const auto [error, size] = co_await http::async_write(client.stream, serializer, as_result);
            broken = error && error != http::error::need_buffer;
        }
        if (broken || answer.complete) {
            break;
        }
        const auto left = limits.total_timeout - (monotonic_now() - started);
        if (left <= duration::zero()) {
            broken = true;
            break;
        }
        auto next = co_await read_part(answer, std::min(limits.stall_timeout, left));
        if (!next) {
            broken = true;
            break;
        }
        part = std::move(*next);
    }
    client.stream.expires_never();
    co_return !broken;
}

auto wait_for_disconnect(server_connection& client) -> asio::awaitable<void> {
    auto& socket = client.stream.socket();
    while (true) {
        const auto [error] = co_await socket.async_wait(asio::ip::tcp::socket::wait_read, as_result);
        auto byte = char{};
        const auto received = error ? -1 : ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
            co_return;
        }
        if (received > 0) {
            // The next request has already arrived, so the peer is still connected.
            auto forever = asio::steady_timer{socket.get_executor(), asio::steady_timer::time_point::max()};
            co_await forever.async_wait(as_result);
            co_return;
        }
    }
}

disconnect_watch::disconnect_watch(server_connection& client, std::function<void()> on_disconnect)
    : m_client{client}, m_state{std::make_shared<state>()} {
    m_state->on_disconnect = std::move(on_disconnect);
    auto& socket = client.stream.socket();
    socket.async_wait(
        asio::ip::tcp::socket::wait_read, [&socket, state = m_state](const boost::system::error_code& error) {
            if (state->cancelled || error == asio::error::operation_aborted) {
                return;
            }
            auto byte = char{};
            const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (received > 0 || (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))) {
                return; // The next request has already arrived, so the peer is still connected.
            }
            state->disconnected = true;
            state->on_disconnect();
        });
}

disconnect_watch::~disconnect_watch() {
    m_state->cancelled = true;
    auto ignored = boost::system::error_code{};
    m_client.stream.socket().cancel(ignored);
}

auto json_answer(const http_request& request, http::status status, const std::string& body) -> http_response {
    auto answer = http_response{status, request.version()};
    answer.set(http::field::content_type, "application/json");
    answer.body() = body;
    answer.prepare_payload();
    return answer;
}

} // namespace teaselcross
