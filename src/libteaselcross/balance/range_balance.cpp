#include "balance/range_balance.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace teaselcross {

namespace {

/// A range with its load, while moves are planned on it.
struct piece {
    shard_key first = 0;
    shard_key last = 0;
    target_id holder;
    double load = 0;
    bool fixed = false; ///< Moves already, or was just planned to.
};

struct plan {
    std::vector<piece> pieces;
    std::map<target_id, double> loads;
};

auto make_plan(const range_grantor& state, const key_rates& rates) -> plan {
    auto made = plan{};
    for (const auto& [id, holder] : state.holders) {
        if (!holder.leaving) {
            made.loads[id] = 0;
        }
    }
    const auto loads = range_loads(state.map, rates);
    for (std::size_t index = 0; index < state.map.ranges.size(); ++index) {
        const auto& range = state.map.ranges[index];
        const auto& holder = range.is_moving() ? range.next.id : range.holder.id;
        made.pieces.push_back({.first = range.first,
                               .last = range.last,
                               .holder = holder,
                               .load = loads[index],
                               .fixed = range.is_moving() || !is_served(state, index)});
        made.loads[holder] += loads[index];
    }
    return made;
}

auto relative_load(const range_grantor& state, const plan& made, const target_id& id) -> double {
    const auto holder = state.holders.find(id);
    const auto load = made.loads.find(id);
    if (holder == state.holders.end() || load == made.loads.end()) {
        return 0;
    }
    return load->second / std::max(holder->second.weight, 1e-6);
}

/// The relative load of @a id that is more than the luck of a few requests.
auto certain_load(const range_grantor& state, const plan& made, const target_id& id,
                  const balance_options& options) -> double {
    const auto load = made.loads.find(id);
    const auto holder = state.holders.find(id);
    if (load == made.loads.end() || holder == state.holders.end()) {
        return 0;
    }
    // An exponential memory has the variance of a plain count over twice its time constant.
    const auto seconds = 2.0 * std::chrono::duration<double>(options.memory).count();
    const auto deviation = std::sqrt(std::max(load->second, 0.0) / seconds);
    return (load->second - options.significance * deviation) / std::max(holder->second.weight, 1e-6);
}

auto holds_nothing(const plan& made, const target_id& id) -> bool {
    return std::none_of(made.pieces.begin(), made.pieces.end(),
                        [&id](const auto& each) { return each.holder == id; });
}

/// The eligible holder with the least relative load; one without keys goes first.
auto coolest(const range_grantor& state, const plan& made) -> const key_holder* {
    const key_holder* best = nullptr;
    auto least = 0.0;
    for (const auto& [id, holder] : state.holders) {
        const auto answers = state.answers.find(id);
        const auto silent = answers != state.answers.end() && answers->second.failures > 0;
        if (!holder.eligible || holder.leaving || silent) {
            continue;
        }
        const auto load = holds_nothing(made, id) ? -1.0 : relative_load(state, made, id);
        if (best == nullptr || load < least) {
            best = &holder;
            least = load;
        }
    }
    return best;
}

/// The movable piece with the most load at the holder with the most relative load.
auto hottest(const range_grantor& state, plan& made) -> piece* {
    piece* best = nullptr;
    auto most = 0.0;
    for (auto& each : made.pieces) {
        if (each.fixed) {
            continue;
        }
        const auto load = relative_load(state, made, each.holder);
        const auto better = best == nullptr || load > most || (load == most && each.load > best->load);
        if (better) {
            best = &each;
            most = load;
        }
    }
    return best;
}

/// The longest run of keys from one end of @a from whose load does not exceed @a wanted, never the whole
/// piece.
auto cut_end(const piece& from, const key_rates& rates, double wanted, bool front)
    -> std::pair<shard_key, double> {
    auto keys = shard_key{0};
    auto load = 0.0;
    const auto most = from.last - from.first;
    while (keys < most) {
        const auto next = rates.rate[front ? from.first + keys : from.last - keys];
        if (load + next > wanted) {
            break;
        }
        load += next;
        ++keys;
    }
    return {keys, load};
}

/// A planned cut: how many keys from which end, and their load.
struct cut {
    bool front = true;
    shard_key keys = 0;
    double load = 0;
};

auto best_cut(const piece& from, const key_rates& rates, double wanted) -> cut {
    const auto [front_keys, front_load] = cut_end(from, rates, wanted, true);
    const auto [back_keys, back_load] = cut_end(from, rates, wanted, false);
    if (front_load >= back_load) {
        return {.front = true, .keys = front_keys, .load = front_load};
    }
    return {.front = false, .keys = back_keys, .load = back_load};
}

auto weight_of(const range_grantor& state, const target_id& id) -> double {
    constexpr auto least_weight = 1e-6;
    const auto found = state.holders.find(id);
    return std::max(found == state.holders.end() ? 1.0 : found->second.weight, least_weight);
}

/// Takes the keys of @a taken off @a from and books them for @a to.
auto book(plan& made, piece& from, const cut& taken, const key_holder& to) -> planned_move {
    auto moved = piece{.holder = to.life.id, .load = taken.load, .fixed = true};
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
    made.loads[from.holder] -= taken.load;
    made.loads[to.life.id] += taken.load;
    made.pieces.push_back(moved);
    return {.first = moved.first, .last = moved.last, .to = to.life};
}

/// A piece that cannot be cut, such as one hot key, goes whole to the holder that would bear it best, if that
/// is clearly better than where it is.
auto move_whole(const range_grantor& state, plan& made, piece& from, double gain)
    -> std::optional<planned_move> {
    const key_holder* best = nullptr;
    auto least = relative_load(state, made, from.holder) - gain;
    for (const auto& [id, holder] : state.holders) {
        const auto answers = state.answers.find(id);
        const auto silent = answers != state.answers.end() && answers->second.failures > 0;
        if (!holder.eligible || holder.leaving || silent || id == from.holder) {
            continue;
        }
        const auto after = (made.loads[id] + from.load) / weight_of(state, id);
        if (after < least) {
            best = &holder;
            least = after;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    from.fixed = true;
    made.loads[from.holder] -= from.load;
    made.loads[best->life.id] += from.load;
    from.holder = best->life.id;
    return planned_move{.first = from.first, .last = from.last, .to = best->life};
}

} // namespace

auto fade(key_rates& rates, instant now) -> void {
    const auto passed = static_cast<double>((now - rates.updated).count());
    const auto memory = static_cast<double>(rates.options.memory.count());
    const auto factor = static_cast<float>(std::exp(-passed / memory));
    for (auto& rate : rates.rate) {
        rate *= factor;
    }
    rates.updated = now;
}

auto add_requests(key_rates& rates, shard_key key, std::uint32_t count) -> void {
    if (key > last_shard_key) {
        return;
    }
    if (rates.since == instant{}) {
        rates.since = rates.updated;
    }
    const auto memory = std::chrono::duration<float>(rates.options.memory).count();
    rates.rate[key] += static_cast<float>(count) / memory;
}

auto range_loads(const key_map& map, const key_rates& rates) -> std::vector<double> {
    auto loads = std::vector<double>{};
    loads.reserve(map.ranges.size());
    for (const auto& range : map.ranges) {
        const auto begin = rates.rate.begin() + static_cast<std::ptrdiff_t>(range.first);
        const auto end = rates.rate.begin() + static_cast<std::ptrdiff_t>(range.last) + 1;
        loads.push_back(std::accumulate(begin, end, 0.0));
    }
    return loads;
}
auto plan_moves(const range_grantor& state, const key_rates& rates) -> std::vector<planned_move> {
    const auto& options = rates.options;
    auto moves = std::vector<planned_move>{};
    if (rates.since == instant{} || rates.updated - rates.since < options.memory / 2) {
        return moves; // Too early to tell one holder's share from another's.
    }
    auto made = make_plan(state, rates);
    const auto most_ranges = options.ranges_per_holder * std::max<std::size_t>(state.holders.size(), 1);
    const auto most_moves = options.moves_at_once + state.holders.size() / options.holders_per_move;
    while (moves.size() < most_moves && made.pieces.size() < most_ranges) {
        auto* from = hottest(state, made);
        const auto* to = coolest(state, made);
        if (from == nullptr || to == nullptr || from->holder == to->life.id) {
            break;
        }
        const auto empty = holds_nothing(made, to->life.id);
        const auto high = certain_load(state, made, from->holder, options);
        const auto low = relative_load(state, made, to->life.id);
        if (!empty && (high < options.overload || high - low < options.least_gain)) {
            break;
        }
        const auto weight_from = weight_of(state, from->holder);
        const auto weight_to = weight_of(state, to->life.id);
        const auto even = (made.loads[from->holder] * weight_to - made.loads[to->life.id] * weight_from) /
                          (weight_from + weight_to);
        // No more than it bears: a piece that moves now cannot be divided again at once.
        const auto room = options.overload * weight_to - made.loads[to->life.id];
        const auto wanted = std::min(even, std::max(room, even / 4));
        const auto taken = best_cut(*from, rates, wanted);
        const auto least_load =
            options.least_gain * weight_to / 8; // A smaller piece is not worth its renewals.
        if (taken.keys > 0 && (empty || taken.load >= least_load)) {
            moves.push_back(book(made, *from, taken, *to));
        } else if (const auto whole = move_whole(state, made, *from, options.least_gain)) {
            moves.push_back(*whole);
        } else {
            from->fixed = true;
        }
    }
    return moves;
}

} // namespace teaselcross
