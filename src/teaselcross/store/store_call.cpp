#include "store/store_call.h"

#include "runtime/clock.h"

namespace teaselcross {

namespace {

constexpr auto max_response_bytes = std::size_t{256} * 1024 * 1024;

} // namespace

auto is_write(store_call_kind kind) -> bool {
    return kind == store_call_kind::create || kind == store_call_kind::update ||
           kind == store_call_kind::remove;
}

auto perform_store_call(connection_pool& pool, endpoint store, const store_protocol& protocol,
                        store_call call, duration timeout) -> boost::asio::awaitable<store_reply> {
    auto reply = store_reply{};
    reply.started = monotonic_now();
    auto request = protocol.make_request(call, store.host);
    const auto answer = co_await perform_exchange(pool, std::move(store), std::move(request),
                                                  timeout + call.wait, max_response_bytes);
    if (!answer) {
        const auto may_be_sent = answer.error() == exchange_error::lost;
        reply.status = may_be_sent && is_write(call.kind) ? store_status::unknown : store_status::unavailable;
        co_return reply;
    }
    protocol.read_reply(call, *answer, reply);
    co_return reply;
}

} // namespace teaselcross
