#pragma once

// Names of the HTTP header fields that clients, instances and targets exchange.

namespace teaselcross::fields {

// From clients.
constexpr auto idempotency_key = "Idempotency-Key";
constexpr auto deadline_ms = "Teaselcross-Deadline-Ms"; ///< Remaining time, also for instances and targets.
constexpr auto caller = "Teaselcross-Caller";           ///< The client whose queue share the request uses.

// To clients, and from keepers and targets.
constexpr auto outcome = "Teaselcross-Outcome"; ///< "not-run" or "unknown" if the request is rejected.
constexpr auto reason = "Teaselcross-Reason";
constexpr auto retry_elsewhere = "Teaselcross-Retry"; ///< "yes" if an immediate retry may succeed.
constexpr auto retry_after_ms = "Teaselcross-Retry-After-Ms";

// Between instances, and to targets.
constexpr auto request_id = "Teaselcross-Request-Id"; ///< The target echoes it in its response.
constexpr auto service = "Teaselcross-Service";
constexpr auto target = "Teaselcross-Target";
constexpr auto shard = "Teaselcross-Shard";
constexpr auto fence = "Teaselcross-Fence";
constexpr auto first_send = "Teaselcross-First-Send"; ///< The request ID is new and has not been sent before.
constexpr auto epoch = "Teaselcross-Epoch";

} // namespace teaselcross::fields
