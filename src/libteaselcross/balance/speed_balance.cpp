#include "balance/speed_balance.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace teaselcross {

namespace {

constexpr auto microseconds = 1e6;
/// Points of the marginal cost of a target, at equal steps of its utilisation.
constexpr auto step_count = std::size_t{19};
constexpr auto utilisation_step = 0.05;

/// Mean and scatter of the service times relative to the usual time of their target.
struct spread_moments {
    double weight = 0;
    double mean = 1;
    double squared_variation = 0; ///< Squared coefficient of variation.
};

auto moments(const service_time_spread& spread) -> spread_moments {
    auto weight = 0.0;
    auto first = 0.0;
    auto second = 0.0;
    for (std::size_t index = 0; index < spread.weight.size(); ++index) {
        const auto factor = service_time_spread::factor(index);
        weight += spread.weight[index];
        first += spread.weight[index] * factor;
        second += spread.weight[index] * factor * factor;
    }
    if (weight <= 0) {
        return {};
    }
    const auto mean = first / weight;
    return {.weight = weight,
            .mean = mean,
            .squared_variation = std::max(0.0, second / weight / (mean * mean) - 1.0)};
}

/// Probability that a request waits at @a slots servers with @a offered load in servers (Erlang C).
auto wait_probability(std::uint32_t slots, double offered) -> double {
    auto blocked = 1.0; // Erlang B, by its recursion over the number of servers.
    for (auto server = 1U; server <= slots; ++server) {
        blocked = offered * blocked / (server + offered * blocked);
    }
    const auto utilisation = offered / slots;
    return blocked / (1.0 - utilisation * (1.0 - blocked));
}

auto late_share(const service_time_spread& spread, const spread_moments& known, double usual_us,
                std::uint32_t slots, double objective_us, double rate) -> double {
    const auto mean_us = usual_us * known.mean;
    const auto offered = rate * mean_us / microseconds;
    if (offered >= slots) {
        return 1;
    }
    const auto waits = wait_probability(slots, offered);
    // Mean wait of those who wait, by the approximation of Allen and Cunneen; their waits are taken as
    // exponentially distributed.
    const auto mean_wait_us = mean_us / (slots - offered) * (1.0 + known.squared_variation) / 2;
    auto late = 0.0;
    for (std::size_t index = 0; index < spread.weight.size(); ++index) {
        if (spread.weight[index] > 0) {
            const auto left_us = objective_us - usual_us * service_time_spread::factor(index);
            late += spread.weight[index] * (left_us <= 0 ? 1.0 : waits * std::exp(-left_us / mean_wait_us));
        }
    }
    return known.weight > 0 ? late / known.weight : 0;
}

/// Marginal cost of a target's rate, at steps of its utilisation; rises with the rate.
struct marginal_cost {
    double capacity = 0; ///< In requests per second.
    std::array<double, step_count> cost{};
};

/// The utilisation at which the marginal cost reaches @a level.
auto utilisation_at(const marginal_cost& target, double level) -> double {
    const auto above = std::upper_bound(target.cost.begin(), target.cost.end(), level);
    const auto index = static_cast<std::size_t>(above - target.cost.begin());
    if (index == step_count) {
        return utilisation_step * step_count;
    }
    const auto before = index == 0 ? 0.0 : target.cost[index - 1];
    if (index == 0 && level <= before) {
        return 0;
    }
    const auto rise = target.cost[index] - before;
    const auto part = rise > 0 ? (level - before) / rise : 1.0;
    return utilisation_step * (static_cast<double>(index) + part);
}

auto make_marginal_cost(const service_speeds& speeds, const spread_moments& known, double usual_us,
                        std::uint32_t slots, double objective_us, double utilisation_cost) -> marginal_cost {
    auto made = marginal_cost{.capacity = slots * microseconds / (usual_us * known.mean)};
    auto before = 0.0;
    auto highest = 0.0;
    for (std::size_t index = 0; index < step_count; ++index) {
        const auto utilisation = utilisation_step * static_cast<double>(index + 1);
        const auto share =
            late_share(speeds.spread, known, usual_us, slots, objective_us, utilisation * made.capacity);
        const auto total = utilisation * share;
        const auto cost = (total - before) / utilisation_step + utilisation_cost * utilisation;
        before = total;
        highest = std::max(highest, cost);
        made.cost[index] = highest;
    }
    return made;
}

auto total_rate(const std::vector<marginal_cost>& targets, double level) -> double {
    return std::accumulate(targets.begin(), targets.end(), 0.0, [level](double sum, const auto& target) {
        return sum + target.capacity * utilisation_at(target, level);
    });
}

/// The marginal cost at which the targets get @a rate together.
auto level_for(const std::vector<marginal_cost>& targets, double rate) -> double {
    constexpr auto steps = 40;
    auto low = 0.0;
    auto high = 0.0;
    for (const auto& target : targets) {
        high = std::max(high, target.cost.back());
    }
    for (auto step = 0; step < steps; ++step) {
        const auto middle = (low + high) / 2;
        (total_rate(targets, middle) < rate ? low : high) = middle;
    }
    return high;
}

/// The largest factor between the usual time of a target and that of the service.
auto largest_difference(const service_speeds& speeds, const std::vector<serving_target>& targets,
                        double min_weight) -> double {
    auto largest = 1.0;
    for (const auto& target : targets) {
        const auto found = speeds.targets.find(target.id);
        if (found != speeds.targets.end() && found->second.weight >= min_weight) {
            const auto relative = relative_time(speeds, target.id);
            largest = std::max({largest, relative, 1.0 / relative});
        }
    }
    return largest;
}

} // namespace

auto late_share(const service_speeds& speeds, double usual_us, std::uint32_t slots, duration objective,
                double rate) -> double {
    return late_share(speeds.spread, moments(speeds.spread), usual_us, std::max(slots, 1U),
                      static_cast<double>(objective.count()), rate);
}

auto update_capacities(speed_balance& state, const service_speeds& speeds,
                       const std::vector<serving_target>& targets, duration objective, double rate,
                       instant now) -> void {
    const auto passed = now - state.updated;
    if (state.is_unequal && passed < state.options.interval) {
        return;
    }
    const auto& options = state.options;
    state.updated = now;
    const auto decay_factor =
        std::exp(-static_cast<double>(passed.count()) / static_cast<double>(options.peak_decay.count()));
    state.planned_rate = std::max(rate, state.planned_rate * decay_factor);
    const auto difference = largest_difference(speeds, targets, options.min_weight);
    state.is_unequal = objective > duration::zero() &&
                       difference >= (state.is_unequal ? options.end_difference : options.min_difference);
    state.capacities.clear();
    const auto known = moments(speeds.spread);
    if (!state.is_unequal || known.weight <= 0) {
        state.is_unequal = false;
        return;
    }
    auto costs = std::vector<marginal_cost>{};
    auto nominal = 0.0;
    for (const auto& target : targets) {
        const auto usual_us = usual_service_us(speeds) * relative_time(speeds, target.id);
        costs.push_back(make_marginal_cost(speeds, known, usual_us, std::max(target.slots, 1U),
                                           static_cast<double>(objective.count()), options.utilisation_cost));
        nominal += costs.back().capacity;
    }
    const auto planned =
        std::clamp(state.planned_rate, options.min_utilisation * nominal, options.max_utilisation * nominal);
    const auto level = level_for(costs, planned);
    const auto scale = nominal / std::max(total_rate(costs, level), 1e-6 * nominal);
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const auto own = costs[index].capacity;
        const auto share = utilisation_at(costs[index], level) * scale;
        state.capacities[targets[index].id] = {.nominal = own,
                                               .planned = own * std::max(share, options.min_capacity)};
    }
}

auto plan_moves(const range_grantor& state, const key_rates& rates, const speed_balance& placement)
    -> std::vector<planned_move> {
    if (!placement.is_unequal) {
        return plan_moves(state, rates);
    }
    auto options = rates.options;
    const auto holders = static_cast<double>(std::max<std::size_t>(state.holders.size(), 1));
    const auto highest = std::sqrt(2 * std::log(holders)); // Expected among so many normal deviations.
    options.significance += std::max(0.0, highest - placement.options.few_holders_significance);
    if (options.only_beyond_nominal) {
        return plan_moves(state, rates, options);
    }
    options.min_gain = placement.options.min_gain;
    auto moves = plan_moves(state, rates, options);
    const auto most = placement.options.max_moves + state.holders.size() / placement.options.holders_per_move;
    const auto moving =
        static_cast<std::size_t>(std::count_if(state.map.ranges.begin(), state.map.ranges.end(),
                                               [](const auto& range) { return range.is_moving(); }));
    // The plan begins with the most useful moves.
    moves.resize(std::min(moves.size(), most - std::min(most, moving)));
    return moves;
}

} // namespace teaselcross
