#pragma once

// What an instance on the platform is told at its start.

#include "core/identifier.h"
#include "core/time.h"
#include "http/connection_pool.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselcross {

struct gateway_settings {
    std::string instance;
    data_centre_id data_centre;
    endpoint callers;                      ///< Where callers' connections arrive.
    endpoint readiness;                    ///< Where the platform asks whether the instance takes callers.
    std::uint16_t first_internal_port = 0; ///< For other instances.
    std::uint16_t last_internal_port = 0;
    endpoint store;
    double cpu_share = 1;                 ///< Share of a core; stronger instances work for others.
    double store_writes_per_second = 100; ///< Of all instances together.

    double retry_ratio = 0.2; ///< Extra sends for each request, of all instances.
    double retry_extra = 64;  ///< Extra sends beside the ratio, of all instances in one window.
    duration retry_window = std::chrono::seconds{10};
    double cold_overage = 1.5; ///< Cold targets may get their rate times this, plus the slack, in a second.
    double cold_slack = 5;
    duration stop_grace = std::chrono::seconds{6}; ///< From the signal to stop until the process is killed.
    duration drain = std::chrono::seconds{2};      ///< After it a leaving target must get nothing more.
    duration evacuation = std::chrono::seconds{5}; ///< The same for a data centre that was taken out.
    duration max_grant_hold = std::chrono::seconds{10}; ///< Of a grant.
    duration outage_grace =
        std::chrono::seconds{2}; ///< Entries that lapsed in an outage are back within this.
};

} // namespace teaselcross
