#pragma once

// Hedged requests after "The Tail at Scale" (Dean, Barroso, 2013): sends a second copy of an idempotent
// request that takes longer than a high quantile of recent latencies, within a budget.

#include "core/time.h"
#include "delivery/attempt.h"

#include <optional>
#include <vector>

namespace teaselcross {

struct hedge_options {
    double quantile = 0.95;     ///< Quantile of the latencies that is used as the delay.
    double budget_ratio = 0.05; ///< Maximum long-term ratio of hedges to requests.
    duration min_delay = std::chrono::milliseconds{2};
    std::size_t window = 256; ///< Number of recent latencies used for the quantile.
};

struct hedger {
    hedge_options options;
    retry_token_bucket budget{.tokens = 5, .tokens_per_request = 0.05, .max_tokens = 50};
    std::vector<duration> latencies; ///< Ring buffer of recent latencies.
    std::size_t next_slot = 0;
    std::uint32_t since_estimate = 0;
    std::optional<duration> delay; ///< Nothing before enough latencies are known.
};

auto make_hedger(const hedge_options& options) -> hedger;

/// Records a new request and returns the delay after which to hedge it; nothing before enough latencies are
/// known.
auto hedge_delay(hedger& state) -> std::optional<duration>;

/// Takes a hedge from the budget after the delay has passed; false if the budget is used up.
auto take_hedge(hedger& state) -> bool;

/// Records an answer after @a latency.
auto on_answered(hedger& state, duration latency) -> void;

} // namespace teaselcross
