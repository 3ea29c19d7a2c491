#pragma once

// What the source files of the range grantor share. Not for its users.

#include "ownership/range_grantor.h"

#include <span>

namespace teaselcross {

constexpr auto all_keys = key_span{.first = 0, .last = last_shard_key};

/// The longest time for which a holder with the slowest clock may use a grant, counted from its arrival.
auto longest_term(const range_grantor_options& options) -> duration;

/// Whether an overdue grant of @a keys can still take effect at @a holder.
auto has_overdue_grant(const range_grantor& state, const target_id& holder, const key_span& keys, instant now)
    -> bool;

/// Whether no unanswered grant of @a keys can still take effect at @a holder.
auto has_no_uncertain_grant(const range_grantor& state, const target_id& holder, const key_span& keys,
                            instant now) -> bool;

/// Whether a later process of the target than @a incarnation is listed.
auto has_newer_incarnation(const range_grantor& state, const target_incarnation& incarnation) -> bool;

/// The state of @a range; a new one if there is none.
auto progress_of(range_grantor& state, const key_range& range) -> range_progress&;

/// The ranges of @a map with at least one of @a keys.
auto ranges_with(key_map& map, const key_span& keys) -> std::span<key_range>;

/// Records that the holder has acknowledged the grant that was sent with @a call. A release that it has read
/// before proves nothing any more.
auto on_acknowledged(range_progress& progress, std::uint64_t call, instant now) -> void;

/// Gives @a range a next holder under a new fence, which has to be recorded before it is used.
auto set_next_holder(range_grantor& state, key_range& range, const target_incarnation& to) -> void;

} // namespace teaselcross
