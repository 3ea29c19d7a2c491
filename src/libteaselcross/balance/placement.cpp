#include "balance/placement.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace teaselcross {

namespace {

struct room {
    const placement_target* target = nullptr;
    double bound = 0;
    double load = 0;
};

auto shard_hash(const service_id& service, std::size_t shard) -> std::uint64_t {
    return hash_text(service.value() + "/" + std::to_string(shard));
}

/// The rooms in rendezvous order for one shard.
auto rendezvous_order(std::uint64_t item, std::vector<room>& rooms) -> std::vector<room*> {
    auto order = std::vector<room*>{};
    for (auto& each : rooms) {
        if (each.target->accepts) {
            order.push_back(&each);
        }
    }
    std::sort(order.begin(), order.end(), [&](const room* a, const room* b) {
        return rendezvous_weight(item, a->target->id.value()) >
               rendezvous_weight(item, b->target->id.value());
    });
    return order;
}

auto make_rooms(const std::vector<placement_target>& targets, double total_load, double largest_shard,
                double slack) -> std::vector<room> {
    const auto capacity = std::accumulate(targets.begin(), targets.end(), 0.0,
                                          [](double sum, const auto& each) { return sum + each.capacity; });
    auto rooms = std::vector<room>{};
    for (const auto& each : targets) {
        const auto even = capacity > 0 ? total_load * each.capacity / capacity : 0;
        // One shard cannot be divided, so a bound lies at least a shard above the even share.
        rooms.push_back({&each, std::max(even * (1 + slack), even + largest_shard * 0.5), 0});
    }
    return rooms;
}

/// The first room in order that the load fits into, else the relatively least loaded.
auto choose_room(const std::vector<room*>& order, double load) -> room* {
    for (auto* each : order) {
        if (each->load + load <= each->bound) {
            return each;
        }
    }
    return *std::min_element(order.begin(), order.end(), [](const room* a, const room* b) {
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
    auto rooms = make_rooms(targets, total, largest, options.slack);
    auto by_id = std::map<target_id, room*>{};
    for (auto& each : rooms) {
        by_id[each.target->id] = &each;
    }
    // Heavy shards first, so that the light ones fill the gaps.
    auto heavy_first = std::vector<std::size_t>(current.size());
    std::iota(heavy_first.begin(), heavy_first.end(), std::size_t{0});
    std::stable_sort(heavy_first.begin(), heavy_first.end(),
                     [&](std::size_t a, std::size_t b) { return loads[a] > loads[b]; });
    auto displaced = std::vector<std::size_t>{};
    for (const auto shard : heavy_first) {
        const auto owner = by_id.find(current[shard]);
        if (owner != by_id.end() && owner->second->load + loads[shard] <= owner->second->bound) {
            owner->second->load += loads[shard];
            owners[shard] = current[shard];
        } else {
            displaced.push_back(shard);
        }
    }
    for (const auto shard : displaced) {
        const auto order = rendezvous_order(shard_hash(service, shard), rooms);
        if (order.empty()) {
            // Nobody takes it: it stays with an owner over its bound.
            owners[shard] = by_id.contains(current[shard]) ? current[shard] : target_id{};
            continue;
        }
        auto* const chosen = choose_room(order, loads[shard]);
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
