#include "ownership/holder_probe.h"

#include <algorithm>

namespace teaselcross {

namespace {

auto make_release(const holder_command& grant, shard_key key, std::uint64_t fence) -> holder_command {
    return {.kind = command_kind::release, .to = grant.to, .first = key, .last = key, .fence = fence};
}

} // namespace

auto make_probe(const key_map& map, const holder_command& grant) -> holder_command {
    const auto of_another = std::find_if(map.ranges.begin(), map.ranges.end(), [&grant](const auto& range) {
        return range.holder.id != grant.to.id && range.next.id != grant.to.id;
    });
    if (of_another != map.ranges.end()) {
        return make_release(grant, of_another->first, of_another->fence);
    }
    // A release waits for the work on its keys. Few keys are busy, and they are at the ends of small ranges.
    const auto largest =
        std::max_element(map.ranges.begin(), map.ranges.end(), [](const auto& left, const auto& right) {
            return left.last - left.first < right.last - right.first;
        });
    const auto key =
        largest == map.ranges.end() ? grant.first : largest->first + (largest->last - largest->first) / 2;
    return make_release(grant, key, 0);
}

} // namespace teaselcross
