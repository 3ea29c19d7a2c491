#pragma once

// One request and its answer on a client connection, whole or streamed.

#include "http/connection_pool.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace teaselcross {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;
using caller_stream = boost::beast::tcp_stream;

/// How an exchange failed, and so what may have happened at the peer.
enum class exchange_error {
    refused,  ///< The host refused the connection: no process listens there. Nothing was sent.
    not_sent, ///< There was no connection. Nothing was sent.
    lost,     ///< The request, or a part of it, was sent, and the answer is missing or cut.
};

/// An answer whose header has been read. The body is read up to a limit, or left to be streamed.
struct open_answer {
    std::unique_ptr<connection> client_connection;
    std::unique_ptr<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser;
    std::string body;      ///< What has been read of the body.
    bool complete = false; ///< The body is complete.

    auto header() const -> const auto& { return parser->get().base(); }
    auto status() const -> unsigned { return parser->get().result_int(); }
};

struct exchange_limits {
    duration answer_timeout{};                        ///< Until the header of the answer.
    duration stall_timeout = std::chrono::seconds{5}; ///< Between two parts of the body.
    std::size_t buffered_body_limit =
        std::size_t{64} * 1024; ///< Bodies up to this size are read whole at once.
};

/// Takes a connection to @a peer for one exchange: an idle one that was used within @a freshness, or a new
/// one.
auto open_exchange(connection_pool& pool, endpoint peer, duration freshness)
    -> boost::asio::awaitable<tl::expected<open_answer, exchange_error>>;

/// Sends @a request, which must outlive the call. False when the connection broke or @a timeout passed; then
/// the peer may have received any part of it.
auto send_request(open_answer& answer, const http_request& request, duration timeout)
    -> boost::asio::awaitable<bool>;

/// Reads the header of the next answer on the connection, and its body if that is short. What an earlier call
/// read is dropped. False when the answer is missing or cut.
auto receive_answer(open_answer& answer, bool without_body, exchange_limits limits)
    -> boost::asio::awaitable<bool>;

/// Closes the connection with a reset, so that nothing of the request that is still on its way arrives later.
auto abort_exchange(open_answer& answer) -> void;

/// Sends @a request to @a peer and reads the answer's header, and its body if that is short.
auto begin_exchange(connection_pool& pool, endpoint peer, http_request request, exchange_limits limits)
    -> boost::asio::awaitable<tl::expected<open_answer, exchange_error>>;

/// Reads the next part of a body that is not whole, at most a few kilobytes; an empty part ends it.
/// An error means that the body is cut.
auto read_part(open_answer& answer, duration stall_timeout)
    -> boost::asio::awaitable<tl::expected<std::string, exchange_error>>;

/// Gives the connection back, if the answer was read to its end.
auto end_exchange(connection_pool& pool, open_answer answer) -> void;

/// Sends @a request and reads the whole answer, up to @a body_limit bytes.
auto perform_exchange(connection_pool& pool, endpoint peer, http_request request, duration timeout,
                      std::size_t body_limit)
    -> boost::asio::awaitable<tl::expected<http_response, exchange_error>>;

} // namespace teaselcross
