#pragma once

// Error answers to requests that got no answer from a target.

#include "delivery/attempt.h"
#include "http/exchange.h"

namespace teaselcross {

/// Why a request is refused, and whether it may have run.
struct request_refusal {
    outcome request_outcome = outcome::not_run;
    std::string reason;           ///< One word, for programs.
    std::string text;             ///< One sentence, for people.
    bool retry_elsewhere = false; ///< Another attempt may succeed at once.
    duration retry_after{};       ///< When to retry; zero if unknown.
};

/// The error answer: 503 if the request has not run, 502 if its outcome is unknown.
auto refusal_answer(const http_request& request, const request_refusal& refusal) -> http_response;

} // namespace teaselcross
