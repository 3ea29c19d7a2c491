#include "store/await_store.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace teaselcross {

namespace asio = boost::asio;

auto await_store(store_client& store, executor_thread& waiting, store_call call)
    -> asio::awaitable<store_reply> {
    struct pending {
        asio::steady_timer timer;
        store_reply reply;
    };
    auto held = std::make_shared<pending>(
        pending{asio::steady_timer{waiting.context(), asio::steady_timer::time_point::max()}, {}});
    const auto taken = store.call(std::move(call), waiting, [held](const store_reply& reply) {
        held->reply = reply;
        held->timer.cancel();
    });
    if (taken) {
        co_await held->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return held->reply;
}

} // namespace teaselcross
