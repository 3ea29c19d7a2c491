#pragma once

// Grants whose answers are awaited beyond the time limit of their calls. An answer shows that the target has
// read the grant by then, and so until when it may hold the keys.

#include "ownership/holder_command.h"

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
    /// Without an answer, the grant is taken to have expired by then.
    instant may_hold_until{};
    std::vector<key_span> released; ///< Keys whose release was sent behind the grant, on its connection.
};

struct overdue_grants {
    std::vector<overdue_grant> entries;
};

/// Records a grant whose answer is still awaited.
auto add_overdue_grant(overdue_grants& state, const holder_command& grant, instant may_hold_until) -> void;

/// Removes the grant that was sent with @a call, which has been answered or whose connection has ended.
/// Returns nothing if there is none.
auto take_overdue_grant(overdue_grants& state, std::uint64_t call) -> std::optional<overdue_grant>;

/// Whether a grant to @a holder may still take effect, although it counts with its latest reading.
auto has_uncertain_grant(const overdue_grants& state, const target_id& holder, instant now) -> bool;

/// Returns the releases to send behind overdue grants, on their connections: of keys that by @a map are moving
/// away from their holder, or have moved; not for moves that are not recorded yet. The target reads them after the grant, however late that is.
auto due_releases_behind(overdue_grants& state, const key_map& map,
                         const std::set<std::uint64_t>& unrecorded_intents) -> std::vector<holder_command>;

} // namespace teaselcross
