#pragma once

// Client of the platform's object store, using the HTTP protocol of docs/store-protocol.md.

#include "runtime/executor_thread.h"
#include "store/store_call.h"

#include <nlohmann/json.hpp>

#include <functional>

namespace teaselcross {

/// Makes the HTTP calls on a dedicated thread.
class store_client {
public:
    store_client(executor_thread& own_thread, endpoint store);

    /// Starts @a call and runs @a handler with the reply on @a reply_to. Returns false if the queue of the
    /// store's thread is full; the call is then not made and the handler is not called. Thread safe.
    auto call(store_call call, executor_thread& reply_to, std::function<void(const store_reply&)> handler)
        -> bool;

private:
    executor_thread& m_thread;
    endpoint m_store;
    connection_pool m_pool;
};

} // namespace teaselcross
