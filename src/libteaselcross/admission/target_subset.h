#pragma once

// Which targets of a service an instance looks at for its requests.
//
// Answers the pattern of a fleet that is large for its traffic: where each instance sends a target a request
// every few seconds, all it knows of that target is out of date, and its choice among all of them is a blind
// one. An instance that stays with a few targets hears from each of them often. The subsets of the instances
// overlap at random, so load still evens out over the whole service, and a target that comes or goes changes
// few of them.
//
// After Ousterhout et al., "Sparrow" (2013), for what blind choice loses, and Beyer et al., "Site Reliability
// Engineering" (2016), chapter 20, for subsets.

#include "admission/target_view.h"

#include <cstdint>
#include <vector>

namespace teaselcross {

struct subset_options {
    /// How often an instance should hear from each target of its subset: about as often as noise changes.
    duration answer_interval = std::chrono::milliseconds{600};
    std::size_t min_targets = 4; ///< Enough to get around one that is slow and one that fails.
    /// Cost of distance above which the subset is doubled by targets of the own data centre.
    duration min_distance_cost = std::chrono::milliseconds{50};
};

/// The size of the subset for an instance that sends @a rate requests a second to a service.
auto subset_size(double rate, const subset_options& options) -> std::size_t;

/// Reduces @a open to the targets that the instance of the hash @a instance looks at. The ones it would lose
/// first are the same at each call, so it stays with the others.
/// Precondition: no null pointers. Not thread safe on the same list.
auto reduce_to_subset(std::vector<target_view*>& open, std::uint64_t instance, std::size_t size,
                      const choice_context& context, const subset_options& options) -> void;

} // namespace teaselcross
