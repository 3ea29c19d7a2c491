#include "gateway/holder_calls.h"

#include "logging/log.h"
#include "platform/messages.h"
#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

auto reading_limits(duration limit) -> exchange_limits {
    return {.answer_timeout = limit, .stall_timeout = limit, .buffer_timeout = limit};
}

/// Sends @a order on @a opened and reads the answer, until @a deadline. Returns false, and closes the
/// connection, if there is none.
auto exchange(open_answer& opened, const holder_command& order, const std::string& host, instant deadline)
    -> asio::awaitable<bool> {
    const auto time_left = [deadline] { return std::max(deadline - monotonic_now(), duration{1}); };
    const auto request = platform::make_order(order, host);
    const auto is_sent = co_await send_request(opened, request, time_left());
    auto is_received = false;
    if (is_sent) {
        const auto limits = reading_limits(time_left());
        is_received = co_await receive_answer(opened, false, limits);
    }
    if (!is_received) {
        abort_exchange(opened);
    }
    co_return is_received;
}

/// What the answer to a probe shows.
enum class probe_answer {
    none,    ///< There was none, or it says that the process is not the target.
    unclear, ///< It may be a late copy of the answer to an earlier call on the connection.
    reading, ///< The process reads its calls now.
};

/// Sends the probe of @a call on a connection that was used within @a max_idle, or a new one.
auto send_probe(connection_pool& pool, const holder_call& call, duration max_idle)
    -> asio::awaitable<probe_answer> {
    auto address = call.address;
    auto opened = co_await open_exchange(pool, std::move(address), max_idle);
    if (!opened || !call.may_begin()) {
        co_return probe_answer::none;
    }
    const auto was_used = opened->client_connection->was_used;
    const auto sent = monotonic_now();
    const auto is_answered = co_await exchange(*opened, *call.probe, call.address.host, sent + call.timeout);
    if (!is_answered) {
        pool.close_idle(call.address);
        log::info("probe_unanswered", {{"target", call.order.to.id},
                                       {"birth", call.order.to.start_time_ms},
                                       {"ms", (monotonic_now() - sent).count() / 1000}});
        co_return probe_answer::none;
    }
    if (opened->parser->get().result() == http::status::misdirected_request) {
        co_return probe_answer::none;
    }
    auto token = std::string{};
    const auto response = http_response{opened->header()};
    if (platform::read_order_answer(*call.probe, response, token) == command_result::done) {
        end_exchange(pool, std::move(*opened));
        co_return probe_answer::reading;
    }
    // Without a token, a late copy of it would be taken for the answer to a grant.
    abort_exchange(*opened);
    if (was_used) {
        co_return probe_answer::unclear;
    }
    co_return probe_answer::reading;
}

/// Whether the process at the address of @a call reads its calls now. Any answer on a new connection shows
/// that.
auto answers_probe(connection_pool& pool, const holder_call& call) -> asio::awaitable<bool> {
    auto answer = co_await send_probe(pool, call, duration::max());
    if (answer == probe_answer::unclear) {
        answer = co_await send_probe(pool, call, duration{});
    }
    co_return answer == probe_answer::reading;
}

auto call_for_release(open_answer opened, const holder_call& call, holder_answer answer)
    -> asio::awaitable<holder_answer> {
    const auto is_received =
        co_await exchange(opened, call.order, call.address.host, answer.sent + call.timeout);
    answer.result = command_result::unanswered;
    if (is_received) {
        const auto response = http_response{opened.header()};
        answer.result = platform::read_order_answer(call.order, response, answer.handover);
    }
    co_return answer;
}

auto call_for_grant(connection_pool& pool, open_answer opened, const holder_call& call, holder_answer answer)
    -> asio::awaitable<holder_answer> {
    auto grant = std::make_shared<grant_exchange>(std::move(opened), call.order, call.address.host);
    const auto is_sent =
        co_await grant_exchange::begin(grant, call.timeout, std::max(call.timeout, call.reading_limit));
    answer.result = command_result::unanswered;
    if (!is_sent) {
        co_return answer;
    }
    co_await grant->wait(answer.sent + call.timeout);
    if (grant->has_ended()) {
        answer.result = grant->result();
        grant->release_to(pool);
    } else if (call.reading_limit > call.timeout) {
        answer.result = command_result::overdue;
        answer.overdue = std::move(grant);
    } else {
        grant->abort();
    }
    co_return answer;
}

} // namespace

grant_exchange::grant_exchange(open_answer opened, holder_command grant, std::string host)
    : m_opened{std::move(opened)}, m_grant{std::move(grant)}, m_host{std::move(host)},
      m_end{m_opened.client_connection->stream.get_executor(), asio::steady_timer::time_point::max()} {}

auto grant_exchange::begin(std::shared_ptr<grant_exchange> self, duration timeout, duration reading_limit)
    -> asio::awaitable<bool> {
    const auto request = platform::make_order(self->m_grant, self->m_host);
    const auto is_sent = co_await send_request(self->m_opened, request, timeout);
    if (!is_sent) {
        self->abort();
        co_return false;
    }
    const auto executor = self->m_end.get_executor();
    asio::co_spawn(executor, read(std::move(self), reading_limit), asio::detached);
    co_return true;
}

auto grant_exchange::read(std::shared_ptr<grant_exchange> self, duration limit) -> asio::awaitable<void> {
    const auto limits = reading_limits(limit);
    self->m_is_received = co_await receive_answer(self->m_opened, false, limits);
    self->m_has_ended = true;
    self->m_end.cancel();
}

auto grant_exchange::wait(instant until) -> asio::awaitable<void> {
    if (!m_has_ended) {
        m_end.expires_after(until - monotonic_now());
        static_cast<void>(co_await m_end.async_wait(asio::as_tuple(asio::use_awaitable)));
    }
}

auto grant_exchange::send_behind(std::shared_ptr<grant_exchange> self, holder_command release,
                                 duration timeout) -> asio::awaitable<void> {
    if (self->m_has_ended) {
        co_return;
    }
    self->m_unsent.push_back(std::move(release));
    if (self->m_is_sending) {
        co_return;
    }
    self->m_is_sending = true;
    while (!self->m_unsent.empty()) {
        auto next = std::move(self->m_unsent.front());
        self->m_unsent.pop_front();
        const auto request = platform::make_order(next, self->m_host);
        self->m_sent.push_back(std::move(next));
        const auto is_sent = co_await send_request(self->m_opened, request, timeout);
        if (!is_sent) {
            self->m_unsent.clear();
            self->abort();
        }
    }
    self->m_is_sending = false;
}

auto grant_exchange::read_release(duration timeout) -> asio::awaitable<std::optional<release_answer>> {
    if (!m_is_received || m_sent.empty()) {
        co_return std::nullopt;
    }
    auto answer = release_answer{.release = std::move(m_sent.front())};
    m_sent.pop_front();
    const auto limits = reading_limits(timeout);
    m_is_received = co_await receive_answer(m_opened, false, limits);
    if (m_is_received) {
        const auto response = http_response{m_opened.header()};
        answer.result = platform::read_order_answer(answer.release, response, answer.handover);
    }
    co_return answer;
}

auto grant_exchange::abort() -> void {
    abort_exchange(m_opened);
}

auto grant_exchange::result() const -> command_result {
    if (!m_is_received) {
        return command_result::unanswered;
    }
    auto ignored = std::string{};
    return platform::read_order_answer(m_grant, http_response{m_opened.header()}, ignored);
}

auto grant_exchange::release_to(connection_pool& pool) -> void {
    if (m_is_received && m_sent.empty() && !m_is_sending) {
        end_exchange(pool, std::move(m_opened));
    } else {
        abort();
    }
}

auto call_holder(connection_pool& pool, holder_call call) -> asio::awaitable<holder_answer> {
    auto answer = holder_answer{.sent = monotonic_now()};
    if (call.probe) {
        const auto is_reading = co_await answers_probe(pool, call);
        answer.sent = monotonic_now();
        if (!is_reading) {
            answer.not_sent = not_sent_reason::probe_unanswered;
            co_return answer;
        }
    }
    // A late copy of the answer to a probe could be taken for the answer to a release, so that one gets a
    // connection of its own.
    const auto is_grant = call.order.kind == command_kind::grant;
    auto address = call.address;
    auto opened = co_await open_exchange(pool, std::move(address), is_grant ? duration::max() : duration{});
    // Connecting may have taken long, and the term or the right to send orders may have ended meanwhile.
    answer.sent = monotonic_now();
    if (!opened) {
        answer.not_sent = opened.error() == exchange_error::refused ? not_sent_reason::refused
                                                                    : not_sent_reason::unreachable;
        co_return answer;
    }
    if (!call.may_begin()) {
        answer.not_sent = not_sent_reason::no_right;
        co_return answer;
    }
    if (call.on_begin) {
        call.on_begin();
    }
    if (is_grant) {
        answer = co_await call_for_grant(pool, std::move(*opened), call, std::move(answer));
    } else {
        answer = co_await call_for_release(std::move(*opened), call, std::move(answer));
    }
    co_return answer;
}

} // namespace teaselcross
