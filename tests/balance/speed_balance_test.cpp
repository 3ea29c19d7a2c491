// Placement of keys by the speed of their holders, hot ranges, and many moves with losses in between.

#include "balance/speed_balance.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace teaselcross::test {

namespace {

using std::chrono::milliseconds;
using key_load = std::map<shard_key, double>; ///< Requests per second by key.

constexpr auto start = instant{std::chrono::seconds{10}};
constexpr auto plan_interval = duration{milliseconds{400}};
constexpr auto usual_us = 160'000.0;
constexpr auto slots = 3U;

auto name(int index) -> target_id {
    return target_id{"t" + std::to_string(index)};
}

/// A controller's decisions for targets of which the first third takes @a slow_factor of the usual time. A
/// fifth of all requests meet a target that is three times slower than usual. Targets answer orders at once,
/// apart from lost ones.
struct controlled_service {
    explicit controlled_service(int holder_count, double slow_factor = 1.0)
        : count{holder_count}, slow{slow_factor} {
        auto holders = std::map<target_id, key_holder>{};
        for (auto index = 0; index < count; ++index) {
            holders[name(index)] = {.incarnation = {.id = name(index), .start_time_ms = 1}, .eligible = true};
            targets.push_back({.id = name(index), .slots = slots});
            for (auto sample = 0; sample < 50; ++sample) {
                const auto slowness = sample % 5 == 0 ? 3.0 : 1.0;
                const auto us = static_cast<duration::rep>(time_of(index) * slowness);
                add_sample(speeds, name(index), {.time = duration{us}, .slowness = slowness});
            }
        }
        set_holders(grantor, std::move(holders));
        EXPECT_TRUE(assign_initial_ranges(grantor));
        carry_out();
    }

    auto time_of(int index) const -> double { return usual_us * (index < count / 3 ? slow : 1.0); }
    /// What target @a index serves, in requests per second; a fifth of them take three times as long.
    auto capacity_of(int index) const -> double { return slots * 1e6 / (time_of(index) * 1.4); }

    /// A load over all keys at which the targets are busy for @a utilisation of their time.
    auto load_at(double utilisation) const -> key_load {
        constexpr auto step = shard_key{16};
        auto load = key_load{};
        for (auto key = shard_key{0}; key <= last_shard_key; key += step) {
            for (auto index = 0; index < count; ++index) {
                load[key] += utilisation * capacity_of(index) * step / (last_shard_key + 1.0);
            }
        }
        return load;
    }

    auto carry_out() -> void {
        for (auto step = 0; step < 4; ++step) {
            if (const auto map = next_write(grantor)) {
                on_written(grantor, *map, {.number = ++revision});
            }
            for (const auto& order : due_commands(grantor, now)) {
                const auto is_lost = lost.contains(order.to.id);
                const auto result = is_lost ? command_result::unanswered : command_result::done;
                on_command_finished(grantor, order, result, {}, now, now);
            }
        }
    }

    /// One plan: the moves of the last one end, and the requests since then, at random times, are counted.
    auto run_round(const key_load& load) -> void {
        now += plan_interval;
        carry_out();
        auto total = 0.0;
        for (auto& each : rates) {
            decay(each, now);
        }
        for (const auto& [key, rate] : load) {
            total += rate;
            const auto arrivals = std::poisson_distribution<std::uint32_t>{rate * 0.4}(random);
            add_requests(rates[0], key, arrivals);
            add_requests(rates[1], key, arrivals);
        }
        if (by_speed) {
            update_capacities(placement, speeds, targets, milliseconds{600}, total, now);
        }
        auto holders = grantor.holders;
        for (auto index = 0; index < count; ++index) {
            const auto found = placement.capacities.find(name(index));
            const auto known = found == placement.capacities.end() ? holder_capacity{} : found->second;
            auto& holder = holders.at(name(index));
            holder.capacity = known.planned > 0 ? known.planned : capacity_of(index);
            holder.nominal_capacity = known.nominal;
        }
        set_holders(grantor, std::move(holders));
        start_evictions(grantor, range_loads(grantor.map, rates[0]), now);
        for (const auto& each : rates) {
            for (const auto& move : plan_moves(grantor, each, placement)) {
                ++moves;
                start_move(grantor, move.first, move.last, move.to);
            }
        }
    }

    /// Another controller continues with the record alone.
    auto replace_controller() -> void {
        auto next = range_grantor{};
        auto map = grantor.map;
        map.revision = {.number = ++revision};
        take_over(next, std::move(map), now, now);
        set_holders(next, grantor.holders);
        grantor = std::move(next);
    }

    auto owner_of(shard_key key) const -> target_id { return find_range(grantor.map, key)->holder.id; }
    /// Expected late answers per second.
    auto late_answers(const key_load& load) const -> double {
        auto late = 0.0;
        auto sums = by_target(load);
        for (auto index = 0; index < count; ++index) {
            const auto rate = sums[name(index)];
            late += rate * late_share(speeds, time_of(index), slots, milliseconds{600}, rate);
        }
        return late;
    }

    auto by_target(const key_load& load) const -> std::map<target_id, double> {
        auto sums = std::map<target_id, double>{};
        for (const auto& [key, rate] : load) {
            sums[owner_of(key)] += rate;
        }
        return sums;
    }

    int count;
    double slow;
    bool by_speed = true; ///< Otherwise holders get the same utilisation.
    instant now = start;
    std::uint64_t revision = 0;
    std::size_t moves = 0;
    std::set<target_id> lost;
    range_grantor grantor;
    service_speeds speeds;
    speed_balance placement;
    std::array<key_rates, 2> rates{key_rates{.options = hotspot_options},
                                   key_rates{.options = sustained_load_options}};
    std::vector<serving_target> targets;
    std::mt19937_64 random{7};
};

} // namespace

class utilisation : public testing::TestWithParam<double> {};

// Guards against slow targets that keep as much as they can serve, and answer late, while fast ones have
// capacity, and against keys that change hands again and again.
TEST_P(utilisation, slow_third_holds_fewer_keys_after_few_moves) {
    auto service = controlled_service{12, 1 / 0.55};
    auto by_utilisation = controlled_service{12, 1 / 0.55};
    by_utilisation.by_speed = false;
    const auto load = service.load_at(GetParam());
    for (auto round = 0; round < 150; ++round) { // A minute.
        service.run_round(load);
        by_utilisation.run_round(load);
    }
    EXPECT_LE(service.moves, 5U * 12U); // A target is part of one in ten seconds, apart from the first.
    auto rates = service.by_target(load);
    for (auto index = 0; index < service.count; ++index) {
        EXPECT_GT(rates[name(index)], 0) << index;
        EXPECT_LT(rates[name(index)], service.capacity_of(index)) << index;
    }
    EXPECT_LT(service.late_answers(load), by_utilisation.late_answers(load));
}
INSTANTIATE_TEST_SUITE_P(speed_balance, utilisation, testing::Values(0.3, 0.5, 0.8));

// Guards against a change of the placement where targets are equal.
TEST(speed_balance, equal_targets_get_no_capacities_of_their_own) {
    auto service = controlled_service{12};
    service.run_round(service.load_at(0.4));
    EXPECT_FALSE(service.placement.is_unequal);
    EXPECT_TRUE(service.placement.capacities.empty());
}

class hot_keys : public testing::TestWithParam<int> {};

// Guards against adjacent hot keys that stay together: a third of the service's requests go to a few keys for
// five seconds. Before these are over no target gets twice the mean, as the specification aims at.
TEST_P(hot_keys, adjacent_ones_are_spread_within_five_seconds) {
    auto service = controlled_service{84};
    auto load = service.load_at(0.5);
    for (auto round = 0; round < 25; ++round) {
        service.run_round(load);
    }
    const auto mean = 1.5 * 0.5 * service.capacity_of(0);
    for (auto index = 0; index < GetParam(); ++index) {
        load[30'000 + static_cast<shard_key>(index)] += 84 * mean / 3 / GetParam();
    }
    for (auto round = 0; round < 12; ++round) {
        service.run_round(load);
    }
    for (const auto& [id, rate] : service.by_target(load)) {
        EXPECT_LT(rate, 2 * mean) << id.value();
    }
}
INSTANTIATE_TEST_SUITE_P(speed_balance, hot_keys, testing::Values(60, 200));

// Guards against a key that is out of service again and again because no target can serve it alone, and
// against neighbours that stay beside it.
TEST(speed_balance, oversized_key_stays_and_its_neighbours_leave) {
    auto service = controlled_service{84};
    const auto base = service.load_at(0.5);
    auto load = base;
    load[30'000] += 300;
    const auto owner = service.owner_of(30'000);
    for (auto round = 0; round < 12; ++round) {
        service.run_round(load);
        EXPECT_EQ(service.owner_of(30'000), owner);
    }
    EXPECT_LT(service.by_target(base)[owner], 0.1 * service.capacity_of(0));
}

// Guards against keys that end up without a served holder after two thousand moves, of which some were in
// progress when a target was lost or the controller was replaced.
TEST(speed_balance, all_keys_are_served_after_many_moves_and_losses) {
    auto service = controlled_service{256, 1 / 0.55};
    const auto base = service.load_at(0.5);
    for (auto round = 0; service.moves < 2000 && round < 1500; ++round) {
        auto load = base;
        const auto first = static_cast<shard_key>(round / 6 * 6073 % 60'000);
        for (auto key = first; key < first + 60; ++key) {
            load[key] += 10;
        }
        service.run_round(load);
        if (round == 40) {
            service.lost.insert(name(3));
        }
        if (round == 60) {
            service.replace_controller();
        }
    }
    EXPECT_GE(service.moves, 2000U);
    for (auto round = 0; round < 20; ++round) { // Longer than a grant lasts.
        service.now += plan_interval;
        service.carry_out();
        start_evictions(service.grantor, {}, service.now);
    }
    auto next = shard_key{0};
    for (std::size_t index = 0; index < service.grantor.map.ranges.size(); ++index) {
        const auto& range = service.grantor.map.ranges[index];
        EXPECT_EQ(range.first, next);
        EXPECT_TRUE(is_served(service.grantor, index)) << range.first;
        EXPECT_NE(range.holder.id, name(3));
        next = range.last + 1;
    }
    EXPECT_EQ(next, last_shard_key + 1);
}

// Guards against taking a target for a slow one that is three times slower for moments of 400 ms, and against
// a few requests with seven times the work. The targets do not report their slowness.
TEST(target_speeds, moments_of_slowness_make_no_slow_target) {
    auto random = std::mt19937_64{7};
    auto chance = std::uniform_real_distribution<double>{0, 1};
    auto speeds = service_speeds{};
    auto now = start;
    for (auto moment = 0; moment < 75; ++moment, now += milliseconds{400}) { // Half a minute.
        decay(speeds, now);
        for (auto index = 0; index < 12; ++index) {
            const auto slowness = chance(random) < 0.2 ? 3.0 : 1.0;
            for (auto request = 0; request < 3; ++request) {
                const auto work = chance(random) < 0.03 ? 7.0 : 1.0;
                const auto us = usual_us * slowness * work / (index == 0 ? 0.55 : 1.0);
                add_sample(speeds, name(index), {.time = duration{static_cast<duration::rep>(us)}});
            }
        }
    }
    for (auto index = 0; index < 12; ++index) { // 0.5 to 0.7 counts as a slow target.
        EXPECT_EQ(relative_time(speeds, name(index)) > 1 / 0.7, index == 0) << index;
    }
}

} // namespace teaselcross::test
