#pragma once

// Assigns shards to targets with few moves and bounded load.

#include "core/identifier.h"
#include "keyspace/shard.h"

#include <vector>

namespace teaselcross {

/// A target that may own shards.
struct placement_target {
    target_id id;
    double capacity = 1; ///< Relative to the other targets; lower while the target is cold.
    bool accepts = true; ///< Whether it may receive shards that it does not own yet.
};

struct placement_options {
    double slack = 0.10; ///< How far a target's load may exceed its even share, as a fraction.
};

/// Chooses an owner for each shard. @a current holds the current owners, empty for none; @a loads holds the
/// load of each shard. A shard keeps its owner if that is among @a targets and stays within its load bound.
/// Other shards go to the first target in rendezvous order with enough spare capacity, after "Consistent
/// Hashing with Bounded Loads" (Mirrokni, Thorup, Zadimoghaddam, 2016). Without targets all owners are empty.
/// Thread safe.
/// @pre current and loads have the same size.
auto place_shards(const service_id& service, const std::vector<target_id>& current,
                  const std::vector<double>& loads, const std::vector<placement_target>& targets,
                  const placement_options& options) -> std::vector<target_id>;

/// Plain rendezvous hashing, which ignores loads and current owners; the baseline for comparisons.
auto place_by_rendezvous(const service_id& service, std::size_t shards,
                         const std::vector<placement_target>& targets) -> std::vector<target_id>;

} // namespace teaselcross
