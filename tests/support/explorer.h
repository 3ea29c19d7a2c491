#pragma once

// Exploration of the ownership parts: every order of steps, deliveries, losses and delays to a stated depth,
// and long random orders beyond it, from a steady world in which a move has just become due.

#include "support/ownership_world.h"

#include <functional>
#include <unordered_map>

namespace teaselcross::test {

/// Faults that one path may still meet.
struct path_limits {
    int restarts = 1;  ///< Restarts of targets.
    int takeovers = 1; ///< Keepers that the controllers give up while they go on running.
    int losses = 1;    ///< Lost messages.
};

/// A step that may be taken now.
struct world_step {
    std::string name;
    std::function<void(ownership_world&, path_limits&)> take;
};

/// Every step that may be taken in @a world.
auto possible_steps(const ownership_world& world, const path_limits& limits) -> std::vector<world_step>;

/// A steady world in which the only shard's owner has to let go.
auto world_before_move(const world_options& options) -> ownership_world;

struct exploration {
    std::uint64_t states = 0; ///< Distinct states seen.
    std::uint64_t steps = 0;  ///< Steps tried.
    std::string broken;       ///< The first broken promise, with the steps that led to it; empty for none.
};

/// Takes every path of @a depth steps.
auto explore(const ownership_world& from, int depth, const path_limits& limits) -> exploration;

/// Takes the path that @a choices pick, one step for each. Returns the broken promise and the path to it.
auto follow(ownership_world world, const std::vector<std::uint16_t>& choices, path_limits limits)
    -> std::string;

} // namespace teaselcross::test
