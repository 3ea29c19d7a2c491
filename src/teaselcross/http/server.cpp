#include "http/server.h"

#include "logging/log.h"

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
constexpr auto write_limit = std::chrono::seconds{30};

/// The answer to a request that could not be read.
auto answer_to_fault(const boost::system::error_code& error, bool marks_outcome) -> http_response {
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
    if (marks_outcome) {
        answer.set("Teaselcross-Outcome", "not-run");
    }
    answer.keep_alive(false);
    answer.body() = nlohmann::json{{"error", text}, {"outcome", "not-run"}}.dump() + "\n";
    answer.prepare_payload();
    return answer;
}

auto is_http_fault(const boost::system::error_code& error) -> bool {
    return error.category() == http::make_error_code(http::error::bad_method).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

} // namespace

struct http_server::session {
    explicit session(asio::ip::tcp::socket socket)
        : link{.stream = boost::beast::tcp_stream{std::move(socket)}, .buffer = {}, .remote = {}} {}

    server_connection link;
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
        each->link.keep_alive = false;
        if (each->idle) {
            each->link.stream.cancel();
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
        each->link.keep_alive = false;
        // A reset, so that nothing looks like an orderly end.
        each->link.stream.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
        each->link.stream.socket().close(ignored);
    }
}

auto http_server::accept() -> asio::awaitable<void> {
    while (!m_stopping) {
        auto [error, socket] = co_await m_acceptor.async_accept(as_result);
        if (error == asio::error::operation_aborted || m_stopping) {
            co_return;
        }
        if (error) {
            // Out of descriptors, most likely: let some connections end first.
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
        auto served = std::make_shared<session>(std::move(socket));
        const auto remote = served->link.stream.socket().remote_endpoint(ignored);
        served->link.remote = ignored ? std::string{} : remote.address().to_string();
        m_sessions.insert(served);
        asio::co_spawn(m_executor, serve(served), asio::detached);
    }
}

auto http_server::serve(std::shared_ptr<session> served) -> asio::awaitable<void> {
    auto& link = served->link;
    while (link.keep_alive && !m_stopping) {
        auto parser = http::request_parser<http::string_body>{};
        parser.header_limit(m_options.header_limit);
        parser.body_limit(m_options.body_limit);
        served->idle = link.buffer.size() == 0;
        link.stream.expires_after(m_options.idle_limit);
        const auto [header_error, header_size] =
            co_await http::async_read_header(link.stream, link.buffer, parser, as_result);
        served->idle = false;
        auto error = header_error;
        if (!error) {
            link.stream.expires_after(m_options.request_limit);
            const auto [body_error, body_size] =
                co_await http::async_read(link.stream, link.buffer, parser, as_result);
            error = body_error;
        }
        if (error) {
            if (is_http_fault(error)) {
                link.keep_alive = false;
                static_cast<void>(
                    co_await write_answer(link, answer_to_fault(error, m_options.sets_outcome_header)));
            }
            break;
        }
        link.stream.expires_never();
        link.keep_alive = parser.get().keep_alive() && !m_stopping && !m_winding_down;
        ++m_busy;
        const auto usable = co_await m_handler(link, parser.release());
        --m_busy;
        if (!usable) {
            break;
        }
    }
    auto ignored = boost::system::error_code{};
    link.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_sessions.erase(served);
}

auto write_answer(server_connection& to, http_response answer) -> asio::awaitable<bool> {
    answer.keep_alive(to.keep_alive);
    to.stream.expires_after(write_limit);
    const auto [error, size] = co_await http::async_write(to.stream, answer, as_result);
    to.stream.expires_never();
    co_return !error;
}

auto stream_answer(server_connection& to, open_answer& answer, duration stall_timeout)
    -> asio::awaitable<bool> {
    auto message = http::response<http::buffer_body>{answer.header()};
    message.keep_alive(to.keep_alive);
    if (!message.has_content_length()) {
        message.chunked(true);
    }
    auto serializer = http::response_serializer<http::buffer_body>{message};
    to.stream.expires_after(write_limit);
    const auto [header_error, header_size] =
        co_await http::async_write_header(to.stream, serializer, as_result);
    auto part = std::exchange(answer.body, {});
    auto broken = static_cast<bool>(header_error);
    while (!broken) {
        message.body().data = part.empty() ? nullptr : part.data();
        message.body().size = part.size();
        message.body().more = !answer.complete;
        if (!part.empty() || answer.complete) {
            to.stream.expires_after(write_limit);
            const auto [error, size] = co_await http::async_write(to.stream, serializer, as_result);
            broken = error && error != http::error::need_buffer;
        }
        if (broken || answer.complete) {
            break;
        }
        auto next = co_await read_part(answer, stall_timeout);
        if (!next) {
            broken = true;
            break;
        }
        part = std::move(*next);
    }
    to.stream.expires_never();
    co_return !broken;
}

auto wait_for_disconnect(server_connection& watched) -> asio::awaitable<void> {
    auto& socket = watched.stream.socket();
    while (true) {
        const auto [error] = co_await socket.async_wait(asio::ip::tcp::socket::wait_read, as_result);
        auto byte = char{};
        const auto got = error ? -1 : ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
            co_return;
        }
        if (got > 0) {
            // The next request has come already; the peer is there.
            auto forever = asio::steady_timer{socket.get_executor(), asio::steady_timer::time_point::max()};
            co_await forever.async_wait(as_result);
            co_return;
        }
    }
}

disconnect_watch::disconnect_watch(server_connection& watched, std::function<void()> on_gone)
    : m_watched{watched}, m_state{std::make_shared<state>()} {
    m_state->on_gone = std::move(on_gone);
    auto& socket = watched.stream.socket();
    socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [&socket, state = m_state](const boost::system::error_code& error) {
                          if (state->over || error == asio::error::operation_aborted) {
                              return;
                          }
                          auto byte = char{};
                          const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
                          if (got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))) {
                              return; // The next request has come already; the peer is there.
                          }
                          state->gone = true;
                          state->on_gone();
                      });
}

disconnect_watch::~disconnect_watch() {
    m_state->over = true;
    auto ignored = boost::system::error_code{};
    m_watched.stream.socket().cancel(ignored);
}

auto json_answer(const http_request& request, http::status status, const std::string& body) -> http_response {
    auto answer = http_response{status, request.version()};
    answer.set(http::field::content_type, "application/json");
    answer.body() = body;
    answer.prepare_payload();
    return answer;
}

} // namespace teaselcross
