#include "ownership/lost_owners.h"

namespace teaselcross {

auto time_until_served(lost_owners& state, const target_incarnation& owner, duration grant_term, instant now)
    -> std::optional<duration> {
    // An owner that has not been found lost for a whole term has answered or lost its keys meanwhile.
    std::erase_if(state.losses, [&](const auto& entry) { return now - entry.second.last_seen > grant_term; });
    auto& loss = state.losses.try_emplace(owner, lost_owners::loss{.since = now}).first->second;
    loss.last_seen = now;
    const auto left = loss.since + grant_term - now;
    return left > duration::zero() ? std::optional{left} : std::nullopt;
}

} // namespace teaselcross
