// Which ranges have to leave their holders, and for which ones.

#include "ownership/range_grantor_parts.h"

#include <algorithm>

namespace teaselcross {

namespace {

/// A holder that may be assigned more keys and answers its grants.
struct candidate {
    const key_holder* holder = nullptr;
    double load = 0; ///< In requests per second, with moving ranges counted at the next holder.
};

auto is_responsive(const range_grantor& state, const target_id& id) -> bool {
    const auto responses = state.responses.find(id);
    return responses == state.responses.end() || responses->second.consecutive_failures == 0;
}

auto find_candidates(const range_grantor& state, const std::vector<double>& load)
    -> std::map<target_id, candidate> {
    auto candidates = std::map<target_id, candidate>{};
    for (const auto& [id, holder] : state.holders) {
        if (holder.eligible && is_responsive(state, id)) {
            candidates[id] = {.holder = &holder};
        }
    }
    for (std::size_t index = 0; index < std::min(state.map.ranges.size(), load.size()); ++index) {
        const auto& range = state.map.ranges[index];
        const auto found = candidates.find(range.is_moving() ? range.next.id : range.holder.id);
        if (found != candidates.end()) {
            found->second.load += load[index];
        }
    }
    return candidates;
}

auto must_move(const range_grantor& state, const key_range& range) -> bool {
    const auto found = state.holders.find(range.holder.id);
    if (found == state.holders.end() || found->second.leaving ||
        found->second.incarnation.start_time_ms > range.holder.start_time_ms) {
        return true;
    }
    const auto responses = state.responses.find(range.holder.id);
    return responses != state.responses.end() &&
           responses->second.consecutive_failures >= state.options.max_unanswered_grants;
}

/// Whether the next holder went away before it was granted the keys, so that the move needs another one.
auto is_next_lost(const range_grantor& state, const key_range& range) -> bool {
    const auto found = state.holders.find(range.next.id);
    return found == state.holders.end() || found->second.incarnation != range.next || found->second.leaving;
}

/// The candidate with the lowest load relative to its capacity, apart from @a except.
auto least_loaded(const std::map<target_id, candidate>& candidates, const target_id& except)
    -> const key_holder* {
    constexpr auto min_capacity = 1e-6;
    const key_holder* best = nullptr;
    auto least = 0.0;
    for (const auto& [id, each] : candidates) {
        const auto relative = each.load / std::max(each.holder->capacity, min_capacity);
        if ((best == nullptr || relative < least) && id != except) {
            best = each.holder;
            least = relative;
        }
    }
    return best;
}

/// Selects the next holder of @a range. A restarted holder gets its own keys back while a delayed grant could
/// still make it hold them, or when no other holder can take them.
auto select_next_holder(const range_grantor& state, const key_range& range,
                        const std::map<target_id, candidate>& candidates, instant now) -> const key_holder* {
    const auto* other = least_loaded(candidates, range.holder.id);
    if (!has_newer_incarnation(state, range.holder)) {
        return other;
    }
    const auto is_certain =
        now >= state.moves_allowed_from && has_no_uncertain_grant(state, range.holder.id, all_keys, now);
    const auto& self = state.holders.at(range.holder.id);
    return (is_certain && other != nullptr) || self.leaving ? other : &self;
}

} // namespace

auto start_evictions(range_grantor& state, const std::vector<double>& load, instant now) -> void {
    constexpr auto min_load = 0.1;
    auto candidates = find_candidates(state, load);
    for (std::size_t index = 0; index < state.map.ranges.size(); ++index) {
        auto& range = state.map.ranges[index];
        const auto needs_next_holder =
            range.is_moving() ? is_next_lost(state, range) : must_move(state, range);
        if (!needs_next_holder || state.unrecorded_intents.contains(range.fence)) {
            continue;
        }
        const auto* to = select_next_holder(state, range, candidates, now);
        if (to == nullptr) {
            continue;
        }
        const auto chosen = candidates.find(to->incarnation.id);
        if (chosen != candidates.end()) {
            chosen->second.load += index < load.size() ? std::max(load[index], min_load) : min_load;
        }
        add_replaced_destination(state.former, range, progress_of(state, range).possible_holder,
                                 std::max(now, state.moves_allowed_from));
        set_next_holder(state, range, to->incarnation);
        progress_of(state, range).next_call_at = now;
    }
}

} // namespace teaselcross
