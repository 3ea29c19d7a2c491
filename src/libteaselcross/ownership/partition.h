#pragma once

// Shard assignments: the owner of each shard, stored as one object per partition in the platform's store.

#include "core/enum_names.h"
#include "core/identifier.h"
#include "keyspace/shard.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace teaselcross {

/// A fencing token that increases with every change of a shard's ownership and is never reused in its
/// partition.
using fence_number = std::uint64_t;

/// Owned shards may be granted to their owner. Releasing shards may not be granted to anybody.
enum class shard_state { unowned, owned, releasing };
constexpr enum_table<shard_state, 3> shard_state_names{"unowned", "owned", "releasing"};

struct shard_record {
    shard_state state = shard_state::unowned;
    target_id owner; ///< The owner, or while releasing the target that has to release the shard.
    fence_number fence = 0;

    auto operator==(const shard_record&) const -> bool = default;
};

/// One object in the store, changed only by conditional updates.
struct partition {
    service_id service;
    std::uint32_t index = 0;
    data_centre_id home; ///< The data centre whose controller writes it.
    fence_number last_fence = 0;
    std::string writer_token; ///< Identifies the last write, so that a writer can recognise its own.
    std::vector<shard_record> shards;

    /// The record of @a shard. @pre partition_of(shard) == index.
    auto record(shard_id shard) const -> const shard_record&;
    /// The shard at @a position within this partition.
    auto shard_at(std::size_t position) const -> shard_id;

    /// Marks an owned shard as releasing under a new fence.
    auto release(std::size_t position) -> void;
    /// Assigns an owner to a shard that no target holds, under a new fence.
    auto assign(std::size_t position, const target_id& owner) -> void;
};

/// An empty partition with all its shards unowned.
auto make_partition(const service_id& service, std::uint32_t index, std::uint32_t shard_count) -> partition;

auto to_json(const partition& object) -> nlohmann::json;
auto partition_from_json(const nlohmann::json& object) -> partition;

} // namespace teaselcross
