#pragma once

// Targets that carry out orders as the platform's pages say, at random: an order may get no answer and be
// carried out seconds later, after newer ones; the time of a grant counts from its arrival even then. One
// controller after the other gives them keys, moves these, and is replaced.

#include "ownership/range_grantor.h"

#include <random>
#include <string>

namespace teaselcross::test {

struct order_world_options {
    double late_share = 0.3; ///< Of the orders; these get no answer and are carried out later.
    bool may_replace_controller = false;
    bool may_lose_record = false; ///< A controller may find an older copy of the record, in a new era.
    bool may_restart_targets = false;
    bool may_close_connections = false; ///< The controller may give up connections of overdue grants.
    /// The release of a range under a lower fence than that of the keys takes them all the same.
    bool old_release_takes_keys = false;
    duration length = std::chrono::seconds{40};
};

/// Runs a world to its end and describes the first moment in which two targets hold a key; empty if there is
/// none. Deterministic for each @a seed.
auto run_order_world(const order_world_options& options, std::uint64_t seed) -> std::string;

} // namespace teaselcross::test
