#pragma once

// What an entry does after each attempt at a request: try again, or answer truthfully.

#include "core/enum_names.h"
#include "core/time.h"

#include <cstdint>

namespace teaselcross {

/// How one attempt ended, as far as the entry can tell.
enum class attempt_end {
    answered,         ///< A whole answer, or the start of a streamed one.
    not_sent,         ///< No byte of the request left, or the connection was refused.
    not_run,          ///< The next hop said that it did not run and why it may help to try again.
    refused,          ///< The next hop said that it did not run and that trying again does not help.
    reported_unknown, ///< The next hop said that nobody knows whether it ran.
    lost,             ///< The request was sent, and no answer will come.
};

/// What the caller is told about a request without an answer.
enum class outcome { not_run, unknown };
constexpr enum_table<outcome, 2> outcome_names{"not-run", "unknown"};

enum class next_step { deliver, try_again, answer_not_run, answer_unknown };

/// Tokens for retries: each new request adds a part of one, each retry of a lost attempt takes a whole one.
struct retry_token_bucket {
    double tokens = 10;
    double tokens_per_request = 0.1;
    double max_tokens = 100;
};

auto on_request(retry_token_bucket& budget) -> void;
auto take_retry(retry_token_bucket& budget) -> bool;

struct attempt_state {
    bool repeatable = false;   ///< Idempotent, or with an identity by which the keeper recognises a repeat.
    bool may_have_run = false; ///< Some attempt may have reached the target and run.
    std::uint32_t lost_attempts = 0;
    instant deadline{};
};

/// Attempts that may be lost before a repeatable request is given up.
constexpr std::uint32_t max_lost_attempts = 3;

/// Decides what follows after an attempt that ended at @a now. "Not run" is answered only when no attempt can
/// have run. A request that is not repeatable is never sent again after an attempt that may have run.
auto after_attempt(attempt_state& state, retry_token_bucket& budget, attempt_end end, instant now)
    -> next_step;

} // namespace teaselcross
