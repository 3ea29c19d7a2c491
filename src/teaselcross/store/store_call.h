#pragma once

// Calls to an object store over HTTP, whatever the store's manner of speaking.

#include "core/enum_names.h"
#include "http/exchange.h"

#include <optional>

namespace teaselcross {

enum class store_call_kind { get, list, watch, create, update, remove, instances };
constexpr enum_table<store_call_kind, 7> store_call_kind_names{"get",    "list",   "watch",    "create",
                                                               "update", "remove", "instances"};

/// One call. Only the fields that its kind needs are read.
struct store_call {
    store_call_kind kind = store_call_kind::get;
    std::string key; ///< Or the prefix, for list and watch.
    std::string value;
    std::uint64_t expected_version = 0; ///< For update.
    std::uint64_t after = 0;            ///< For watch: changes after this revision.
    duration wait{};                    ///< For watch.
    std::string after_key;              ///< For list: continues behind this key.
    bool allow_stale = false;           ///< For get and list: an answer that is seconds old will do.
};

enum class store_status {
    ok,
    missing,      ///< There is no such object.
    conflict,     ///< The condition did not hold; nothing was changed.
    history_lost, ///< The changes after the given revision are not known any more.
    unavailable,  ///< The call did not take effect.
    unknown,      ///< The call may have taken effect.
};
constexpr enum_table<store_status, 6> store_status_names{"ok",           "missing",     "conflict",
                                                         "history_lost", "unavailable", "unknown"};

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
    bool more = false; ///< After list: the list goes on behind the last object.
    std::string body;  ///< For instances.
    instant started{}; ///< When the call began.
};

auto is_write(store_call_kind kind) -> bool;

/// How a store is spoken to. The functions must be thread safe.
struct store_protocol {
    http_request (*make_request)(const store_call& call, const std::string& host) = nullptr;
    /// Fills @a reply, with its status, from an answer of the store.
    void (*read_reply)(const store_call& call, const http_response& answer, store_reply& reply) = nullptr;
};

/// Makes @a call and waits for its answer for @a timeout, beside the wait of a watch. Runs on the pool's
/// thread.
auto perform_store_call(connection_pool& pool, endpoint store, const store_protocol& dialect, store_call call,
                        duration timeout) -> boost::asio::awaitable<store_reply>;

} // namespace teaselcross
