// Planned key moves: hotspots, slow and new holders, and no moves for random variation.

#include "balance/range_balance.h"

#include <gtest/gtest.h>

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
    on_written(state, *map, 1);
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
