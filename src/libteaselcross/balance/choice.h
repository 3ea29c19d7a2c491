#pragma once

// Load balancing for requests without a key: the better of two random targets by observed load and latency.

#include "core/identifier.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace teaselcross {

/// Observations of one entry about a target.
struct observed_target {
    std::uint32_t in_flight = 0;
    double latency_us = 0; ///< Smoothed; rises fast and falls slowly. 0 before the first answer.
    instant updated{};
};

struct target_chooser {
    std::mt19937_64 random;
    std::map<target_id, observed_target> observed;
};

/// Chooses one of @a candidates after "The Power of Two Choices in Randomized Load Balancing" (Mitzenmacher,
/// 2001), with the product of load and latency as the cost. Returns nothing if there are no candidates.
auto choose_target(target_chooser& state, const std::vector<target_id>& candidates, instant now)
    -> std::optional<target_id>;

/// Records that a request was sent to @a target.
auto on_sent(target_chooser& state, const target_id& target) -> void;
/// Records the end of a request after @a latency; a failure counts as a slow answer.
auto on_completed(target_chooser& state, const target_id& target, duration latency, bool succeeded,
                  instant now) -> void;

} // namespace teaselcross
