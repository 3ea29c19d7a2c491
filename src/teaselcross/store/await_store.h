#pragma once

// Store calls for coroutines.

#include "store/store_client.h"

#include <boost/asio/awaitable.hpp>

namespace teaselcross {

/// Makes @a call and waits for the reply on @a caller_thread, which must be the current thread. If the queue
/// of the store's thread is full, the reply has the status `unavailable`.
auto await_store(store_client& store, executor_thread& caller_thread, store_call call)
    -> boost::asio::awaitable<store_reply>;

} // namespace teaselcross
