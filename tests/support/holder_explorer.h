#pragma once

// Takes every path of a small world of targets, up to a number of faults, and looks for two holders of a key.

#include "support/holder_world.h"

namespace teaselcross::test {

struct holder_exploration {
    std::uint64_t states = 0; ///< Distinct states seen.
    std::uint64_t steps = 0;  ///< Steps taken.
    std::string broken;       ///< The shortest path found to two holders of a key, by line; empty for none.
};

/// Takes every path of @a depth steps from @a world. Stops at the first path to two holders of a key.
auto explore_holders(const holder_world& world, int depth) -> holder_exploration;

} // namespace teaselcross::test
