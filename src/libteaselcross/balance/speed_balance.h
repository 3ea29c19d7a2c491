#pragma once

// What each holder should get of a service's load so that the fewest answers come after their objective.
//
// At equal utilisation a slow target answers late whenever it is slower than usual for a moment, while a fast
// one would still answer in time. The expected late answers of each target are a convex function of its rate,
// so their sum is least where all targets have the same marginal cost. plan_moves() then levels the loads
// relative to these capacities instead of those of the slots.

#include "balance/range_balance.h"
#include "balance/target_speeds.h"

#include <vector>

namespace teaselcross {

struct speed_balance_options {
    duration interval = std::chrono::seconds{2}; ///< Between two calculations of unequal capacities.
    /// Difference of usual times, as a factor, from which on targets count as unequal, and below which they
    /// are equal again.
    double min_difference = 1.15;
    double end_difference = 1.08;
    double min_weight = 8; ///< Samples of a target without which it counts as equal to the others.
    /// Cost of a busy target relative to that of a late answer, which keeps utilisations alike where they
    /// make no difference to answers.
    double utilisation_cost = 0.05;
    /// Least capacity relative to that of the slots: a holder without keys would be given some again.
    double min_capacity = 0.25;
    /// Time constant of the decay of the planned load below its peak, so that capacities do not follow each
    /// swing of the demand.
    duration peak_decay = std::chrono::seconds{60};
    /// Bounds of the planned load, as a part of all capacity.
    double min_utilisation = 0.1;
    double max_utilisation = 0.9;
    /// Moves in progress at once for lasting loads while targets are unequal: a few, and one more per this
    /// many holders.
    std::size_t max_moves = 4;
    std::size_t holders_per_move = 25;
    /// Significance that is enough for a few holders. While targets are unequal, that of loads rises by what
    /// the highest of many random deviations exceeds it: random variation would always show one holder that
    /// bears too much.
    double few_holders_significance = 1.6;
    /// Minimum difference of relative loads for a move for lasting loads while targets are unequal. At high
    /// loads a slow target needs little more than its part to be late.
    double min_gain = 0.1;
};

/// A target as a server of requests.
struct serving_target {
    target_id id;
    std::uint32_t slots = 1;
};

/// Capacity of a holder, in requests per second.
struct holder_capacity {
    double nominal = 0; ///< Of its slots.
    double planned = 0; ///< For the placement of keys.
};

/// Not thread safe.
struct speed_balance {
    speed_balance_options options;
    bool is_unequal = false; ///< Targets differ; otherwise there are no capacities.
    double planned_rate = 0; ///< Requests per second.
    instant updated{};
    std::map<target_id, holder_capacity> capacities;
};

/// The expected share of late answers of a target of @a speeds with usual time @a usual_us and @a slots at
/// @a rate requests per second. Thread safe if @a speeds is not modified.
auto late_share(const service_speeds& speeds, double usual_us, std::uint32_t slots, duration objective,
                double rate) -> double;

/// Calculates the capacities of @a targets for a service that gets @a rate requests per second with
/// @a objective, unless the last unequal ones are newer than the interval. @a objective: zero if it is
/// unknown; targets then count as equal.
auto update_capacities(speed_balance& state, const service_speeds& speeds,
                       const std::vector<serving_target>& targets, duration objective, double rate,
                       instant now) -> void;

/// Plans the moves to start now. While targets are equal, by @a rates alone; otherwise by the planned
/// capacities, with more significant loads, and few at a time for lasting loads. Thread safe if the arguments
/// are not modified.
auto plan_moves(const range_grantor& state, const key_rates& rates, const speed_balance& placement)
    -> std::vector<planned_move>;

} // namespace teaselcross
