#pragma once

// Answers about requests that got none from a target.

#include "delivery/attempt.h"
#include "http/exchange.h"

namespace teaselcross {

/// What a refusal says.
struct request_refusal {
    outcome request_outcome = outcome::not_run;
    std::string reason;           ///< One word, for machines.
    std::string text;             ///< A sentence, for people.
    bool retry_elsewhere = false; ///< Another attempt may succeed at once.
    duration retry_after{};       ///< When to come back; zero when not known.
};

/// The answer for a refusal: 503 when the request has not run, 502 when nobody knows.
auto refusal_answer(const http_request& request, const request_refusal& refused) -> http_response;

} // namespace teaselcross
