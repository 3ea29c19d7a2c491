#pragma once

// Patches and the audit trail in the platform's store.

#include "config/patch.h"
#include "store/await_store.h"

namespace teaselcross {

/// Makes one call to the store and waits for its reply.
using store_caller = std::function<boost::asio::awaitable<store_reply>(store_call)>;

/// The store did not answer, or its answer was lost; repeating the patch under its ID is safe.
struct patch_undecided {
    store_status status = store_status::unavailable;
};

using patch_result =
    tl::expected<std::uint64_t, std::variant<version_conflict, already_applied, findings, patch_undecided>>;

/// Applies @a change to the configuration in the store: the version at which it took effect, or why it did
/// not.
auto submit_patch(const store_caller& store, patch change) -> boost::asio::awaitable<patch_result>;

/// The audit trail, oldest first; nothing when the store does not answer.
auto read_history(const store_caller& store)
    -> boost::asio::awaitable<std::optional<std::vector<nlohmann::json>>>;

} // namespace teaselcross
