#pragma once

// When to send a second copy of a slow idempotent request, after "The Tail at Scale" (Dean, Barroso, 2013):
// after a high quantile of the usual latency, within a budget.

#include "core/time.h"
#include "delivery/attempt.h"

#include <optional>
#include <vector>

namespace teaselcross {

struct hedge_options {
    double quantile = 0.95;
    double budget_ratio = 0.05; ///< Hedges per request at most, over time.
    duration min_delay = std::chrono::milliseconds{2};
    std::size_t window = 256; ///< Latencies that the quantile is taken of.
};

struct hedger {
    hedge_options options;
    retry_token_bucket budget{.tokens = 5, .tokens_per_request = 0.05, .max_tokens = 50};
    std::vector<duration> latencies;
    std::size_t next_slot = 0;
    std::uint32_t since_estimate = 0;
    std::optional<duration> delay;
};

auto make_hedger(const hedge_options& options) -> hedger;

/// A request begins: the delay after which to hedge it, if at all. Nothing before enough has been seen.
auto hedge_delay(hedger& state) -> std::optional<duration>;

/// The delay is over: takes a hedge from the budget. False when there is none left.
auto take_hedge(hedger& state) -> bool;

/// A request was answered after @a latency.
auto on_answered(hedger& state, duration latency) -> void;

} // namespace teaselcross
