#include "http/exchange.h"

#include "http/message_reader.h"
#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto part_size = std::size_t{16} * 1024;
/// Each answer may have a body of this size beside the budget, so that small ones are always read completely.
constexpr auto first_capacity = std::size_t{4} * 1024;
/// A large body may take longer than the first byte is waited for.
constexpr auto min_body_time = duration{std::chrono::seconds{2}};
constexpr auto answer_header_limit = std::uint32_t{64 * 1024};
/// Interim responses before a final one. Each restarts the header limit, so their number needs a bound.
constexpr auto max_interim_answers = 8U;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// The status codes of final responses (RFC 9110, section 15).
auto is_final_status(unsigned status) -> bool {
    constexpr auto first = 200U;
    constexpr auto last = 599U;
    return status >= first && status <= last;
}

/// Whether another response follows. A switch of protocols is never asked for.
auto is_interim_status(unsigned status) -> bool {
    return http::to_status_class(status) == http::status_class::informational &&
           status != static_cast<unsigned>(http::status::switching_protocols);
}

/// Reads the header of the next response, after any interim ones. Returns false if there is none, or its
/// status is not one that a final response may have: what else it says cannot be relied on then.
auto read_final_header(open_answer& answer, bool without_body) -> asio::awaitable<bool> {
    for (auto interim = 0U; interim <= max_interim_answers; ++interim) {
        answer.parser = std::make_unique<http::response_parser<http::buffer_body>>();
        answer.parser->header_limit(answer_header_limit);
        answer.parser->body_limit(boost::none);
        answer.parser->skip(without_body);
        const auto error = co_await receive_header(answer.client_connection->stream,
                                                   answer.client_connection->buffer, *answer.parser);
        if (error) {
            co_return false;
        }
        if (!is_interim_status(answer.status())) {
            co_return is_final_status(answer.status());
        }
    }
    co_return false;
}

/// Reads bytes of the body to the end of @a to, at most @a size.
auto append_part(open_answer& answer, std::string& to, std::size_t size, duration stall_timeout)
    -> asio::awaitable<bool> {
    const auto start = to.size();
    to.resize(start + size);
    auto& body = answer.parser->get().body();
    body.data = to.data() + start;
    body.size = size;
    answer.client_connection->stream.expires_after(stall_timeout);
    auto error = co_await receive_some(answer.client_connection->stream, answer.client_connection->buffer,
                                       *answer.parser);
    if (error == http::error::need_buffer) {
        error = {};
    }
    to.resize(start + size - body.size);
    answer.complete = answer.parser->is_done();
    co_return !error;
}

/// Makes room for more bytes of a body that is buffered. Returns false if the budget has no memory left.
auto make_room(open_answer& answer, std::size_t limit) -> bool {
    auto& body = answer.body;
    if (!body.empty() && body.size() < body.capacity()) {
        return true;
    }
    const auto longest = std::min<std::uint64_t>(answer.parser->content_length().value_or(limit), limit);
    const auto doubled = std::max(first_capacity, 2 * body.capacity());
    // Without a length, one byte more shows that the body ends at the limit.
    const auto capacity = std::min(doubled, std::max(static_cast<std::size_t>(longest), body.capacity()) + 1);
    return reserve_capacity(body, capacity, first_capacity, answer.reserved);
}

/// Reads the rest of a short body. Returns false if the body was truncated.
auto read_short_body(open_answer& answer, exchange_limits limits) -> asio::awaitable<bool> {
    const auto started = monotonic_now();
    answer.reserved = memory_reservation{limits.budget};
    while (!answer.complete && answer.body.size() <= limits.buffered_body_limit) {
        const auto left = limits.buffer_timeout - (monotonic_now() - started);
        // The timeout of a read does not end one whose bytes are there already.
        if (left <= duration::zero()) {
            co_return false;
        }
        answer.over_budget = !make_room(answer, limits.buffered_body_limit);
        if (answer.over_budget) {
            co_return true;
        }
        const auto size = std::min(part_size, answer.body.capacity() - answer.body.size());
        const auto is_read =
            co_await append_part(answer, answer.body, size, std::min(limits.stall_timeout, left));
        if (!is_read) {
            co_return false;
        }
    }
    co_return true;
}

} // namespace

auto open_exchange(connection_pool& pool, endpoint peer, duration max_idle)
    -> asio::awaitable<tl::expected<open_answer, exchange_error>> {
    auto acquired = co_await pool.acquire(std::move(peer), max_idle);
    if (!acquired) {
        co_return tl::unexpected(acquired.error() == connect_error::refused ? exchange_error::refused
                                                                            : exchange_error::not_sent);
    }
    auto answer = open_answer{};
    answer.client_connection = std::move(*acquired);
    co_return std::move(answer);
}

auto send_request(open_answer& answer, const http_request& request, duration timeout)
    -> asio::awaitable<bool> {
    answer.client_connection->stream.expires_after(timeout);
    const auto [error, written] =
        co_await http::async_write(answer.client_connection->stream, request, as_result);
    co_return !error;
}

auto receive_answer(open_answer& answer, bool without_body, exchange_limits limits) -> asio::awaitable<bool> {
    // Only the connection lasts from one answer to the next.
    answer = open_answer{.client_connection = std::move(answer.client_connection)};
    answer.client_connection->stream.expires_after(limits.answer_timeout);
    const auto is_final = co_await read_final_header(answer, without_body);
    if (!is_final) {
        co_return false;
    }
    answer.complete = answer.parser->is_done();
    const auto length = answer.parser->content_length();
    const auto short_body = !length || *length <= limits.buffered_body_limit;
    co_return !short_body || co_await read_short_body(answer, limits);
}

auto abort_exchange(open_answer& answer) -> void {
    if (answer.client_connection == nullptr) {
        return;
    }
    auto& socket = answer.client_connection->stream.socket();
    auto ignored = boost::system::error_code{};
    // The connection is closed even if the option cannot be set.
    socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    socket.close(ignored);
}

auto begin_exchange(connection_pool& pool, endpoint peer, http_request request, exchange_limits limits)
    -> asio::awaitable<tl::expected<open_answer, exchange_error>> {
    auto answer = co_await open_exchange(pool, peer, duration::max());
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    const auto without_body = request.method() == http::verb::head;
    if (!co_await send_request(*answer, request, limits.answer_timeout) ||
        !co_await receive_answer(*answer, without_body, limits)) {
        // The same failure may affect the other idle connections to this peer.
        pool.close_idle(peer);
        abort_exchange(*answer);
        co_return tl::unexpected(exchange_error::lost);
    }
    co_return std::move(*answer);
}

auto read_part(open_answer& answer, duration stall_timeout)
    -> asio::awaitable<tl::expected<std::string, exchange_error>> {
    auto part = std::string{};
    const auto is_read = co_await append_part(answer, part, part_size, stall_timeout);
    if (!is_read) {
        co_return tl::unexpected(exchange_error::lost);
    }
    co_return std::move(part);
}

auto end_exchange(connection_pool& pool, open_answer answer) -> void {
    if (answer.complete && answer.parser->get().keep_alive()) {
        pool.release(std::move(answer.client_connection));
    }
}

auto perform_exchange(connection_pool& pool, endpoint peer, http_request request, duration timeout,
                      std::size_t body_limit)
    -> asio::awaitable<tl::expected<http_response, exchange_error>> {
    const auto limits = exchange_limits{.answer_timeout = timeout,
                                        .stall_timeout = timeout,
                                        .buffer_timeout = std::max(timeout, min_body_time),
                                        .buffered_body_limit = body_limit};
    auto answer = co_await begin_exchange(pool, std::move(peer), std::move(request), limits);
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    if (!answer->complete) {
        co_return tl::unexpected(exchange_error::lost);
    }
    auto response = http_response{answer->header()};
    response.body() = std::move(answer->body);
    end_exchange(pool, std::move(*answer));
    co_return std::move(response);
}

} // namespace teaselcross
