#include "support/scripted_target.h"

#include "platform/names.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace names = platform::names;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

auto answer_text(const std::string& status, const std::string& attempt_id, const std::string& fields,
                 const std::string& body) -> std::string {
    const auto id = attempt_id.empty() ? std::string{} : names::attempt_id + (": " + attempt_id) + "\r\n";
    return "HTTP/1.1 " + status + "\r\n" + id + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace

scripted_target::scripted_target(asio::io_context& context, target_script script)
    : m_context{context}, m_acceptor{context, {asio::ip::address_v4::loopback(), 0}}, m_script{
                                                                                          std::move(script)} {
    asio::co_spawn(m_context, accept(), asio::detached);
}

auto scripted_target::accept() -> asio::awaitable<void> {
    while (true) {
        auto [error, socket] = co_await m_acceptor.async_accept(as_result);
        if (error) {
            co_return;
        }
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

auto scripted_target::serve(asio::ip::tcp::socket socket) -> asio::awaitable<void> {
    auto buffer = boost::beast::flat_buffer{};
    auto received = scripted_request{.connection = m_connections++};
    while (true) {
        auto request = http_request{};
        const auto [read_error, size] = co_await http::async_read(socket, buffer, request, as_result);
        if (read_error) {
            co_return;
        }
        received.number = m_requests++;
        received.attempt_id = request[names::attempt_id];
        received.whole = &request;
        const auto answer = m_script(received);
        ++received.on_connection;
        auto is_broken = false;
        if (!answer.head.empty()) {
            const auto [head_error, head_size] =
                co_await asio::async_write(socket, asio::buffer(answer.head), as_result);
            is_broken = static_cast<bool>(head_error);
        }
        do {
            const auto [write_error, sent] =
                co_await asio::async_write(socket, asio::buffer(answer.bytes), as_result);
            is_broken = static_cast<bool>(write_error);
            if (answer.is_endless && answer.pause.count() > 0) {
                auto timer = asio::steady_timer{m_context, answer.pause};
                co_await timer.async_wait(as_result);
            }
        } while (answer.is_endless && !is_broken);
        if (is_broken || answer.closes) {
            co_return;
        }
    }
}

auto success(const std::string& attempt_id, const std::string& body, const std::string& fields)
    -> std::string {
    return answer_text("200 OK", attempt_id, names::signature + std::string{": s\r\n"} + fields, body);
}

auto refusal(const std::string& attempt_id, const std::string& fields) -> std::string {
    return answer_text("503 Service Unavailable", attempt_id,
                       names::not_executed + std::string{": 1\r\n"} + fields, {});
}

} // namespace teaselcross
