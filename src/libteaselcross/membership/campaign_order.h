#pragma once

// In which order instances campaign for a lease that nobody holds.

#include "core/time.h"

#include <cstddef>

namespace teaselcross {

struct campaign_options {
    std::size_t active_candidates = 3; ///< Campaign at once; the others defer to them.
    std::size_t groups = 8;            ///< Of instances that campaign one group after the other.
    duration first_deferral{};         ///< Time that the active candidates have.
    duration group_interval{};         ///< Between two groups.
};

/// How long an instance waits without a holder before it campaigns. @a rank is the number of instances that
/// are preferred to it. Of the instances, @a strong have at least half of the capacity of the strongest; the
/// others follow after all groups of these, because the work of a holder needs more than they can spare.
/// Thread safe.
auto campaign_deferral(const campaign_options& options, std::size_t rank, std::size_t strong) -> duration;

} // namespace teaselcross
