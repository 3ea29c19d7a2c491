// Planned key moves: hotspots, slow and new holders, and no moves for random variation.

#include "balance/range_balance.h"

#include <gtest/gtest.h>

#include <numeric>

namespace teaselcross::test {

namespace {

constexpr auto start = instant{std::chrono::seconds{10}};

/// @a count holders with a capacity of @a weight requests per second each, and all keys granted evenly.
auto make_grantor(int count, double weight) -> range_grantor {
    auto state = range_grantor{};
    auto holders = std::map<target_id, key_holder>{};
    for (auto index = 0; index < count; ++index) {
        const auto id = target_id{"t" + std::to_string(index)};
        holders[id] = {.incarnation = {.id = id, .start_time_ms = 1}, .eligible = true, .capacity = weight};
    }
    set_holders(state, holders);
    EXPECT_TRUE(assign_initial_ranges(state));
    auto map = next_write(state);
    on_written(state, *map, {.number = 1});
    for (const auto& order : due_commands(state, start)) {
        on_command_finished(state, order, command_result::done, {}, start, start);
    }
    return state;
}

/// Rates after a steady load of @a per_second requests for each key.
auto steady_rates(const balance_options& options, const std::map<shard_key, double>& per_second)
    -> key_rates {
    auto rates = key_rates{.options = options};
    rates.first_request = start;
    rates.updated = start + options.time_constant * 4;
    for (const auto& [key, rate] : per_second) {
        rates.rate[key] = static_cast<float>(rate);
    }
    return rates;
}

auto load_after(const range_grantor& state, const std::vector<planned_move>& moves,
                const std::map<shard_key, double>& per_second) -> std::map<target_id, double> {
    auto loads = std::map<target_id, double>{};
    for (const auto& [key, rate] : per_second) {
        auto owner = find_range(state.map, key)->holder.id;
        for (const auto& move : moves) {
            if (move.first <= key && key <= move.last) {
                owner = move.to.id;
            }
        }
        loads[owner] += rate;
    }
    return loads;
}

auto highest_load(const std::map<target_id, double>& loads) -> double {
    auto most = 0.0;
    for (const auto& [id, load] : loads) {
        most = std::max(most, load);
    }
    return most;
}

} // namespace

TEST(range_balance, a_hotspot_is_spread_over_several_holders) {
    const auto state = make_grantor(10, 20);
    auto per_second = std::map<shard_key, double>{};
    for (auto key = shard_key{1000}; key < 1100; ++key) {
        per_second[key] = 0.6; // 60 per second in one range, three times the holder's capacity.
    }
    const auto moves = plan_moves(state, steady_rates(hotspot_options, per_second));
    EXPECT_GE(moves.size(), 2U);
    EXPECT_LE(highest_load(load_after(state, moves, per_second)), 20.0);
}

TEST(range_balance, the_neighbours_of_a_hot_key_move_before_it) {
    const auto state = make_grantor(4, 20);
    auto per_second = std::map<shard_key, double>{{2000, 18.0}};
    for (auto key = shard_key{2001}; key < 2021; ++key) {
        per_second[key] = 0.5;
    }
    const auto moves = plan_moves(state, steady_rates(hotspot_options, per_second));
    ASSERT_FALSE(moves.empty());
    EXPECT_FALSE(moves.front().first <= 2000 && 2000 <= moves.front().last);
}

TEST(range_balance, a_key_that_exceeds_its_holders_capacity_moves_to_a_faster_one) {
    auto state = make_grantor(3, 10);
    state.holders.at(target_id{"t2"}).capacity = 40;
    const auto per_second = std::map<shard_key, double>{{0, 25.0}};
    const auto moves = plan_moves(state, steady_rates(hotspot_options, per_second));
    ASSERT_FALSE(moves.empty());
    EXPECT_EQ(load_after(state, moves, per_second).begin()->first, target_id{"t2"});
}

/// Pattern: one key gets many times what any holder can serve. Moving it from holder to holder took it out of
/// service for half of the time and overloaded each of them in turn.
TEST(range_balance, a_key_that_no_holder_can_serve_stays_and_its_neighbours_leave) {
    const auto state = make_grantor(10, 10);
    auto per_second = std::map<shard_key, double>{{1000, 300.0}};
    for (auto key = shard_key{0}; key < last_shard_key; key += 655) {
        per_second[key] += 0.4;
    }
    for (auto step = 0; step < 3; ++step) {
        const auto moves = plan_moves(state, steady_rates(hotspot_options, per_second));
        EXPECT_FALSE(moves.empty());
        for (const auto& move : moves) {
            EXPECT_FALSE(move.first <= 1000 && 1000 <= move.last);
        }
    }
}

TEST(range_balance, a_range_of_one_key_that_no_holder_can_serve_stays) {
    auto state = make_grantor(4, 10);
    state.map.ranges = {state.map.ranges.front()};
    state.map.ranges.front().last = 0;
    EXPECT_TRUE(plan_moves(state, steady_rates(hotspot_options, {{0, 300.0}})).empty());
}

/// Pattern: the first seconds of a day, or after a change of controller. Uncorrected, the slow rates are too
/// low to show an overload until their time constant has passed.
TEST(range_balance, a_lasting_overload_is_found_soon_after_the_start) {
    const auto state = make_grantor(4, 20);
    auto rates = key_rates{.options = sustained_load_options};
    decay(rates, start);
    constexpr auto step = std::chrono::milliseconds{25};
    auto key = shard_key{0};
    for (auto now = start; now < start + std::chrono::milliseconds{1200}; now += step) {
        decay(rates, now);
        key = (key + 700) % 16000;
        add_requests(rates, key, 1); // 40 per second at one holder that bears 20.
    }
    decay(rates, start + std::chrono::milliseconds{1200});
    EXPECT_FALSE(plan_moves(state, rates).empty());
    const auto loads = range_loads(state.map, rates);
    EXPECT_NEAR(std::accumulate(loads.begin(), loads.end(), 0.0), 40.0, 8.0);
}

TEST(range_balance, random_variation_of_few_requests_moves_nothing) {
    const auto state = make_grantor(10, 10);
    auto per_second = std::map<shard_key, double>{};
    for (auto index = shard_key{0}; index < 10; ++index) {
        per_second[index * 6500] = index == 3 ? 8.0 : 4.0; // Within three standard deviations over a second.
    }
    EXPECT_TRUE(plan_moves(state, steady_rates(hotspot_options, per_second)).empty());
}

TEST(range_balance, keys_leave_a_slow_holder_under_lasting_load) {
    auto state = make_grantor(4, 20);
    state.holders.at(target_id{"t1"}).capacity = 8;
    auto per_second = std::map<shard_key, double>{};
    for (auto key = shard_key{0}; key < last_shard_key; key += 256) {
        per_second[key] = 0.04; // About ten per second for each of four holders.
    }
    const auto moves = plan_moves(state, steady_rates(sustained_load_options, per_second));
    const auto loads = load_after(state, moves, per_second);
    EXPECT_LT(loads.at(target_id{"t1"}), 8.0);
}

TEST(range_balance, a_new_holder_gets_keys) {
    auto state = make_grantor(4, 20);
    auto holders = state.holders;
    holders[target_id{"new"}] = {
        .incarnation = {.id = target_id{"new"}, .start_time_ms = 5}, .eligible = true, .capacity = 20};
    set_holders(state, holders);
    auto per_second = std::map<shard_key, double>{};
    for (auto key = shard_key{0}; key < last_shard_key; key += 256) {
        per_second[key] = 0.02;
    }
    const auto moves = plan_moves(state, steady_rates(sustained_load_options, per_second));
    EXPECT_GT(load_after(state, moves, per_second)[target_id{"new"}], 0.0);
}

} // namespace teaselcross::test
