// How a controller takes over the record of an earlier one.

#include "ownership/range_grantor_parts.h"

#include <algorithm>

namespace teaselcross {

auto take_over(range_grantor& state, key_map map, instant moves_allowed_from, instant now) -> void {
    state.map = std::move(map);
    state.map.fences_used = std::max(state.map.fences_used, first_fence(state.map.era));
    state.record_lost = false;
    state.moves_allowed_from = moves_allowed_from;
    state.progress.clear();
    state.unrecorded_intents.clear();
    state.responses.clear();
    state.window = {.options = state.window.options};
    state.overdue = {.options = state.overdue.options};
    resume_stale_grants(state.former, state.map.former_holdings, now);
    state.taken_over_at = now;
    state.changed = !state.map.ranges.empty();
    state.writing = false;
    state.recorded_era = 0;
    state.owns_record = false;
    for (const auto& range : state.map.ranges) {
        progress_of(state, range) = {.may_hold_until =
                                         std::max(moves_allowed_from, now + longest_term(state.options)),
                                     .next_call_at = now,
                                     .release_requested = range.is_moving(),
                                     .possible_holder = range.next};
    }
}

auto take_over_lost_record(range_grantor& state, key_map last_known, instant moves_allowed_from,
                           instant lost_grants_until, instant now) -> void {
    take_over(state, std::move(last_known), moves_allowed_from, now);
    state.record_lost = true;
    state.map.holders_uncertain = true;
    state.lost_grants_until = lost_grants_until;
    state.progress.clear();
    for (auto& range : state.map.ranges) {
        if (range.is_moving()) {
            add_replaced_destination(state.former, range, range.next,
                                     std::max(moves_allowed_from, lost_grants_until));
        }
        set_next_holder(state, range, range.holder);
        // Nothing is granted under the fences of before.
        progress_of(state, range) = {.next_call_at = now, .release_requested = true};
    }
}

auto rewrite_record(range_grantor& state, const store_revision& version) -> void {
    state.map.revision = version;
    state.map.era = version.era;
    state.map.fences_used = std::max(state.map.fences_used, first_fence(version.era));
    state.changed = !state.map.ranges.empty();
}

} // namespace teaselcross
