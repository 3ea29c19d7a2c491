#pragma once

// Subsetting: limits the targets of a service that an instance chooses from.
//
// In a fleet that is large for its traffic each instance sends a request to a target only every few seconds,
// so its load data is stale and the choice among all targets is close to random. An instance that uses a
// small subset gets recent load data from each target in it. The subsets of the instances overlap at random,
// so the load is still spread over the whole service, and adding or removing a target changes few subsets.
//
// See Ousterhout et al., "Sparrow" (2013), for the cost of random choice, and Beyer et al., "Site Reliability
// Engineering" (2016), chapter 20, for subsetting.

#include "admission/target_view.h"

#include <cstdint>
#include <vector>

namespace teaselcross {

struct subset_options {
    /// The interval between answers from each target of the subset: about as long as its load stays the same.
    duration answer_interval = std::chrono::milliseconds{600};
    std::size_t min_targets = 4; ///< Enough to avoid one slow and one failing target.
    /// If the distance cost is at least this, up to as many targets of the own data centre are added.
    duration min_distance_cost = std::chrono::milliseconds{50};
};

/// The subset size for an instance that sends @a rate requests per second to a service.
auto subset_size(double rate, const subset_options& options) -> std::size_t;

/// Reduces @a targets to the subset of the instance with the hash @a instance. Targets are ranked by
/// rendezvous hashing, so the subset stays the same between calls. Precondition: no null pointers. Not thread
/// safe on the same list.
auto reduce_to_subset(std::vector<target_view*>& targets, std::uint64_t instance, std::size_t size,
                      const choice_context& context, const subset_options& options) -> void;

} // namespace teaselcross
