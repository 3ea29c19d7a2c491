#include "membership/campaign_order.h"

#include <algorithm>

namespace teaselcross {

auto campaign_deferral(const campaign_options& options, std::size_t rank, std::size_t strong) -> duration {
    const auto size = options.active_candidates;
    if (rank < size) {
        return duration::zero();
    }
    const auto strong_groups = std::min((std::max(strong, size) - 1) / size, options.groups);
    const auto group =
        rank < strong ? (rank / size - 1) % options.groups : strong_groups + rank % options.groups;
    return options.first_deferral + options.group_interval * static_cast<duration::rep>(group);
}

} // namespace teaselcross
