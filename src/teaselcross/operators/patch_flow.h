#pragma once

// Submits configuration patches to the platform's store and reads the audit trail.

#include "config/patch.h"
#include "store/await_store.h"

namespace teaselcross {

/// Sends one call to the store and waits for its reply.
using store_caller = std::function<boost::asio::awaitable<store_reply>(store_call)>;

/// The store did not respond or its reply was lost, so the patch may or may not have been applied. Retrying
/// it with the same ID is safe.
struct patch_outcome_unknown {
    store_status status = store_status::unavailable;
};

using patch_result =
    tl::expected<std::uint64_t,
                 std::variant<version_conflict, already_applied, findings, patch_outcome_unknown>>;

/// Applies @a change to the configuration in the store. Returns the version that contains the change, or the
/// reason why it was not applied.
auto submit_patch(const store_caller& store, patch change) -> boost::asio::awaitable<patch_result>;

/// Reads the audit trail, oldest entry first; empty when the store does not respond.
auto read_history(const store_caller& store)
    -> boost::asio::awaitable<std::optional<std::vector<nlohmann::json>>>;

} // namespace teaselcross
