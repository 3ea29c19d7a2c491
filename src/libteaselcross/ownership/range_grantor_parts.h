#pragma once

// What the source files of the range grantor share. Not for its users.

#include "ownership/range_grantor.h"

#include <span>

namespace teaselcross {

/// The longest time for which a holder with the slowest clock may use a grant, counted from its arrival.
auto longest_term(const range_grantor_options& options) -> duration;

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
