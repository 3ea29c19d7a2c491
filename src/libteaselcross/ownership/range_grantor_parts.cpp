#include "ownership/range_grantor_parts.h"

#include <algorithm>

namespace teaselcross {

auto longest_term(const range_grantor_options& options) -> duration {
    const auto slack = duration{
        static_cast<duration::rep>(static_cast<double>(options.grant_term.count()) * options.clock_drift)};
    return options.grant_term + slack + options.margin;
}

auto has_overdue_grant(const range_grantor& state, const target_id& holder, const key_span& keys, instant now)
    -> bool {
    const auto listed = state.holders.find(holder);
    const auto present =
        listed != state.holders.end() ? std::optional{listed->second.incarnation} : std::nullopt;
    return has_uncertain_grant(state.overdue, holder, keys, present, longest_term(state.options), now);
}

auto has_no_uncertain_grant(const range_grantor& state, const target_id& holder, const key_span& keys,
                            instant now) -> bool {
    const auto responses = state.responses.find(holder);
    return !has_overdue_grant(state, holder, keys, now) &&
           (responses == state.responses.end() || now >= responses->second.uncertain_until);
}

auto has_newer_incarnation(const range_grantor& state, const target_incarnation& incarnation) -> bool {
    const auto found = state.holders.find(incarnation.id);
    return found != state.holders.end() &&
           found->second.incarnation.start_time_ms > incarnation.start_time_ms;
}

auto progress_of(range_grantor& state, const key_range& range) -> range_progress& {
    return state.progress[range.fence][range.first];
}

auto ranges_with(key_map& map, const key_span& keys) -> std::span<key_range> {
    const auto first = std::lower_bound(map.ranges.begin(), map.ranges.end(), keys.first,
                                        [](const auto& range, shard_key key) { return range.last < key; });
    const auto end = std::upper_bound(first, map.ranges.end(), keys.last,
                                      [](shard_key key, const auto& range) { return key < range.first; });
    return {first, end};
}

auto on_acknowledged(range_progress& progress, std::uint64_t call, instant now) -> void {
    if (call == 0 || call != progress.answered_call) {
        progress.other_answered_at = progress.answered_at;
    }
    progress.answered_at = now;
    progress.answered_call = call;
    progress.released = false;
}

auto set_next_holder(range_grantor& state, key_range& range, const target_incarnation& to) -> void {
    range.next = to;
    range.next_fence = ++state.map.fences_used;
    state.unrecorded_intents.insert(range.next_fence);
    state.changed = true;
}

} // namespace teaselcross
