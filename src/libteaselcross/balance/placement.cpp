#include "balance/placement.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace teaselcross {

namespace {

struct bounded_target {
    const placement_target* target = nullptr;
    double bound = 0;
    double load = 0;
};

auto shard_hash(const service_id& service, std::size_t shard) -> std::uint64_t {
    return hash_text(service.value() + "/" + std::to_string(shard));
}

/// The targets that accept shards, in rendezvous order for one shard.
auto rendezvous_order(std::uint64_t item, std::vector<bounded_target>& bounded)
    -> std::vector<bounded_target*> {
    auto order = std::vector<bounded_target*>{};
    for (auto& each : bounded) {
        if (each.target->accepts) {
            order.push_back(&each);
        }
    }
    std::sort(order.begin(), order.end(), [&](const bounded_target* a, const bounded_target* b) {
        return rendezvous_weight(item, a->target->id.value()) >
               rendezvous_weight(item, b->target->id.value());
    });
    return order;
}

auto make_bounded_targets(const std::vector<placement_target>& targets, double total_load,
                          double largest_shard, double slack) -> std::vector<bounded_target> {
    const auto capacity = std::accumulate(targets.begin(), targets.end(), 0.0,
                                          [](double sum, const auto& each) { return sum + each.capacity; });
    auto bounded = std::vector<bounded_target>{};
    for (const auto& each : targets) {
        const auto even = capacity > 0 ? total_load * each.capacity / capacity : 0;
        // A shard cannot be split, so the bound is at least half of the largest shard above the even share.
        bounded.push_back({&each, std::max(even * (1 + slack), even + largest_shard * 0.5), 0});
    }
    return bounded;
}

/// The first target in @a order whose bound allows @a load, otherwise the one with the lowest relative load.
auto choose_bounded_target(const std::vector<bounded_target*>& order, double load) -> bounded_target* {
    for (auto* each : order) {
        if (each->load + load <= each->bound) {
            return each;
        }
    }
    return *std::min_element(order.begin(), order.end(),
                             [](const bounded_target* a, const bounded_target* b) {
                                 return a->load * b->bound < b->load * a->bound;
                             });
}

} // namespace

auto place_shards(const service_id& service, const std::vector<target_id>& current,
                  const std::vector<double>& loads, const std::vector<placement_target>& targets,
                  const placement_options& options) -> std::vector<target_id> {
    auto owners = std::vector<target_id>(current.size());
    if (targets.empty() || current.empty()) {
        return owners;
    }
    const auto total = std::accumulate(loads.begin(), loads.end(), 0.0);
    const auto largest = *std::max_element(loads.begin(), loads.end());
    auto bounded = make_bounded_targets(targets, total, largest, options.slack);
    auto by_id = std::map<target_id, bounded_target*>{};
    for (auto& each : bounded) {
        by_id[each.target->id] = &each;
    }
    // Places heavy shards first, so that light ones fill the remaining capacity.
    auto heaviest_first = std::vector<std::size_t>(current.size());
    std::iota(heaviest_first.begin(), heaviest_first.end(), std::size_t{0});
    std::stable_sort(heaviest_first.begin(), heaviest_first.end(),
                     [&](std::size_t a, std::size_t b) { return loads[a] > loads[b]; });
    auto displaced = std::vector<std::size_t>{};
    for (const auto shard : heaviest_first) {
        const auto owner = by_id.find(current[shard]);
        if (owner != by_id.end() && owner->second->load + loads[shard] <= owner->second->bound) {
            owner->second->load += loads[shard];
            owners[shard] = current[shard];
        } else {
            displaced.push_back(shard);
        }
    }
    for (const auto shard : displaced) {
        const auto order = rendezvous_order(shard_hash(service, shard), bounded);
        if (order.empty()) {
            // No target accepts it: the current owner keeps it, although that exceeds its bound.
            owners[shard] = by_id.contains(current[shard]) ? current[shard] : target_id{};
            continue;
        }
        auto* const chosen = choose_bounded_target(order, loads[shard]);
        chosen->load += loads[shard];
        owners[shard] = chosen->target->id;
    }
    return owners;
}

auto place_by_rendezvous(const service_id& service, std::size_t shards,
                         const std::vector<placement_target>& targets) -> std::vector<target_id> {
    auto owners = std::vector<target_id>(shards);
    for (std::size_t shard = 0; shard < shards && !targets.empty(); ++shard) {
        const auto item = shard_hash(service, shard);
        owners[shard] =
            std::max_element(targets.begin(), targets.end(), [&](const auto& a, const auto& b) {
                return rendezvous_weight(item, a.id.value()) < rendezvous_weight(item, b.id.value());
            })->id;
    }
    return owners;
}

} // namespace teaselcross
