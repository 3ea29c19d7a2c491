#pragma once

// Settings of an instance on the platform.

#include "core/identifier.h"
#include "core/time.h"
#include "http/connection_pool.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselcross {

struct gateway_settings {
    std::string instance;
    data_centre_id data_centre;
    endpoint callers;                      ///< Address on which callers' connections are accepted.
    endpoint readiness;                    ///< Address of the readiness check.
    std::uint16_t first_internal_port = 0; ///< Used for traffic between instances.
    std::uint16_t last_internal_port = 0;
    endpoint store;
    /// CPU capacity, in cores; instances with more capacity are preferred as relay and controller.
    double cpu_share = 1;
    double store_writes_per_second = 100; ///< Limit for all instances together.
    /// Memory that the process may use, in bytes.
    std::size_t memory_limit = std::size_t{256} * 1024 * 1024;
    std::size_t file_limit = 1024; ///< Files and sockets that the process may have open.

    double retry_ratio = 0.2; ///< Allowed retries per request, across all instances.
    double retry_extra = 64;  ///< Allowed retries in a window in addition to the ratio, across all instances.
    duration retry_window = std::chrono::seconds{10};
    /// A cold target may get at most its rate times this factor, plus the slack, in one second.
    double cold_overage = 1.5;
    double cold_slack = 5;
    /// Limits on the requests of a client account, for all instances together; read at the start only. In any
    /// window they exceed the quota by no more than the fraction and the number of requests.
    duration quota_window = std::chrono::seconds{5};
    double quota_overage = 0.1;
    double quota_slack = 20;
    /// The whole system starts for the first time, so that no earlier process has left anything.
    bool is_first_start = false;
    duration stop_grace = std::chrono::seconds{6}; ///< Time from the stop signal until the process is killed.
    duration drain = std::chrono::seconds{2}; ///< A leaving target must get no more requests after this time.
    /// The same for targets in a data centre that was taken out of service.
    duration evacuation = std::chrono::seconds{5};
    /// A changed configuration must be in force everywhere within this time.
    duration config_apply = std::chrono::seconds{2};
    /// Whether requests that need a client account's key are refused while the configuration is unconfirmed.
    bool strict_revoke = false;
    /// Age of the last confirmation from which the configuration counts as unconfirmed for this.
    duration revoke = std::chrono::seconds{5};
    duration max_grant_hold = std::chrono::seconds{10}; ///< Upper bound for the hold time of a grant.
    /// Time in which running targets register again after their entries expired in a store outage.
    duration outage_grace = std::chrono::seconds{2};
};

} // namespace teaselcross
