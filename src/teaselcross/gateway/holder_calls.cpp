#include "gateway/holder_calls.h"

#include "logging/log.h"
#include "platform/messages.h"
#include "runtime/clock.h"

#include <algorithm>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Sends @a order on @a opened and reads the answer, until @a deadline. Returns false, and closes the
/// connection, if there is none.
auto exchange(open_answer& opened, const holder_command& order, const std::string& host, instant deadline)
    -> asio::awaitable<bool> {
    const auto time_left = [deadline] { return std::max(deadline - monotonic_now(), duration{1}); };
    const auto request = platform::make_order(order, host);
    const auto is_sent = co_await send_request(opened, request, time_left());
    auto is_received = false;
    if (is_sent) {
        const auto left = time_left();
        const auto limits =
            exchange_limits{.answer_timeout = left, .stall_timeout = left, .buffer_timeout = left};
        is_received = co_await receive_answer(opened, false, limits);
    }
    if (!is_received) {
        abort_exchange(opened);
    }
    co_return is_received;
}

/// Whether the process at the address of @a call reads its calls now. Any answer shows that, but for one that
/// says that it is not the target.
auto answers_probe(connection_pool& pool, const holder_call& call) -> asio::awaitable<bool> {
    auto address = call.address;
    auto opened = co_await open_exchange(pool, std::move(address), duration::max());
    if (!opened) {
        co_return false;
    }
    const auto sent = monotonic_now();
    const auto is_answered = co_await exchange(*opened, *call.probe, call.address.host, sent + call.timeout);
    if (!is_answered) {
        pool.close_idle(call.address);
        log::info("probe_unanswered", {{"target", call.order.to.id},
                                       {"birth", call.order.to.start_time_ms},
                                       {"ms", (monotonic_now() - sent).count() / 1000}});
        co_return false;
    }
    const auto status = opened->parser->get().result();
    end_exchange(pool, std::move(*opened));
    co_return status != http::status::misdirected_request;
}

} // namespace

auto call_holder(connection_pool& pool, holder_call call) -> asio::awaitable<holder_answer> {
    auto answer = holder_answer{.sent = monotonic_now()};
    if (call.probe) {
        const auto is_reading = co_await answers_probe(pool, call);
        answer.sent = monotonic_now();
        if (!is_reading) {
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
    if (!opened || !call.may_begin()) {
        co_return answer;
    }
    const auto is_received =
        co_await exchange(*opened, call.order, call.address.host, answer.sent + call.timeout);
    if (!is_received) {
        answer.result = command_result::unanswered;
        co_return answer;
    }
    const auto response = http_response{opened->header()};
    answer.result = platform::read_order_answer(call.order, response, answer.handover);
    if (is_grant) {
        end_exchange(pool, std::move(*opened));
    }
    co_return answer;
}

} // namespace teaselcross
