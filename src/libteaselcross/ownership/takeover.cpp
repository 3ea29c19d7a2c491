#include "ownership/takeover.h"

namespace teaselcross {

auto has_unknown_predecessors(const lease_takeover& from) -> bool {
    if (from.is_lost) {
        return true;
    }
    if (from.before) {
        return !from.before->is_settled;
    }
    return from.era > first_store_era || (from.era == first_store_era && !from.is_first_start);
}

auto inherit_keys(key_map recorded, const key_map* copy, std::uint64_t era, bool has_unknown_predecessors)
    -> inherited_keys {
    const auto is_unassigned =
        recorded.ranges.empty() && !has_unknown_predecessors && (copy == nullptr || copy->ranges.empty());
    const auto is_current =
        recorded.era == era && !recorded.holders_uncertain && (!recorded.ranges.empty() || is_unassigned);
    if (is_current) {
        return {.map = std::move(recorded)};
    }
    const auto version = recorded.revision;
    const auto is_copy_later =
        copy != nullptr && (recorded.ranges.empty() || recorded_at(*copy) > recorded_at(recorded));
    auto last_known = std::move(recorded);
    if (is_copy_later) {
        last_known = *copy;
    }
    const auto known_at = recorded_at(last_known);
    last_known.revision = version;
    last_known.era = era;
    return {.map = std::move(last_known), .is_lost = true, .recorded_at = known_at};
}

} // namespace teaselcross
