#pragma once

// Former holders of keys that have not released them. Their grants have expired, but a holder whose process
// was suspended may find a call that was aborted long ago in its sockets and take it for a new one. It is
// asked to release the keys until it has answered.

#include "ownership/holder_command.h"

#include <set>
#include <vector>

namespace teaselcross {

struct stale_grant_options {
    /// From the end of a release to the next one. The second one follows the first answer at once, for the
    /// controller may end before the interval has passed.
    duration release_interval = std::chrono::milliseconds{250};
    /// One release may overtake a grant that waits in another connection of the holder. The grant may also be
    /// read after the two that follow on one another, so a third one is sent after the interval.
    std::uint32_t releases_needed = 3;
    duration watch_time = std::chrono::seconds{60}; ///< After that the holder is no longer asked.
    std::size_t max_recorded = 128;                 ///< Former holdings in a key map.
};

/// A range that a former holder may take for its own.
struct stale_grant {
    target_incarnation holder;
    shard_key first = 0;
    shard_key last = 0;
    std::uint64_t fence = 0;
    instant next_call_at{};
    instant watched_until{};
    std::uint32_t releases = 0; ///< Releases that the holder has acknowledged.
    bool is_reachable = true;   ///< Whether the last release could be sent to the holder.
    bool was_listed = false;    ///< Whether it was, at the time of the last release.
    bool call_pending = false;
    /// A holder that has taken the grant late may hold the keys until then, unless it has released them
    /// since.
    instant may_hold_until{};
    bool is_call_outdated = false; ///< The pending call may have been read before the grant.
};

struct stale_grants {
    stale_grant_options options;
    std::vector<stale_grant> entries;
};

/// Records that @a range moved away from its holder at @a now without a release.
auto add_stale_grant(stale_grants& state, const key_range& range, instant now) -> void;

/// Records that @a range gets another destination than @a possible_holder, to which an earlier controller may
/// have granted it. It is asked from @a now, when that controller grants nothing more. Does nothing if the
/// present destination was chosen by this controller.
auto add_replaced_destination(stale_grants& state, const key_range& range,
                              const target_incarnation& possible_holder, instant now) -> void;

/// Records that the former holder of @a range has taken its grant only at @a now, and may hold it until
/// @a may_hold_until. What it released before does not count, and it is asked at once.
auto add_revived_grant(stale_grants& state, const key_range& range, instant may_hold_until, instant now)
    -> void;

/// Whether a former holder is known to have taken a grant of keys of @a range late, and neither has released
/// them since nor has the grant expired.
auto is_held_by_former(const stale_grants& state, const key_range& range, instant now) -> bool;

/// Begins with the former holders that an earlier controller has recorded, in place of all earlier entries.
auto resume_stale_grants(stale_grants& state, const std::vector<former_holding>& recorded, instant now)
    -> void;

/// What a successor has to know of the former holders that are still asked. Neighbouring ranges of a holder
/// are joined under the higher fence, which is below that of any later grant. Above max_recorded, all ranges
/// of a holder are joined, for a successor does not ask for keys that the holder has; if that does not
/// suffice, the latest remain.
auto recorded_former_holdings(const stale_grants& state) -> std::vector<former_holding>;

/// Returns the releases to send now. @a present are the targets that exist, by their latest process, which
/// may have taken what was meant for an earlier one and is asked in its place. Keys that a holder holds again
/// by @a map are not asked for any more; the others of its range are. One that is missing may have been
/// suspended until its entry lapsed; it is asked at its last address. A holder that cannot be reached is
/// asked for one range at a time until it is listed again.
auto due_stale_releases(stale_grants& state, const key_map& map, const std::set<target_incarnation>& present,
                        instant now) -> std::vector<holder_command>;

/// Records the result of a release. Commands of other kinds and ranges are ignored.
auto on_stale_release_finished(stale_grants& state, const holder_command& command, command_result result,
                               instant now) -> void;

} // namespace teaselcross
