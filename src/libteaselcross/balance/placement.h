#pragma once

// Placement of shards on targets: few moves and a bounded load.

#include "core/identifier.h"
#include "keyspace/shard.h"

#include <vector>

namespace teaselcross {

/// A target that may own shards.
struct placement_target {
    target_id id;
    double capacity = 1; ///< Its share of the load relative to the others, less while it is cold.
    bool accepts = true; ///< Whether it may receive shards that it does not own yet.
};

struct placement_options {
    double slack = 0.10; ///< How far above its even share a target's load may lie.
};

/// Chooses an owner for each shard. @a current names the present owners, empty for none; @a loads gives the
/// load of each shard. A shard stays where it is while its owner may own and is within its bound. Displaced
/// shards go to the first target in rendezvous order that has room, after "Consistent Hashing with Bounded
/// Loads" (Mirrokni, Thorup, Zadimoghaddam, 2016). Without targets all owners are empty. Thread safe.
/// @pre current and loads have the same size.
auto place_shards(const service_id& service, const std::vector<target_id>& current,
                  const std::vector<double>& loads, const std::vector<placement_target>& targets,
                  const placement_options& options) -> std::vector<target_id>;

/// The baseline of plain rendezvous hashing, blind to load and present owners.
auto place_by_rendezvous(const service_id& service, std::size_t shards,
                         const std::vector<placement_target>& targets) -> std::vector<target_id>;

} // namespace teaselcross
