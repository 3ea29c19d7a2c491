#include "replication/difference_cache.h"

namespace teaselcross {

auto difference_cache::add(object_difference difference) -> void {
    m_differences.push_back(std::move(difference));
    if (m_differences.size() > m_capacity) {
        m_differences.pop_front();
    }
}

auto difference_cache::find(const store_revision& after, const store_revision& to) const
    -> std::vector<const object_difference*> {
    auto found = std::vector<const object_difference*>{};
    auto from = after;
    while (from < to) {
        const object_difference* longest = nullptr;
        for (const auto& each : m_differences) {
            if (each.from == from && each.to <= to && (longest == nullptr || each.to > longest->to)) {
                longest = &each;
            }
        }
        if (longest == nullptr || longest->to <= from) {
            return {};
        }
        found.push_back(longest);
        from = longest->to;
    }
    return found;
}

} // namespace teaselcross
