#pragma once

// Decides what an entry does after each attempt to send a request: retry, or report a result that never
// claims "not run" for a request that may have run.

#include "core/enum_names.h"
#include "core/time.h"

#include <cstdint>

namespace teaselcross {

/// How one attempt ended, as far as the entry can tell.
enum class attempt_end {
    answered,         ///< A complete answer, or the start of a streamed one.
    not_sent,         ///< No byte of the request was sent, or the connection was refused.
    not_run,          ///< The next hop reported that it did not run and that a retry may help.
    refused,          ///< The next hop reported that it did not run and that a retry doesn't help.
    reported_unknown, ///< The next hop reported that it may have run.
    lost,             ///< The request was sent, but the answer was lost.
};

/// The result that is reported to the caller of a request without an answer.
enum class outcome { not_run, unknown };
constexpr enum_table<outcome, 2> outcome_names{"not-run", "unknown"};

enum class next_step { deliver, try_again, answer_not_run, answer_unknown };

/// Token bucket for retries: each new request adds a fraction of a token, each retry of a lost attempt takes
/// one.
struct retry_token_bucket {
    double tokens = 10;
    double tokens_per_request = 0.1;
    double max_tokens = 100;
};

/// Adds the tokens of a new request.
auto on_request(retry_token_bucket& budget) -> void;
/// Takes a token for a retry; false if there is none.
auto take_retry(retry_token_bucket& budget) -> bool;

struct attempt_state {
    bool repeatable =
        false; ///< Idempotent, or has an operation identity by which the keeper detects a repeat.
    bool may_have_run = false; ///< Some attempt may have reached the target and run.
    std::uint32_t lost_attempts = 0;
    instant deadline{};
};

/// Lost attempts after which a repeatable request is not retried.
constexpr std::uint32_t max_lost_attempts = 3;

/// Decides what to do after an attempt that ended at @a now. "Not run" is reported only if no attempt can
/// have run. A request that is not repeatable is never sent again after an attempt that may have run.
auto after_attempt(attempt_state& state, retry_token_bucket& budget, attempt_end end, instant now)
    -> next_step;

} // namespace teaselcross
