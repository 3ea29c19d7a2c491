#include "support/loopback_peer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

} // namespace

loopback_peer::loopback_peer(asio::any_io_executor executor, peer_script script)
    : m_executor{executor}, m_acceptor{executor, {asio::ip::address_v4::loopback(), 0}}, m_script{std::move(
                                                                                             script)} {
    asio::co_spawn(m_executor, accept(), asio::detached);
}

auto loopback_peer::address() const -> endpoint {
    return {.host = "127.0.0.1", .port = m_acceptor.local_endpoint().port()};
}

auto loopback_peer::accept() -> asio::awaitable<void> {
    while (true) {
        auto [error, socket] = co_await m_acceptor.async_accept(as_result);
        if (error) {
            co_return;
        }
        asio::co_spawn(m_executor, serve(boost::beast::tcp_stream{std::move(socket)}), asio::detached);
    }
}

auto loopback_peer::serve(boost::beast::tcp_stream stream) -> asio::awaitable<void> {
    auto buffer = boost::beast::flat_buffer{};
    while (true) {
        auto request = http_request{};
        const auto [read_error, received] = co_await http::async_read(stream, buffer, request, as_result);
        if (read_error) {
            co_return;
        }
        auto answer = http_response{http::status::ok, 11};
        answer.body() = m_script(request);
        answer.prepare_payload();
        const auto [write_error, sent] = co_await http::async_write(stream, answer, as_result);
        if (write_error) {
            co_return;
        }
    }
}

} // namespace teaselcross
