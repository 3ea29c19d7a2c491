#pragma once

// A request and its response on a client connection; the response is buffered or streamed.

#include "admission/memory_budget.h"
#include "http/connection_pool.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace teaselcross {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;
using caller_stream = boost::beast::tcp_stream;

/// How an exchange failed, which determines whether the peer may have processed the request.
enum class exchange_error {
    refused,  ///< The host refused the connection: no process listens on the port. Nothing was sent.
    not_sent, ///< No connection could be opened. Nothing was sent.
    lost,     ///< All or part of the request was sent, and the response is missing or incomplete.
};

/// A response whose header has been read. The body is buffered up to a limit; the rest is streamed.
struct open_answer {
    std::unique_ptr<connection> client_connection;
    std::unique_ptr<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser;
    std::string body;            ///< The part of the body that has been read.
    memory_reservation reserved; ///< For the body.
    bool complete = false;       ///< The whole body has been read.
    bool over_budget = false;    ///< The budget had no memory left for the rest of the body.

    auto header() const -> const auto& { return parser->get().base(); }
    auto status() const -> unsigned { return parser->get().result_int(); }
};

struct exchange_limits {
    duration answer_timeout{};                                ///< Until the response header has arrived.
    duration stall_timeout = std::chrono::seconds{5};         ///< Between two parts of the body.
    duration buffer_timeout = duration::max();                ///< For the part of the body that is buffered.
    std::size_t buffered_body_limit = std::size_t{64} * 1024; ///< Bodies up to this size are buffered.
    /// Limits the memory of the bodies of many answers together, beside a few kilobytes for each. What
    /// exceeds it is streamed. Null for no limit; it must outlive the answers.
    memory_budget* budget = nullptr;
};

/// Acquires a connection to @a peer for one exchange: an idle one that was used within @a max_idle, or a new
/// one.
auto open_exchange(connection_pool& pool, endpoint peer, duration max_idle)
    -> boost::asio::awaitable<tl::expected<open_answer, exchange_error>>;

/// Sends @a request, which must outlive the call. Returns false if the connection broke or @a timeout
/// expired; the peer may then have received any part of the request.
auto send_request(open_answer& answer, const http_request& request, duration timeout)
    -> boost::asio::awaitable<bool>;

/// Reads the header of the next response on the connection, and its body if that is short. Skips interim
/// responses and discards what an earlier call read. Returns false if the response is missing or incomplete,
/// or its status is not in 200 to 599.
auto receive_answer(open_answer& answer, bool without_body, exchange_limits limits)
    -> boost::asio::awaitable<bool>;

/// Closes the connection with a TCP reset, so that request data in flight is never delivered later.
auto abort_exchange(open_answer& answer) -> void;

/// Sends @a request to @a peer and reads the response header, and the body if it is short.
auto begin_exchange(connection_pool& pool, endpoint peer, http_request request, exchange_limits limits)
    -> boost::asio::awaitable<tl::expected<open_answer, exchange_error>>;

/// Reads the next part of an incomplete body, at most a few kilobytes. An empty part marks the end of the
/// body. An error means that the body was truncated.
auto read_part(open_answer& answer, duration stall_timeout)
    -> boost::asio::awaitable<tl::expected<std::string, exchange_error>>;

/// Returns the connection to the pool if the response has been read completely and allows keep-alive.
auto end_exchange(connection_pool& pool, open_answer answer) -> void;

/// Sends @a request and reads the complete response, whose body may have up to @a body_limit bytes.
auto perform_exchange(connection_pool& pool, endpoint peer, http_request request, duration timeout,
                      std::size_t body_limit)
    -> boost::asio::awaitable<tl::expected<http_response, exchange_error>>;

} // namespace teaselcross
