#include "ownership/range_grantor.h"

#include <algorithm>
#include <cmath>

namespace teaselcross {

namespace {

/// How long a grant may hold by the slowest clock, counted from its arrival.
auto longest_hold(const grantor_options& options) -> duration {
    const auto slack =
        duration{static_cast<duration::rep>(static_cast<double>(options.hold.count()) * options.clock_error)};
    return options.hold + slack + options.margin;
}

auto progress_of(range_grantor& state, const key_range& range) -> range_progress& {
    return state.progress[range.fence][range.first];
}

auto has_other_life(const range_grantor& state, const target_incarnation& life) -> bool {
    const auto found = state.holders.find(life.id);
    return found != state.holders.end() && found->second.life.start_time_ms > life.start_time_ms;
}

/// Whether no unanswered grant can still take effect at @a holder.
auto is_certain(const range_grantor& state, const target_id& holder, instant now) -> bool {
    const auto answers = state.answers.find(holder);
    return answers == state.answers.end() || now >= answers->second.uncertain_until;
}

/// Whether nothing that was sent to the holder of @a range can make it hold the keys any more.
auto is_free(const range_grantor& state, const key_range& range, const range_progress& progress, instant now)
    -> bool {
    const auto other_promise = !progress.promised.id.empty() && progress.promised != range.next;
    if (range.next.id == range.holder.id && !other_promise) {
        return true;
    }
    if (now < state.moves_from || progress.call_pending) {
        return false;
    }
    if (now >= progress.may_hold_until) {
        return true;
    }
    if (other_promise) {
        return false; // A release proves nothing about the one that may hold the keys beside the holder.
    }
    const auto gave_up = progress.released || has_other_life(state, range.holder);
    return gave_up && is_certain(state, range.holder.id, now);
}

/// The keys go to the next holder: from here on it may hold them.
auto hand_on(range_grantor& state, key_range& range, instant now) -> void {
    auto handover = std::move(progress_of(state, range).handover);
    state.progress[range.fence].erase(range.first);
    if (state.progress[range.fence].empty()) {
        state.progress.erase(range.fence);
    }
    range.holder = range.next;
    range.fence = range.next_fence;
    range.next = {};
    range.next_fence = 0;
    progress_of(state, range) = {.may_hold_until = now, .next_call = now, .handover = std::move(handover)};
}

auto order_for(const range_grantor& state, const key_range& range, order_kind kind,
               const range_progress& progress) -> key_order {
    return {.kind = kind,
            .to = range.holder,
            .first = range.first,
            .last = range.last,
            .fence = range.fence,
            .hold = state.options.hold,
            .handover = kind == order_kind::grant ? progress.handover : std::string{}};
}

auto intent_recorded(const range_grantor& state, const key_range& range) -> bool {
    return !state.intents.contains(range.next_fence);
}

/// The order that @a range needs now, if any.
auto due_order(range_grantor& state, key_range& range, instant now) -> std::optional<key_order> {
    if (range.is_moving() && intent_recorded(state, range) &&
        is_free(state, range, progress_of(state, range), now)) {
        hand_on(state, range, now);
    }
    auto& progress = progress_of(state, range);
    if (progress.call_pending || now < progress.next_call) {
        return std::nullopt;
    }
    const auto listed = state.holders.contains(range.holder.id) && !has_other_life(state, range.holder);
    const auto released_now = range.is_moving() && intent_recorded(state, range);
    if (released_now && (progress.released || !listed)) {
        return std::nullopt;
    }
    if (!listed) {
        return std::nullopt;
    }
    if (!released_now && progress.given_up) {
        return std::nullopt; // The move was given another end, whose intent is not recorded yet.
    }
    progress.call_pending = true;
    if (released_now) {
        progress.given_up = true;
        return order_for(state, range, order_kind::release, progress);
    }
    // Once it is sent, the holder may hold the keys as long as if it arrived last.
    progress.held_before_call = progress.may_hold_until;
    progress.may_hold_until =
        std::max(progress.may_hold_until, now + state.options.call_timeout + longest_hold(state.options));
    return order_for(state, range, order_kind::grant, progress);
}

auto find_index(const range_grantor& state, shard_key key) -> std::size_t {
    const auto* found = find_range(state.map, key);
    return found == nullptr ? state.map.ranges.size()
                            : static_cast<std::size_t>(found - state.map.ranges.data());
}

/// Cuts the range at @a index before @a key. Both parts keep the holder and the fence.
auto split_before(range_grantor& state, std::size_t index, shard_key key) -> void {
    auto& whole = state.map.ranges[index];
    if (whole.first >= key) {
        return;
    }
    const auto progress = progress_of(state, whole);
    auto rest = whole;
    rest.first = key;
    whole.last = key - 1;
    progress_of(state, rest) = progress;
    state.map.ranges.insert(state.map.ranges.begin() + static_cast<std::ptrdiff_t>(index) + 1, rest);
}

/// Load of each eligible holder in units of what it bears.
auto holder_loads(const range_grantor& state, const std::vector<double>& load)
    -> std::map<target_id, double> {
    auto loads = std::map<target_id, double>{};
    for (const auto& [id, holder] : state.holders) {
        if (holder.eligible) {
            loads[id] = 0;
        }
    }
    for (std::size_t index = 0; index < state.map.ranges.size(); ++index) {
        const auto& range = state.map.ranges[index];
        const auto found = loads.find(range.is_moving() ? range.next.id : range.holder.id);
        if (found != loads.end()) {
            found->second += index < load.size() ? load[index] : 0;
        }
    }
    return loads;
}

auto must_leave(const range_grantor& state, const key_range& range) -> bool {
    const auto found = state.holders.find(range.holder.id);
    if (found == state.holders.end() || found->second.leaving ||
        found->second.life.start_time_ms > range.holder.start_time_ms) {
        return true;
    }
    const auto answers = state.answers.find(range.holder.id);
    return answers != state.answers.end() && answers->second.failures >= state.options.failures_until_lost;
}

/// A move whose next holder went away before it was handed the keys gets another next holder.
auto next_is_lost(const range_grantor& state, const key_range& range) -> bool {
    const auto found = state.holders.find(range.next.id);
    return found == state.holders.end() || found->second.life != range.next || found->second.leaving;
}

auto least_loaded(const range_grantor& state, const std::map<target_id, double>& loads,
                  const target_id& except) -> const key_holder* {
    const key_holder* best = nullptr;
    auto least = 0.0;
    for (const auto& [id, load] : loads) {
        const auto& holder = state.holders.at(id);
        const auto answers = state.answers.find(id);
        const auto silent = answers != state.answers.end() && answers->second.failures > 0;
        const auto relative = load / std::max(holder.weight, 1e-6);
        if (id != except && !silent && (best == nullptr || relative < least)) {
            best = &holder;
            least = relative;
        }
    }
    return best;
}

/// Who gets the keys of @a range. A holder that was born again gets its own keys back while a late grant
/// could still make it hold them, or when nobody else can take them.
auto new_holder(const range_grantor& state, const key_range& range, const std::map<target_id, double>& loads,
                instant now) -> const key_holder* {
    const auto reborn = has_other_life(state, range.holder);
    const auto certain = now >= state.moves_from && is_certain(state, range.holder.id, now);
    const auto* other = least_loaded(state, loads, range.holder.id);
    if (reborn && (!certain || other == nullptr)) {
        const auto& self = state.holders.at(range.holder.id);
        return self.leaving ? other : &self;
    }
    return other;
}

auto set_next(range_grantor& state, key_range& range, const target_incarnation& to) -> void {
    range.next = to;
    range.next_fence = ++state.map.fences_used;
    state.intents.insert(range.next_fence);
    state.changed = true;
}

} // namespace

auto take_over(range_grantor& state, key_map map, instant moves_from, instant now) -> void {
    state.map = std::move(map);
    state.moves_from = moves_from;
    state.progress.clear();
    state.intents.clear();
    state.answers.clear();
    state.changed = !state.map.ranges.empty();
    state.writing = false;
    state.owns_record = false;
    for (const auto& range : state.map.ranges) {
        progress_of(state,
                    range) = {.may_hold_until = std::max(moves_from, now + longest_hold(state.options)),
                              .next_call = now,
                              .given_up = range.is_moving(),
                              .promised = range.next};
    }
}

auto set_holders(range_grantor& state, std::map<target_id, key_holder> holders) -> void {
    for (const auto& [id, holder] : holders) {
        const auto known = state.holders.find(id);
        if (known == state.holders.end() || known->second.life != holder.life) {
            state.answers[id].failures = 0;
        }
    }
    state.holders = std::move(holders);
}

auto assign_first(range_grantor& state) -> bool {
    auto total = 0.0;
    for (const auto& [id, holder] : state.holders) {
        total += holder.eligible ? holder.weight : 0;
    }
    if (total <= 0) {
        return false;
    }
    auto share = 0.0;
    auto first = shard_key{0};
    for (const auto& [id, holder] : state.holders) {
        if (!holder.eligible) {
            continue;
        }
        share += holder.weight / total;
        const auto end = std::min<shard_key>(
            last_shard_key + 1, static_cast<shard_key>(std::lround(share * (last_shard_key + 1))));
        if (end > first) {
            state.map.ranges.push_back(
                {.first = first, .last = end - 1, .fence = ++state.map.fences_used, .holder = holder.life});
            first = end;
        }
    }
    state.map.ranges.back().last = last_shard_key;
    for (const auto& range : state.map.ranges) {
        // Nothing is granted before the record is known to be in the store.
        state.intents.insert(range.fence);
        progress_of(state, range) = {};
    }
    state.changed = true;
    return true;
}

auto start_move(range_grantor& state, shard_key first, shard_key last, const target_incarnation& to) -> void {
    auto index = find_index(state, first);
    if (index >= state.map.ranges.size() || state.map.ranges[index].is_moving() ||
        state.map.ranges[index].last < last) {
        return;
    }
    if (state.map.ranges[index].first < first) {
        split_before(state, index, first);
        ++index;
    }
    split_before(state, index, last + 1 > state.map.ranges[index].last ? 0 : last + 1);
    set_next(state, state.map.ranges[index], to);
}

auto evict_holders(range_grantor& state, const std::vector<double>& load, instant now) -> void {
    auto loads = holder_loads(state, load);
    for (std::size_t index = 0; index < state.map.ranges.size(); ++index) {
        auto& range = state.map.ranges[index];
        const auto needs_next = range.is_moving() ? next_is_lost(state, range) : must_leave(state, range);
        if (!needs_next || state.intents.contains(range.fence)) {
            continue;
        }
        const auto* to = new_holder(state, range, loads, now);
        if (to == nullptr) {
            continue;
        }
        loads[to->life.id] += index < load.size() ? std::max(load[index], 0.1) : 0.1;
        set_next(state, range, to->life);
        progress_of(state, range).next_call = now;
    }
}

auto due_orders(range_grantor& state, instant now) -> std::vector<key_order> {
    auto orders = std::vector<key_order>{};
    if (!state.owns_record) {
        return orders;
    }
    for (auto& range : state.map.ranges) {
        if (state.intents.contains(range.fence)) {
            continue;
        }
        if (auto order = due_order(state, range, now)) {
            orders.push_back(std::move(*order));
        }
    }
    return orders;
}

auto on_order_ended(range_grantor& state, const key_order& order, order_result result,
                    const std::string& handover, instant sent, instant now) -> void {
    auto& holder = state.answers[order.to.id];
    const auto& options = state.options;
    if (order.kind == order_kind::grant) {
        const auto good = result == order_result::done;
        holder.failures = good ? 0 : holder.failures + (result == order_result::refused ? 0 : 1);
        if (result == order_result::unanswered) {
            holder.uncertain_until =
                std::max(holder.uncertain_until, sent + options.call_timeout + longest_hold(options));
        }
    }
    // The range may have been split since; each part of it takes the result.
    for (auto& range : state.map.ranges) {
        if (range.fence != order.fence || range.first < order.first || range.last > order.last) {
            continue;
        }
        auto& progress = progress_of(state, range);
        progress.call_pending = false;
        if (order.kind == order_kind::release) {
            progress.released = result == order_result::done;
            progress.handover = result == order_result::done ? handover : std::string{};
            progress.next_call = now + options.retry;
            continue;
        }
        if (result == order_result::not_sent) {
            progress.may_hold_until = progress.held_before_call;
        }
        if (result == order_result::done) {
            progress.may_hold_until =
                std::max(progress.may_hold_until - options.call_timeout, now + longest_hold(options));
            state.changed = state.changed || !progress.confirmed;
            progress.confirmed = true;
            progress.next_call = range.is_moving() ? now : sent + options.renewal;
        } else if (result == order_result::refused && !range.is_moving()) {
            // The holder has seen a higher fence on some of the keys: only a new one helps.
            set_next(state, range, range.holder);
            progress.next_call = now;
        } else {
            progress.next_call = now + options.retry;
        }
    }
}

auto next_write(range_grantor& state) -> std::optional<key_map> {
    if (!state.changed || state.writing) {
        return std::nullopt;
    }
    state.changed = false;
    state.writing = true;
    return state.map;
}

auto on_written(range_grantor& state, const key_map& written, std::uint64_t revision) -> void {
    state.writing = false;
    state.owns_record = true;
    state.map.revision = revision;
    for (const auto& range : written.ranges) {
        state.intents.erase(range.is_moving() ? range.next_fence : range.fence);
    }
}

auto is_served(const range_grantor& state, std::size_t index) -> bool {
    const auto& range = state.map.ranges[index];
    const auto by_fence = state.progress.find(range.fence);
    if (range.is_moving() || by_fence == state.progress.end()) {
        return false;
    }
    const auto found = by_fence->second.find(range.first);
    return found != by_fence->second.end() && found->second.confirmed;
}

} // namespace teaselcross
