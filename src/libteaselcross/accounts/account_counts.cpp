#include "accounts/account_counts.h"

#include <algorithm>

namespace teaselcross {

auto add_count(account_counts& counts, const std::string& name, const account_directory& known) -> void {
    ++counts[name];
    if (counts.size() > known.by_name.size()) {
        std::erase_if(counts, [&](const auto& each) { return !known.by_name.contains(each.first); });
    }
}

auto select_largest(const account_counts& counts, std::size_t most) -> largest_counts {
    auto selected = largest_counts{.largest = {counts.begin(), counts.end()}};
    auto& largest = selected.largest;
    std::stable_sort(largest.begin(), largest.end(),
                     [](const auto& left, const auto& right) { return left.second > right.second; });
    for (; largest.size() > most; largest.pop_back()) {
        selected.rest += largest.back().second;
    }
    return selected;
}

} // namespace teaselcross
