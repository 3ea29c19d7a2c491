#pragma once

// The platform's object store over HTTP, as docs/store-protocol.md describes it.

#include "core/enum_names.h"
#include "http/exchange.h"
#include "runtime/duty.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace teaselcross {

enum class store_call_kind { get, list, watch, create, update, remove, instances };

/// One call. Only the fields that its kind needs are read.
struct store_call {
    store_call_kind kind = store_call_kind::get;
    std::string key; ///< Or the prefix, for list and watch.
    std::string value;
    std::uint64_t expected_version = 0; ///< For update.
    std::uint64_t after = 0;            ///< For watch: changes after this revision.
    duration wait{};                    ///< For watch.
};

enum class store_status {
    ok,
    missing,     ///< There is no such object.
    conflict,    ///< The condition did not hold; nothing was changed.
    unavailable, ///< The call did not take effect.
    unknown,     ///< The call may have taken effect.
};
constexpr enum_table<store_status, 5> store_status_names{"ok", "missing", "conflict", "unavailable",
                                                         "unknown"};

struct store_object {
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    bool removed = false;
};

struct store_reply {
    store_status status = store_status::unavailable;
    std::uint64_t version = 0; ///< Of the object after a write; the store's revision after list and watch.
    std::vector<store_object> objects;
    std::string body;  ///< For instances.
    instant started{}; ///< When the call began.
};

/// Makes calls from the store's own thread.
class store_client {
public:
    store_client(duty& own, endpoint store);

    /// Starts @a call and hands the reply to @a handler on @a reply_to. Returns false when the ring to the
    /// store's thread is full; then the call is not made and the handler is not called. Safe to call from any
    /// thread.
    auto call(store_call call, duty& reply_to, std::function<void(const store_reply&)> handler) -> bool;

private:
    auto perform(store_call call) -> boost::asio::awaitable<store_reply>;

    duty& m_duty;
    endpoint m_store;
    connection_pool m_pool;
};

} // namespace teaselcross
