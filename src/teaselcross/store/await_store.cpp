#include "store/await_store.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace teaselcross {

namespace asio = boost::asio;

auto await_store(store_client& store, executor_thread& caller_thread, store_call call)
    -> asio::awaitable<store_reply> {
    struct pending {
        asio::steady_timer timer;
        store_reply reply;
    };
    auto state = std::make_shared<pending>(
        pending{asio::steady_timer{caller_thread.context(), asio::steady_timer::time_point::max()}, {}});
    const auto is_posted = store.call(std::move(call), caller_thread, [state](const store_reply& reply) {
        state->reply = reply;
        state->timer.cancel();
    });
    if (is_posted) {
        co_await state->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return state->reply;
}

} // namespace teaselcross
