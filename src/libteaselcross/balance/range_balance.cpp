#include "balance/range_balance.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <optional>

namespace teaselcross {

namespace {

/// Counts over less time say too little to compare holders.
constexpr auto min_counted_time = duration{std::chrono::milliseconds{600}};

/// A key that no holder can serve moves only if its relative load falls to this: a move takes it out of
/// service for as long as the requests that are running.
constexpr auto useful_reduction = 0.75;

/// A holder with its load during planning.
struct planned_holder {
    const key_holder* known = nullptr; ///< Null if it is not listed any more.
    bool can_receive = false;          ///< May be given more keys.
    double load = 0;
    std::size_t ranges = 0;
};

/// A range with its load during planning.
struct planned_range {
    shard_key first = 0;
    shard_key last = 0;
    planned_holder* holder = nullptr;
    double load = 0;
    bool fixed = false; ///< Must not be moved: not served, already moving, or already planned to move.
};

struct move_plan {
    /// Length of a plain count with the same random variation as the rates.
    double counted_seconds = 1;
    double correction = 1; ///< Of the rates of single keys.
    std::vector<planned_range> ranges;
    std::map<target_id, planned_holder> holders;
};

/// The fraction of the weight of an endless history that has been counted since the first request.
auto counted_fraction(const key_rates& rates) -> double {
    const auto passed = static_cast<double>((rates.updated - rates.first_request).count());
    return 1.0 - std::exp(-passed / static_cast<double>(rates.options.time_constant.count()));
}

/// An exponentially decayed rate has the variance of a plain count over twice the time constant, and less
/// soon after the start.
auto counted_seconds(const key_rates& rates) -> double {
    const auto fraction = counted_fraction(rates);
    return 2.0 * std::chrono::duration<double>(rates.options.time_constant).count() * fraction /
           (2.0 - fraction);
}

auto is_responsive(const range_grantor& state, const target_id& id) -> bool {
    const auto answers = state.responses.find(id);
    return answers == state.responses.end() || answers->second.consecutive_failures == 0;
}

auto make_plan(const range_grantor& state, const key_rates& rates) -> move_plan {
    auto plan = move_plan{.counted_seconds = counted_seconds(rates), .correction = start_correction(rates)};
    for (const auto& [id, holder] : state.holders) {
        plan.holders[id] = {.known = &holder,
                            .can_receive = holder.eligible && !holder.leaving && is_responsive(state, id)};
    }
    const auto loads = range_loads(state.map, rates);
    for (std::size_t index = 0; index < state.map.ranges.size(); ++index) {
        const auto& range = state.map.ranges[index];
        auto& holder = plan.holders[range.is_moving() ? range.next.id : range.holder.id];
        plan.ranges.push_back({.first = range.first,
                               .last = range.last,
                               .holder = &holder,
                               .load = loads[index],
                               .fixed = range.is_moving() || !is_served(state, index)});
        holder.load += loads[index];
        ++holder.ranges;
    }
    return plan;
}

auto capacity_of(const planned_holder& holder) -> double {
    constexpr auto min_capacity = 1e-6;
    return holder.known == nullptr ? 1.0 : std::max(holder.known->capacity, min_capacity);
}

auto relative_load(const planned_holder& holder) -> double {
    return holder.known == nullptr ? 0 : holder.load / capacity_of(holder);
}

/// The relative load of @a holder, reduced by the random variation of its request rate.
auto significant_load(const move_plan& plan, const planned_holder& holder, const balance_options& options)
    -> double {
    if (holder.known == nullptr) {
        return 0;
    }
    const auto deviation = std::sqrt(std::max(holder.load, 0.0) / plan.counted_seconds);
    const auto significance =
        options.significance + options.start_significance * (1.0 - 1.0 / plan.correction);
    return (holder.load - significance * deviation) / capacity_of(holder);
}

/// The holder with the lowest relative load that may receive keys; one without keys comes first.
auto least_loaded_holder(move_plan& plan) -> planned_holder* {
    planned_holder* best = nullptr;
    auto least = 0.0;
    for (auto& [id, holder] : plan.holders) {
        const auto load = holder.ranges == 0 ? -1.0 : relative_load(holder);
        if (holder.can_receive && (best == nullptr || load < least)) {
            best = &holder;
            least = load;
        }
    }
    return best;
}

/// The movable range with the highest load at the holder with the highest relative load.
auto hottest_range(move_plan& plan) -> planned_range* {
    planned_range* best = nullptr;
    auto most = 0.0;
    for (auto& each : plan.ranges) {
        if (each.fixed) {
            continue;
        }
        const auto load = relative_load(*each.holder);
        const auto better = best == nullptr || load > most || (load == most && each.load > best->load);
        if (better) {
            best = &each;
            most = load;
        }
    }
    return best;
}

/// The longest run of keys from one end of @a from whose load does not exceed @a wanted, but never the whole
/// range.
auto cut_end(const planned_range& from, const key_rates& rates, double correction, double wanted, bool front)
    -> std::pair<shard_key, double> {
    auto keys = shard_key{0};
    auto load = 0.0;
    const auto most = from.last - from.first;
    while (keys < most) {
        const auto next = correction * rates.rate[front ? from.first + keys : from.last - keys];
        if (load + next > wanted) {
            break;
        }
        load += next;
        ++keys;
    }
    return {keys, load};
}

/// Keys to split off a range: how many, from which end, and their load.
struct cut {
    bool front = true;
    shard_key keys = 0;
    double load = 0;
};

/// The cut at the end of @a from that takes more load, up to @a wanted.
auto best_cut(const planned_range& from, const key_rates& rates, double correction, double wanted) -> cut {
    const auto [front_keys, front_load] = cut_end(from, rates, correction, wanted, true);
    const auto [back_keys, back_load] = cut_end(from, rates, correction, wanted, false);
    if (front_load >= back_load) {
        return {.front = true, .keys = front_keys, .load = front_load};
    }
    return {.front = false, .keys = back_keys, .load = back_load};
}

/// Splits the keys of @a taken off @a from and assigns them to @a to in the plan.
auto apply_cut(move_plan& plan, planned_range& from, const cut& taken, planned_holder& to) -> planned_move {
    auto moved = planned_range{.holder = &to, .load = taken.load, .fixed = true};
    if (taken.front) {
        moved.first = from.first;
        moved.last = from.first + taken.keys - 1;
        from.first += taken.keys;
    } else {
        moved.first = from.last - taken.keys + 1;
        moved.last = from.last;
        from.last -= taken.keys;
    }
    from.load -= taken.load;
    from.holder->load -= taken.load;
    to.load += taken.load;
    ++to.ranges;
    plan.ranges.push_back(moved);
    return {.first = moved.first, .last = moved.last, .to = to.known->incarnation};
}

/// Moves a range that cannot be split, such as one hot key, to the holder whose relative load would be lowest
/// with it, if that is lower than its present holder's by more than @a gain and the move helps: the new
/// holder can serve it, or has at least twice the capacity left for it.
auto move_whole_range(move_plan& plan, planned_range& from, double gain) -> std::optional<planned_move> {
    planned_holder* best = nullptr;
    const auto before = relative_load(*from.holder);
    auto least = std::min(before - gain, std::max(1.0, before * useful_reduction));
    for (auto& [id, holder] : plan.holders) {
        if (!holder.can_receive || &holder == from.holder) {
            continue;
        }
        const auto after = (holder.load + from.load) / capacity_of(holder);
        if (after < least) {
            best = &holder;
            least = after;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    from.fixed = true;
    from.holder->load -= from.load;
    --from.holder->ranges;
    best->load += from.load;
    ++best->ranges;
    from.holder = best;
    return planned_move{.first = from.first, .last = from.last, .to = best->known->incarnation};
}

} // namespace

auto decay(key_rates& rates, instant now) -> void {
    const auto passed = static_cast<double>((now - rates.updated).count());
    const auto time_constant = static_cast<double>(rates.options.time_constant.count());
    const auto factor = static_cast<float>(std::exp(-passed / time_constant));
    for (auto& rate : rates.rate) {
        rate *= factor;
    }
    rates.updated = now;
}

auto add_requests(key_rates& rates, shard_key key, std::uint32_t count) -> void {
    if (key > last_shard_key) {
        return;
    }
    if (rates.first_request == instant{}) {
        rates.first_request = rates.updated;
    }
    const auto time_constant = std::chrono::duration<float>(rates.options.time_constant).count();
    rates.rate[key] += static_cast<float>(count) / time_constant;
}

auto start_correction(const key_rates& rates) -> double {
    constexpr auto max_correction = 20.0; // A rate over a twentieth of the time constant means nothing.
    if (rates.first_request == instant{}) {
        return 1.0;
    }
    return 1.0 / std::max(counted_fraction(rates), 1.0 / max_correction);
}

auto range_loads(const key_map& map, const key_rates& rates) -> std::vector<double> {
    auto loads = std::vector<double>{};
    loads.reserve(map.ranges.size());
    const auto correction = start_correction(rates);
    for (const auto& range : map.ranges) {
        const auto begin = rates.rate.begin() + static_cast<std::ptrdiff_t>(range.first);
        const auto end = rates.rate.begin() + static_cast<std::ptrdiff_t>(range.last) + 1;
        loads.push_back(correction * std::accumulate(begin, end, 0.0));
    }
    return loads;
}

auto plan_moves(const range_grantor& state, const key_rates& rates) -> std::vector<planned_move> {
    const auto& options = rates.options;
    auto moves = std::vector<planned_move>{};
    if (rates.first_request == instant{} || rates.updated - rates.first_request < min_counted_time) {
        return moves; // Too little data to compare holders.
    }
    auto plan = make_plan(state, rates);
    const auto max_ranges = options.max_ranges_per_holder * std::max<std::size_t>(state.holders.size(), 1);
    const auto max_moves = options.max_concurrent_moves + state.holders.size() / options.holders_per_move;
    while (moves.size() < max_moves && plan.ranges.size() < max_ranges) {
        auto* from = hottest_range(plan);
        auto* to = least_loaded_holder(plan);
        if (from == nullptr || to == nullptr || from->holder == to) {
            break;
        }
        auto& source = *from->holder;
        const auto empty = to->ranges == 0;
        const auto high = significant_load(plan, source, options);
        const auto low = relative_load(*to);
        if (!empty && (high < options.overload_threshold || high - low < options.min_gain)) {
            break;
        }
        const auto weight_from = capacity_of(source);
        const auto weight_to = capacity_of(*to);
        const auto even = (source.load * weight_to - to->load * weight_from) / (weight_from + weight_to);
        // Limited by the receiver's capacity: a moving range cannot be split again until the move ends.
        const auto spare_capacity = options.overload_threshold * weight_to - to->load;
        const auto wanted = std::min(even, std::max(spare_capacity, even / 4));
        const auto taken = best_cut(*from, rates, plan.correction, wanted);
        const auto min_load = options.min_gain * weight_to / 8; // A smaller range is not worth its renewals.
        if (taken.keys > 0 && (empty || taken.load >= min_load)) {
            moves.push_back(apply_cut(plan, *from, taken, *to));
        } else if (const auto whole = move_whole_range(plan, *from, options.min_gain)) {
            moves.push_back(*whole);
        } else {
            from->fixed = true;
        }
    }
    return moves;
}

} // namespace teaselcross
