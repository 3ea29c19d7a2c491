#pragma once

// Reads HTTP messages with a parser of Boost.Beast that may throw.
//
// Beast's own asynchronous reads call the parser in a handler of the event loop, where no coroutine can catch
// what it throws: a field with a name or value of 64 KB or more that the limit of the header does not cover,
// such as one of a trailer section.

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace teaselcross {

/// Parses what @a buffer holds, or reads more until the parser makes progress, like
/// boost::beast::http::async_read_some. A field that is too long for the parser is the error header_limit.
/// @pre the parser is not done. Not thread safe: use it on the stream's event loop.
template <bool IsRequest>
auto receive_some(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                  boost::beast::http::basic_parser<IsRequest>& parser)
    -> boost::asio::awaitable<boost::system::error_code>;

/// Reads to the end of the header, like boost::beast::http::async_read_header, with the errors of
/// receive_some(). Not thread safe: use it on the stream's event loop.
template <bool IsRequest>
auto receive_header(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                    boost::beast::http::basic_parser<IsRequest>& parser)
    -> boost::asio::awaitable<boost::system::error_code>;

} // namespace teaselcross
