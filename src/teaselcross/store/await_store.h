#pragma once

// A store call as an awaitable.

#include "store/store_client.h"

#include <boost/asio/awaitable.hpp>

namespace teaselcross {

/// Makes @a call and waits for its reply on @a waiting, whose thread has to be the present one. A full ring
/// is reported as `unavailable`.
auto await_store(store_client& store, executor_thread& waiting, store_call call)
    -> boost::asio::awaitable<store_reply>;

} // namespace teaselcross
