#pragma once

// Names of the header fields that callers, instances and targets exchange.

namespace teaselcross::fields {

// From callers.
constexpr auto idempotency_key = "Idempotency-Key";
constexpr auto deadline_ms = "Teaselcross-Deadline-Ms"; ///< Time left, also between instances and to targets.
constexpr auto caller = "Teaselcross-Caller";           ///< Whose share of a queue a request counts against.

// To callers, and from keepers and targets.
constexpr auto outcome = "Teaselcross-Outcome"; ///< "not-run" or "unknown" on a refusal.
constexpr auto reason = "Teaselcross-Reason";
constexpr auto retry_elsewhere = "Teaselcross-Retry"; ///< "yes" when another attempt may succeed at once.
constexpr auto retry_after_ms = "Teaselcross-Retry-After-Ms";

// Between instances, and to targets.
constexpr auto request_id = "Teaselcross-Request-Id"; ///< Repeated by the target in its answer.
constexpr auto service = "Teaselcross-Service";
constexpr auto target = "Teaselcross-Target";
constexpr auto shard = "Teaselcross-Shard";
constexpr auto fence = "Teaselcross-Fence";
constexpr auto first_send = "Teaselcross-First-Send"; ///< The identity is new and was never sent before.
constexpr auto epoch = "Teaselcross-Epoch";

} // namespace teaselcross::fields
