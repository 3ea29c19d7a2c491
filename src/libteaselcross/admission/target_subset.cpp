#include "admission/target_subset.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace teaselcross {

namespace {

struct ranked_view {
    std::uint64_t weight = 0;
    target_view* view = nullptr;
};

/// Moves the @a size views with the largest weights to the front of the range; returns the end of them.
auto heaviest_first(std::vector<ranked_view>::iterator first, std::vector<ranked_view>::iterator last,
                    std::size_t size) -> std::vector<ranked_view>::iterator {
    const auto all = static_cast<std::size_t>(last - first);
    const auto end = first + static_cast<std::ptrdiff_t>(std::min(size, all));
    std::partial_sort(first, end, last,
                      [](const auto& left, const auto& right) { return left.weight > right.weight; });
    return end;
}

} // namespace

auto subset_size(double rate, const subset_options& options) -> std::size_t {
    const auto wanted = std::ceil(rate * std::chrono::duration<double>(options.answer_interval).count());
    return std::max(options.min_targets, static_cast<std::size_t>(std::max(wanted, 0.0)));
}

auto reduce_to_subset(std::vector<target_view*>& targets, std::uint64_t instance, std::size_t size,
                      const choice_context& context, const subset_options& options) -> void {
    if (targets.size() <= size) {
        return;
    }
    auto ranked = std::vector<ranked_view>{};
    ranked.reserve(targets.size());
    for (auto* view : targets) {
        ranked.push_back({.weight = rendezvous_weight(instance, view->listed.id.value()), .view = view});
    }
    auto end = heaviest_first(ranked.begin(), ranked.end(), size);
    if (context.distance_cost >= options.min_distance_cost) {
        const auto near = std::partition(end, ranked.end(), [&context](const auto& each) {
            return each.view->listed.data_centre == context.own_data_centre;
        });
        end = heaviest_first(end, near, size);
    }
    targets.clear();
    std::transform(ranked.begin(), end, std::back_inserter(targets),
                   [](const auto& each) { return each.view; });
}

} // namespace teaselcross
