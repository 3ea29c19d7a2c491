#pragma once

// How often the answers of services are late, over the versions of the configuration.

#include "admission/gate.h"
#include "routing/route_table.h"

#include <map>
#include <utility>

namespace teaselcross {

/// By service and latency objective: a share of late answers says nothing about another objective, which a
/// later version may give to the same rule. Not thread safe.
struct answer_lateness {
    std::map<std::pair<service_id, duration>, lateness_estimate> estimates;
};

/// The estimate for requests to @a service that are to be answered within @a objective.
auto find_lateness(answer_lateness& state, const service_id& service, duration objective)
    -> lateness_estimate&;

/// Drops the estimates for services and objectives that @a table does not have.
auto drop_unknown(answer_lateness& state, const route_table& table) -> void;

} // namespace teaselcross
