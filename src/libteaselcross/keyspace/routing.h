#pragma once

// The data an entry needs to find the keeper of a key's owner. Rebuilt from the mirrored objects; unchanged
// parts are shared with the previous routing.

#include "config/description.h"
#include "membership/member.h"
#include "ownership/delegation.h"
#include "ownership/partition.h"

#include <memory>
#include <set>

namespace teaselcross {

/// An immutable view of configuration, assignments and delegations. Safe to share between threads.
struct routing {
    std::shared_ptr<const description> config;
    std::map<std::pair<service_id, std::uint32_t>, std::shared_ptr<const partition>> partitions;
    std::map<target_id, delegation> delegations;
    std::map<instance_id, member> instances; ///< Live instances.
    std::set<target_id> local_draining;      ///< Drained by an order limited to this data centre.
};

/// Where to send a request for a key.
struct key_route {
    shard_id shard{};
    target_id target;
    fence_number fence = 0;
    shard_state state = shard_state::unowned;
};

/// The record of the shard of @a key. Empty while the partition is unknown. Thread safe.
/// @pre the service is keyed.
auto route_key(const routing& routes, const service_id& service, std::string_view key)
    -> std::optional<key_route>;

/// The instance that keeps @a target, if one is known and live.
auto keeper_of(const routing& routes, const target_id& target) -> const member*;

/// Targets of @a service that accept new requests.
auto available_targets(const routing& routes, const service_id& service) -> std::vector<target_id>;

} // namespace teaselcross
