// Shard placement: bounded load and few moves, compared with plain rendezvous hashing.

#include "balance/placement.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace teaselcross::test {

namespace {

constexpr auto shard_count = std::size_t{256};
const auto service = service_id{"s"};

auto make_targets(std::size_t count) -> std::vector<placement_target> {
    auto targets = std::vector<placement_target>{};
    for (std::size_t index = 0; index < count; ++index) {
        targets.push_back({.id = target_id{"t" + std::to_string(index)}});
    }
    return targets;
}

auto imbalance(const std::vector<target_id>& owners, const std::vector<double>& loads, std::size_t targets)
    -> double {
    auto by_target = std::map<target_id, double>{};
    auto total = 0.0;
    for (std::size_t shard = 0; shard < owners.size(); ++shard) {
        by_target[owners[shard]] += loads[shard];
        total += loads[shard];
    }
    auto most = 0.0;
    for (const auto& [id, load] : by_target) {
        most = std::max(most, load);
    }
    return most / (total / static_cast<double>(targets));
}

auto count_moved(const std::vector<target_id>& before, const std::vector<target_id>& after) -> std::size_t {
    auto count = std::size_t{0};
    for (std::size_t shard = 0; shard < before.size(); ++shard) {
        count += before[shard] != after[shard] ? 1 : 0;
    }
    return count;
}

} // namespace

TEST(placement, the_load_of_each_target_is_bounded) {
    const auto targets = make_targets(20);
    const auto loads = std::vector<double>(shard_count, 1.0);
    const auto owners = place_shards(service, std::vector<target_id>(shard_count), loads, targets, {});
    EXPECT_LE(imbalance(owners, loads, 20), 1.15);
    const auto baseline = place_by_rendezvous(service, shard_count, targets);
    EXPECT_LT(imbalance(owners, loads, 20), imbalance(baseline, loads, 20));
}

TEST(placement, losing_a_target_moves_little_more_than_its_shards) {
    auto targets = make_targets(20);
    const auto loads = std::vector<double>(shard_count, 1.0);
    const auto before = place_shards(service, std::vector<target_id>(shard_count), loads, targets, {});
    targets.erase(targets.begin() + 7);
    const auto after = place_shards(service, before, loads, targets, {});
    EXPECT_LE(count_moved(before, after), 18U);
    EXPECT_LE(imbalance(after, loads, 19), 1.15);
}

TEST(placement, the_same_input_moves_nothing) {
    const auto targets = make_targets(20);
    const auto loads = std::vector<double>(shard_count, 1.0);
    const auto before = place_shards(service, std::vector<target_id>(shard_count), loads, targets, {});
    EXPECT_EQ(count_moved(before, place_shards(service, before, loads, targets, {})), 0U);
}

TEST(placement, a_target_that_accepts_no_shards_keeps_its_own) {
    auto targets = make_targets(4);
    const auto loads = std::vector<double>(shard_count, 1.0);
    auto before = place_shards(service, std::vector<target_id>(shard_count), loads, targets, {});
    targets[0].accepts = false;
    const auto after = place_shards(service, before, loads, targets, {});
    EXPECT_EQ(count_moved(before, after), 0U);
}

TEST(placement, without_targets_no_shard_has_an_owner) {
    const auto loads = std::vector<double>(shard_count, 1.0);
    const auto owners = place_shards(service, std::vector<target_id>(shard_count), loads, {}, {});
    EXPECT_EQ(owners, std::vector<target_id>(shard_count));
}

} // namespace teaselcross::test
