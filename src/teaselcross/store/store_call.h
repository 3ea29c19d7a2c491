#pragma once

// Calls to an object store over HTTP, independent of the store's protocol.

#include "core/enum_names.h"
#include "http/exchange.h"
#include "replication/store_object.h"

#include <optional>

namespace teaselcross {

enum class store_call_kind { get, list, watch, create, update, remove, instances };
constexpr enum_table<store_call_kind, 7> store_call_kind_names{"get",    "list",   "watch",    "create",
                                                               "update", "remove", "instances"};

/// One call. Only the fields that its kind needs are used.
struct store_call {
    store_call_kind kind = store_call_kind::get;
    std::string key; ///< The key, or the key prefix for list and watch.
    std::string value;
    /// For update and remove: the version that the object must have; number 0 for any.
    store_revision expected_version;
    store_revision after;     ///< For watch: reports changes after this revision.
    duration wait{};          ///< For watch: how long the store may wait for a change.
    std::string after_key;    ///< For list: continues after this key.
    bool allow_stale = false; ///< For get and list: accepts data that is seconds old.
};

enum class store_status {
    ok,
    missing,      ///< The object does not exist.
    conflict,     ///< The precondition failed; nothing was changed.
    history_lost, ///< The store no longer has the changes after the given revision.
    unavailable,  ///< The call did not take effect.
    unknown,      ///< The call may have taken effect.
    restored,     ///< The store has been restored from an older copy since the expected version was read.
};
constexpr enum_table<store_status, 7> store_status_names{"ok",          "missing", "conflict", "history_lost",
                                                         "unavailable", "unknown", "restored"};

struct store_reply {
    store_status status = store_status::unavailable;
    store_revision version; ///< Version of the object, or the store's revision for list and watch.
    std::vector<store_object> objects;
    /// Era of the store that answered, also in the versions above; 0 if it does not report eras.
    std::uint64_t era = 0;
    bool more = false; ///< For list: there are more objects after the last one.
    std::string body;  ///< For instances: the response body.
    instant started{}; ///< Start time of the call.
};

auto is_write(store_call_kind kind) -> bool;

/// Encodes calls to a store and decodes its responses. The functions must be thread safe.
struct store_protocol {
    http_request (*make_request)(const store_call& call, const std::string& host) = nullptr;
    /// Sets the status and the other fields of @a reply from the store's response.
    void (*read_reply)(const store_call& call, const http_response& answer, store_reply& reply) = nullptr;
};

/// Makes @a call and waits for the response for @a timeout, plus the wait of a watch. Must run on the pool's
/// thread.
auto perform_store_call(connection_pool& pool, endpoint store, const store_protocol& protocol,
                        store_call call, duration timeout) -> boost::asio::awaitable<store_reply>;

} // namespace teaselcross
