#include "support/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

http_client::http_client(asio::io_context& context, std::uint16_t port) : m_stream{context} {
    m_stream.socket().connect({asio::ip::address_v4::loopback(), port});
    asio::co_spawn(context, receive(), asio::detached);
}

auto http_client::send(const std::string& text) -> void {
    asio::write(m_stream.socket(), asio::buffer(text));
}

auto http_client::close() -> void {
    m_stream.socket().close();
}

auto http_client::receive() -> asio::awaitable<void> {
    auto buffer = boost::beast::flat_buffer{};
    while (true) {
        auto parser = http::response_parser<http::string_body>{};
        parser.body_limit(boost::none);
        const auto [error, size] =
            co_await http::async_read(m_stream, buffer, parser, asio::as_tuple(asio::use_awaitable));
        if (error) {
            m_closed = true;
            m_cut = parser.got_some();
            co_return;
        }
        m_responses.push_back(parser.release());
    }
}

} // namespace teaselcross
