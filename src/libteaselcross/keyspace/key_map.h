#pragma once

// Who owns which range of a service's keys, as the store records it.

#include "core/identifier.h"

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
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

/// A range of keys with its owner. While it moves, both sides are named and nobody is to be asked for the
/// keys.
struct key_range {
    shard_key first = 0;
    shard_key last = last_shard_key; ///< Inclusive.
    std::uint64_t fence = 0;
    target_incarnation holder;
    std::uint64_t next_fence = 0;
    target_incarnation next; ///< Empty unless the range moves.

    auto moving() const -> bool { return !next.id.empty(); }
    auto operator==(const key_range&) const -> bool = default;
};

/// All ranges of a service in ascending order, without gaps.
struct key_map {
    std::uint64_t revision = 0; ///< Of the store's object; 0 while there is none.
    std::uint64_t fences_used = 0;
    std::string writer; ///< Distinguishes writes whose answer was lost.
    std::vector<key_range> ranges;
};

/// The range with @a key, or null when the map is empty. Thread safe on a map that no one changes.
auto find_range(const key_map& map, shard_key key) -> const key_range*;

auto to_json(const key_map& map) -> nlohmann::json;

/// What turns one revision of a map into another: the ranges that the earlier one lacks. A moved key changes
/// a few ranges of hundreds, and every instance has to hear of it.
struct key_map_changes {
    std::uint64_t fences_used = 0;
    std::string writer;
    std::vector<key_range> ranges;
};

/// The changes that lead from @a before to @a after. Thread safe on maps that no one changes.
auto changes_between(const key_map& before, const key_map& after) -> key_map_changes;

/// @a before with @a changes, as @a revision. An error says why they don't fit it. Thread safe likewise.
auto apply_changes(const key_map& before, const key_map_changes& changes, std::uint64_t revision)
    -> tl::expected<key_map, std::string>;

auto to_json(const key_map_changes& changes) -> nlohmann::json;
/// An error says what is wrong with @a document.
auto key_map_changes_from_json(const nlohmann::json& document) -> tl::expected<key_map_changes, std::string>;

/// An error says what is wrong with @a document.
auto key_map_from_json(const nlohmann::json& document, std::uint64_t revision)
    -> tl::expected<key_map, std::string>;

} // namespace teaselcross
