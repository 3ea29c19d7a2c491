#pragma once

// Maps keys to shards by hashing, so that no list of keys is needed.

#include <cstdint>
#include <string_view>

namespace teaselcross {

/// The number of a shard within its service.
enum class shard_id : std::uint32_t {};

/// Shards held by one partition object of the platform's store.
constexpr std::uint32_t shards_per_partition = 128;

/// The shard of @a key among @a shard_count shards.
/// @pre shard_count is a power of two.
auto shard_of(std::string_view key, std::uint32_t shard_count) -> shard_id;

constexpr auto number(shard_id shard) -> std::uint32_t {
    return static_cast<std::uint32_t>(shard);
}

/// The partition that holds @a shard.
constexpr auto partition_of(shard_id shard) -> std::uint32_t {
    return number(shard) / shards_per_partition;
}

/// The number of partitions of a service with @a shard_count shards.
constexpr auto partition_count(std::uint32_t shard_count) -> std::uint32_t {
    return (shard_count + shards_per_partition - 1) / shards_per_partition;
}

} // namespace teaselcross
