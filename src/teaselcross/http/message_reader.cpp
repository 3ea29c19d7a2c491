#include "http/message_reader.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

#include <stdexcept>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr auto max_read_size = std::size_t{64} * 1024;

/// Hands the buffered bytes to the parser and removes those that it has parsed.
template <bool IsRequest>
auto parse(boost::beast::flat_buffer& buffer, http::basic_parser<IsRequest>& parser)
    -> boost::system::error_code {
    auto error = boost::system::error_code{};
    try {
        buffer.consume(parser.put(buffer.data(), error));
    } catch (const std::length_error& /*too long a field*/) {
        return http::make_error_code(http::error::header_limit);
    }
    return error;
}

/// Tells the parser that the peer has sent all.
template <bool IsRequest>
auto parse_end(http::basic_parser<IsRequest>& parser) -> boost::system::error_code {
    if (!parser.got_some()) {
        return http::make_error_code(http::error::end_of_stream);
    }
    auto error = boost::system::error_code{};
    parser.put_eof(error);
    return error;
}

} // namespace

template <bool IsRequest>
auto receive_some(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                  http::basic_parser<IsRequest>& parser) -> asio::awaitable<boost::system::error_code> {
    auto needs_input = buffer.size() == 0;
    while (true) {
        if (!needs_input) {
            const auto error = parse(buffer, parser);
            if (error != http::error::need_more) {
                co_return error;
            }
        }
        needs_input = false;
        const auto size = boost::beast::read_size(buffer, max_read_size);
        if (size == 0) {
            co_return http::make_error_code(http::error::buffer_overflow);
        }
        const auto [error, received] = co_await stream.async_read_some(buffer.prepare(size), as_result);
        buffer.commit(received);
        if (error == asio::error::eof) {
            co_return parse_end(parser);
        }
        if (error) {
            co_return error;
        }
    }
}

template <bool IsRequest>
auto receive_header(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                    http::basic_parser<IsRequest>& parser) -> asio::awaitable<boost::system::error_code> {
    parser.eager(false);
    while (!parser.is_header_done()) {
        const auto error = co_await receive_some(stream, buffer, parser);
        if (error) {
            co_return error;
        }
    }
    co_return boost::system::error_code{};
}

template auto receive_some(boost::beast::tcp_stream&, boost::beast::flat_buffer&, http::basic_parser<true>&)
    -> asio::awaitable<boost::system::error_code>;
template auto receive_some(boost::beast::tcp_stream&, boost::beast::flat_buffer&, http::basic_parser<false>&)
    -> asio::awaitable<boost::system::error_code>;
template auto receive_header(boost::beast::tcp_stream&, boost::beast::flat_buffer&, http::basic_parser<true>&)
    -> asio::awaitable<boost::system::error_code>;
template auto receive_header(boost::beast::tcp_stream&, boost::beast::flat_buffer&,
                             http::basic_parser<false>&) -> asio::awaitable<boost::system::error_code>;

} // namespace teaselcross
