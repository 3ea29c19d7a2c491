#include "keyspace/shard.h"

#include "core/rendezvous.h"

namespace teaselcross {

auto shard_of(std::string_view key, std::uint32_t shard_count) -> shard_id {
    return shard_id{static_cast<std::uint32_t>(hash_text(key) & (shard_count - 1))};
}

} // namespace teaselcross
