#pragma once

// Distribution of a rule's requests among its services by weight.
//
// Each step of a binary split adds the service's share to a phase in [0, 1) and takes the service when the
// phase passes 1 (systematic sampling: W. Madow and L. Madow, "On the theory of systematic sampling", 1944).
// A phase that begins uniform stays so under any sequence of shares. So the state holds for any weights,
// order and list of services: what earlier ones left behind favours none, and each choice has the
// probability of its weight, over all instances together as well.

#include "routing/route_table.h"

#include <random>
#include <vector>

namespace teaselcross {

/// The position of an instance in the requests of a rule. Not thread safe.
struct split_position {
    std::vector<double> phases; ///< One per step; each in [0, 1).
};

/// Returns the service for the next request of @a rule. A service with weight 0 is never returned. With
/// constant weights, the requests of one of two services differ from its share by less than one at any time.
/// @a random starts the phases and must be seeded differently at each instance.
/// @pre The rule has a service with a positive weight.
auto next_service(split_position& position, const route_rule& rule, std::mt19937_64& random)
    -> const service_id&;

} // namespace teaselcross
