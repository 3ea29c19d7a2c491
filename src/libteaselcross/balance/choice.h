#pragma once

// Choice of a target for requests without a key: the better of two at random, by what was observed.

#include "core/identifier.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace teaselcross {

/// What one entry has seen of a target.
struct observed_target {
    std::uint32_t in_flight = 0;
    double latency_us = 0; ///< Smoothed; rises at once, falls slowly. 0 before the first answer.
    instant updated{};
};

struct target_chooser {
    std::mt19937_64 random;
    std::map<target_id, observed_target> observed;
};

/// Picks one of @a candidates after "The Power of Two Choices in Randomized Load Balancing" (Mitzenmacher,
/// 2001), with the product of load and latency as the measure. Nothing when there are none.
auto choose_target(target_chooser& state, const std::vector<target_id>& candidates, instant now)
    -> std::optional<target_id>;

/// A request went to @a target.
auto on_sent(target_chooser& state, const target_id& target) -> void;
/// It came back after @a latency, or failed; a failure counts as a slow answer.
auto on_completed(target_chooser& state, const target_id& target, duration latency, bool good, instant now)
    -> void;

} // namespace teaselcross
