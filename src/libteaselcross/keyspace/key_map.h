#pragma once

// The key map: the owner of each range of shard keys, as recorded in the store.

#include "core/identifier.h"
#include "replication/store_revision.h"

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselcross {

using shard_key = std::uint32_t;
constexpr auto last_shard_key = shard_key{65535};

/// One incarnation of a target. A restarted target has a later start time.
struct target_incarnation {
    target_id id;
    std::uint64_t start_time_ms = 0; ///< Milliseconds since the Unix epoch, reported by the target.

    auto operator<=>(const target_incarnation&) const = default;
};

/// A range of keys with its owner. During a transfer both the old and the new holder are recorded, and
/// requests for its keys must not be sent to either.
struct key_range {
    shard_key first = 0;
    shard_key last = last_shard_key; ///< Inclusive.
    std::uint64_t fence = 0;
    target_incarnation holder;
    std::uint64_t next_fence = 0;
    target_incarnation next; ///< Empty unless the range is being transferred.

    auto is_moving() const -> bool { return !next.id.empty(); }
    auto operator==(const key_range&) const -> bool = default;
};

/// Keys that a target held before, and may go on with: it has not been proved to have released them.
struct former_holding {
    target_incarnation holder;
    shard_key first = 0;
    shard_key last = 0; ///< Inclusive.
    std::uint64_t fence = 0;

    auto operator==(const former_holding&) const -> bool = default;
};

/// All ranges of a service in ascending order, without gaps.
struct key_map {
    store_revision revision; ///< Revision of the store's object; number 0 if there is none.
    std::uint64_t era = 0;   ///< Era of the store in which it was recorded.
    /// Other targets may hold the ranges by grants whose record was lost with the store.
    bool holders_uncertain = false;
    std::uint64_t fences_used = 0;
    std::string writer; ///< Identifies the write, to recognise it after a lost reply.
    std::vector<key_range> ranges;
    /// What the writer asked former holders to release when it wrote the map. Earlier builds write none.
    std::vector<former_holding> former_holdings;
};

/// When @a map was recorded. A store that was restored holds maps of an earlier era under new revisions.
/// Thread safe.
auto recorded_at(const key_map& map) -> store_revision;

/// The first of the fences that are reserved for maps of @a era. It is higher than all fences of earlier
/// eras, so that fences rise even if nobody remembers the last ones. Thread safe.
auto first_fence(std::uint64_t era) -> std::uint64_t;

/// The range with @a key, or null when the map is empty. Thread safe if the map is not modified.
auto find_range(const key_map& map, shard_key key) -> const key_range*;

auto to_json(const key_map& map) -> nlohmann::json;

/// The difference between two revisions of a map: the ranges that the earlier one lacks. Moving a key changes
/// a few ranges out of hundreds, and every instance must receive the change.
struct key_map_changes {
    std::uint64_t era = 0;
    bool holders_uncertain = false;
    std::uint64_t fences_used = 0;
    std::string writer;
    std::vector<key_range> ranges;
    std::optional<std::vector<former_holding>> former_holdings; ///< None if they have not changed.
};

/// The changes that lead from @a before to @a after. Thread safe if the maps are not modified.
auto changes_between(const key_map& before, const key_map& after) -> key_map_changes;

/// @a before with @a changes, as @a revision. The error says why the changes don't match
/// the map. Thread safe if the arguments are not modified.
auto apply_changes(const key_map& before, const key_map_changes& changes, const store_revision& revision)
    -> tl::expected<key_map, std::string>;

auto to_json(const key_map_changes& changes) -> nlohmann::json;
/// An error says what is wrong with @a document.
auto key_map_changes_from_json(const nlohmann::json& document) -> tl::expected<key_map_changes, std::string>;

/// An error says what is wrong with @a document.
auto key_map_from_json(const nlohmann::json& document, const store_revision& revision)
    -> tl::expected<key_map, std::string>;

} // namespace teaselcross
