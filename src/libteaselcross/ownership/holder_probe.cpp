#include "ownership/holder_probe.h"

#include <algorithm>

namespace teaselcross {

auto make_probe(const key_map& map, const holder_command& grant) -> std::optional<holder_command> {
    const auto of_another = std::find_if(map.ranges.begin(), map.ranges.end(), [&grant](const auto& range) {
        return range.holder.id != grant.to.id && range.next.id != grant.to.id;
    });
    if (of_another == map.ranges.end()) {
        return std::nullopt;
    }
    return holder_command{.kind = command_kind::release,
                          .to = grant.to,
                          .first = of_another->first,
                          .last = of_another->first,
                          .fence = of_another->fence};
}

} // namespace teaselcross
