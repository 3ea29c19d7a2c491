#pragma once

// Grants whose answers are awaited beyond the time limit of their calls. An answer shows that the target has
// read the grant by then, and so until when it may hold the keys.

#include "ownership/holder_command.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace teaselcross {

/// A range of keys, both inclusive.
struct key_span {
    shard_key first = 0;
    shard_key last = 0;

    auto operator==(const key_span&) const -> bool = default;
};

struct overdue_grant {
    std::uint64_t call = 0;
    target_incarnation holder;
    key_span keys;
    std::uint64_t fence = 0;
    instant sent{};
    /// Without an answer, the grant counts as expired by then, if it was read within the usual time.
    instant may_hold_until{};
    /// When the target first answered another call that was sent after the grant, if it did.
    instant later_answer_at{};
    std::vector<key_span> released; ///< Keys whose release was sent behind the grant, on its connection.
    bool is_connected = true;       ///< Otherwise nobody will learn when the target reads it.
};

struct overdue_grant_options {
    /// A target that answers a call has read what was sent before that call, apart from the calls of other
    /// connections that it gets to within this time.
    duration reading_spread = std::chrono::milliseconds{1000};
    /// A target that is listed, keeps the connection and answers nothing may read the grant until so long
    /// after it was sent. Then its keys move all the same.
    duration longest_reading = std::chrono::seconds{12};
};

/// The target that is to have the keys of a range: the next holder once a move is recorded.
struct range_owner {
    key_span keys;
    target_id id;

    auto operator==(const range_owner&) const -> bool = default;
};

struct overdue_grants {
    overdue_grant_options options;
    std::map<std::uint64_t, overdue_grant> entries;         ///< By call.
    std::map<target_id, std::set<std::uint64_t>> by_holder; ///< The calls to each holder.
    std::deque<std::uint64_t> disconnected; ///< Calls whose connection was given up, in that order.
    /// What due_releases_behind() has taken into account, so that it looks at changes only.
    std::vector<range_owner> checked_owners;
    std::vector<std::uint64_t> unchecked; ///< Calls that were added since.
};

/// Records a grant whose answer is still awaited.
auto add_overdue_grant(overdue_grants& state, const holder_command& grant, instant sent,
                       instant may_hold_until) -> void;

/// Records that @a holder has answered a call that was sent at @a sent.
auto on_later_answer(overdue_grants& state, const target_id& holder, instant sent, instant now) -> void;

/// Records that the connection of the grant that was sent with @a call was given up although the target may
/// still read the grant. Nothing is sent behind it any more. It is removed once it has expired.
auto disconnect_overdue_grant(overdue_grants& state, std::uint64_t call) -> void;

/// Removes grants whose connection was given up and that have expired, if they were read within the longest
/// time. Returns their holders. @a longest_term is the longest time for which a grant is in force.
auto remove_expired(overdue_grants& state, duration longest_term, instant now) -> std::set<target_id>;

/// Removes the grant that was sent with @a call, which has been answered or whose connection has ended.
/// Returns nothing if there is none.
auto take_overdue_grant(overdue_grants& state, std::uint64_t call) -> std::optional<overdue_grant>;

/// The number of grants to @a holder that it may still read after their time limit.
auto count_overdue(const overdue_grants& state, const target_id& holder) -> std::size_t;

/// Whether @a holder may still read a grant whose time limit has passed.
auto is_awaited(const overdue_grants& state, const target_id& holder) -> bool;

/// Whether a grant of some of @a keys to @a holder may still be in force, or be read and come into force.
/// @a present is the process of the target that is listed, if there is one; @a longest_term the longest time
/// for which a grant is in force.
auto has_uncertain_grant(const overdue_grants& state, const target_id& holder, const key_span& keys,
                         const std::optional<target_incarnation>& present, duration longest_term, instant now)
    -> bool;

/// Returns the releases to send behind overdue grants, on their connections: of keys that by @a map are
/// moving away from their holder, or have moved; not for moves that are not recorded yet. The target reads
/// them after the grant, however late that is.
auto due_releases_behind(overdue_grants& state, const key_map& map,
                         const std::set<std::uint64_t>& unrecorded_intents, instant now)
    -> std::vector<holder_command>;

} // namespace teaselcross
