#pragma once

// The platform's object store over HTTP, as docs/store-protocol.md describes it.

#include "runtime/executor_thread.h"
#include "store/store_call.h"

#include <nlohmann/json.hpp>

#include <functional>

namespace teaselcross {

/// Makes calls from the store's own thread.
class store_client {
public:
    store_client(executor_thread& own, endpoint store);

    /// Starts @a call and hands the reply to @a handler on @a reply_to. Returns false when the ring to the
    /// store's thread is full; then the call is not made and the handler is not called. Safe to call from any
    /// thread.
    auto call(store_call call, executor_thread& reply_to, std::function<void(const store_reply&)> handler)
        -> bool;

private:
    executor_thread& m_duty;
    endpoint m_store;
    connection_pool m_pool;
};

} // namespace teaselcross
