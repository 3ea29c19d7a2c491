// Placement of keys by the speed of their holders: slow targets give keys away, targets that are slow for a
// moment keep theirs, and few keys move.

#include "balance/speed_balance.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace teaselcross::test {

namespace {

using std::chrono::milliseconds;

constexpr auto start = instant{std::chrono::seconds{10}};
constexpr auto objective = duration{milliseconds{600}};
constexpr auto usual_us = 160'000.0;
constexpr auto slots = 3U;
constexpr auto holder_count = 12;

auto name(int index) -> target_id {
    return target_id{"t" + std::to_string(index)};
}

/// A service whose first targets, a third of them, take @a slow_factor of the usual time. A fifth of all
/// requests meet a target that is three times slower than usual.
struct keyed_service {
    explicit keyed_service(double slow_factor) : slow{slow_factor} {
        auto holders = std::map<target_id, key_holder>{};
        for (auto index = 0; index < holder_count; ++index) {
            holders[name(index)] = {.incarnation = {.id = name(index), .start_time_ms = 1}, .eligible = true};
            targets.push_back({.id = name(index), .slots = slots});
            for (auto count = 0; count < 50; ++count) {
                const auto slowness = count % 5 == 0 ? 3.0 : 1.0;
                add_sample(speeds, name(index),
                           {.time = duration{static_cast<duration::rep>(time_of(index) * slowness)},
                            .slowness = slowness});
            }
        }
        set_holders(grantor, std::move(holders));
        EXPECT_TRUE(assign_initial_ranges(grantor));
        settle();
    }

    auto time_of(int index) const -> double { return usual_us * (index < holder_count / 3 ? slow : 1.0); }
    /// What target @a index serves, in requests per second; a fifth of them take three times as long.
    auto capacity_of(int index) const -> double { return slots * 1e6 / (time_of(index) * 1.4); }

    /// Spreads a load over all keys at which the targets are busy for @a utilisation of their time.
    auto load_keys(double utilisation) -> void {
        auto total = 0.0;
        for (auto index = 0; index < holder_count; ++index) {
            total += utilisation * capacity_of(index);
        }
        for (auto key = shard_key{0}; key < last_shard_key; key += 64) {
            rates.rate[key] = static_cast<float>(total / 1024);
        }
        rates.first_request = start;
        rates.updated = start + rates.options.time_constant * 4;
    }

    /// Carries out all moves in progress.
    auto settle() -> void {
        for (auto round = 0; round < 6; ++round) {
            if (const auto map = next_write(grantor)) {
                on_written(grantor, *map, {.number = ++revision});
            }
            for (const auto& order : due_commands(grantor, now)) {
                on_command_finished(grantor, order, command_result::done, {}, now, now);
            }
        }
    }

    /// Plans and carries out moves once. Returns their number.
    auto step() -> std::size_t {
        now += milliseconds{400};
        auto total = 0.0;
        for (const auto load : range_loads(grantor.map, rates)) {
            total += load;
        }
        update_capacities(placement, speeds, targets, objective, total, now);
        auto holders = grantor.holders;
        for (auto index = 0; index < holder_count; ++index) {
            const auto found = placement.capacities.find(name(index));
            auto& holder = holders.at(name(index));
            holder.capacity =
                found == placement.capacities.end() ? capacity_of(holder_count - 1) : found->second.planned;
        }
        set_holders(grantor, std::move(holders));
        const auto moves = plan_moves(grantor, rates, placement);
        for (const auto& move : moves) {
            for (auto key = move.first; key <= move.last; ++key) {
                most_moves_of_a_key = std::max(most_moves_of_a_key, ++moves_of[key]);
            }
            start_move(grantor, move.first, move.last, move.to);
        }
        settle();
        return moves.size();
    }

    auto rates_by_target() const -> std::map<target_id, double> {
        auto found = std::map<target_id, double>{};
        const auto loads = range_loads(grantor.map, rates);
        for (std::size_t index = 0; index < loads.size(); ++index) {
            found[grantor.map.ranges[index].holder.id] += loads[index];
        }
        return found;
    }

    /// Lets plan_moves() alone place the keys, by what each target serves.
    auto place_by_utilisation() -> void {
        auto holders = grantor.holders;
        for (auto index = 0; index < holder_count; ++index) {
            holders.at(name(index)).capacity = capacity_of(index);
        }
        set_holders(grantor, std::move(holders));
        for (auto round = 0; round < 40; ++round) {
            for (const auto& move : plan_moves(grantor, rates)) {
                start_move(grantor, move.first, move.last, move.to);
            }
            settle();
        }
    }

    /// Expected late answers per second.
    auto late_answers() const -> double {
        auto late = 0.0;
        auto rates_now = rates_by_target();
        for (auto index = 0; index < holder_count; ++index) {
            const auto rate = rates_now[name(index)];
            late += rate * late_share(speeds, time_of(index), slots, objective, rate);
        }
        return late;
    }

    double slow;
    instant now = start;
    std::uint64_t revision = 0;
    range_grantor grantor;
    service_speeds speeds;
    speed_balance placement;
    key_rates rates{.options = sustained_load_options};
    std::vector<serving_target> targets;
    std::map<shard_key, int> moves_of;
    int most_moves_of_a_key = 0;
};

} // namespace

class speed_balance_load : public testing::TestWithParam<double> {};

// Guards against slow targets that keep as many keys for their slots as fast ones while these have capacity,
// and against keys that never come to rest.
TEST_P(speed_balance_load, a_slow_third_holds_fewer_keys_and_the_placement_comes_to_rest) {
    auto service = keyed_service{1.0 / 0.55};
    service.load_keys(GetParam());
    auto moves = std::size_t{0};
    for (auto round = 0; round < 40; ++round) {
        moves += service.step();
    }
    EXPECT_LE(moves, 4U * holder_count);
    EXPECT_LE(service.most_moves_of_a_key, 1);
    auto rates = service.rates_by_target();
    for (auto index = 0; index < holder_count; ++index) {
        EXPECT_GT(rates[name(index)], 0.0) << index;
    }
    auto by_utilisation = keyed_service{1.0 / 0.55};
    by_utilisation.load_keys(GetParam());
    by_utilisation.place_by_utilisation();
    EXPECT_LT(service.late_answers(), by_utilisation.late_answers());
    for (auto round = 0; round < 40; ++round) {
        EXPECT_EQ(service.step(), 0U);
    }
}
INSTANTIATE_TEST_SUITE_P(utilisations, speed_balance_load, testing::Values(0.3, 0.5, 0.8));

// Guards against slow targets that stay overloaded while fast ones have capacity, and against keys that
// change hands again and again: with requests at random times, as they are.
TEST_P(speed_balance_load, no_target_gets_more_than_it_serves_with_random_arrivals) {
    auto service = keyed_service{1.0 / 0.55};
    service.load_keys(GetParam());
    const auto steady = service.rates.rate;
    service.rates = {.options = sustained_load_options};
    decay(service.rates, start);
    auto random = std::mt19937_64{7};
    for (auto round = 0; round < 150; ++round) { // A minute.
        decay(service.rates, service.now);
        for (auto key = shard_key{0}; key < last_shard_key; key += 64) {
            auto arrivals = std::poisson_distribution<std::uint32_t>{steady[key] * 0.4};
            add_requests(service.rates, key, arrivals(random));
        }
        service.step();
    }
    EXPECT_LE(service.most_moves_of_a_key, 6); // At most one in ten seconds.
    service.rates.rate = steady;
    service.rates.updated = start + std::chrono::seconds{60};
    auto rates = service.rates_by_target();
    for (auto index = 0; index < holder_count; ++index) {
        EXPECT_LT(rates[name(index)], service.capacity_of(index)) << index;
    }
}

// Guards against a change of the placement where targets are equal.
TEST(speed_balance, equal_targets_get_no_capacities_of_their_own) {
    auto service = keyed_service{1.0};
    service.load_keys(0.4);
    EXPECT_EQ(service.step(), 0U);
    EXPECT_FALSE(service.placement.is_unequal);
    EXPECT_TRUE(service.placement.capacities.empty());
}

// Guards against taking many keys out of service at once for a lasting difference.
TEST(speed_balance, few_lasting_moves_are_in_progress_at_once) {
    auto service = keyed_service{1.0 / 0.5};
    service.step();
    service.load_keys(0.5);
    auto moves = plan_moves(service.grantor, service.rates, service.placement);
    ASSERT_FALSE(moves.empty());
    for (auto round = 0; round < 10; ++round) {
        for (const auto& move : moves) {
            start_move(service.grantor, move.first, move.last, move.to);
        }
        moves = plan_moves(service.grantor, service.rates, service.placement);
    }
    const auto& ranges = service.grantor.map.ranges;
    const auto moving =
        std::count_if(ranges.begin(), ranges.end(), [](const auto& range) { return range.is_moving(); });
    EXPECT_LE(moving, static_cast<std::ptrdiff_t>(service.placement.options.max_moves));
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
        for (auto index = 0; index < holder_count; ++index) {
            const auto slowness = chance(random) < 0.2 ? 3.0 : 1.0;
            const auto speed = index == 0 ? 0.55 : 1.0;
            for (auto request = 0; request < 3; ++request) {
                const auto work = chance(random) < 0.03 ? 7.0 : 1.0;
                const auto us = usual_us * slowness * work / speed;
                add_sample(speeds, name(index), {.time = duration{static_cast<duration::rep>(us)}});
            }
        }
    }
    EXPECT_GT(relative_time(speeds, name(0)), 1.0 / 0.7); // 0.5 to 0.7 counts as a slow target.
    for (auto index = 1; index < holder_count; ++index) {
        EXPECT_LT(relative_time(speeds, name(index)), 1.0 / 0.7) << index;
    }
}

// Guards against judging a target by its first few requests.
TEST(target_speeds, few_samples_show_no_difference) {
    auto speeds = service_speeds{};
    for (auto index = 0; index < holder_count; ++index) {
        for (auto count = 0; count < 20; ++count) {
            add_sample(speeds, name(index), {.time = milliseconds{160}});
        }
    }
    add_sample(speeds, target_id{"new"}, {.time = milliseconds{320}});
    EXPECT_LT(relative_time(speeds, target_id{"new"}), 1.0 / 0.7);
    EXPECT_EQ(relative_time(speeds, target_id{"unknown"}), 1.0);
}

} // namespace teaselcross::test
