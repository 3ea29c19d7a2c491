#pragma once

// An instance's shortage decisions for all services, with their events and figures.

#include "admission/shortage.h"
#include "metrics/metrics.h"
#include "routing/route_table.h"

#include <random>

namespace teaselcross {

/// Not thread safe; used by the router on its own thread.
class shortage_control {
public:
    /// Records a request for @a service that is answered in time within @a objective of now.
    auto record_arrival(const service_id& service, const valued_request& request, duration objective,
                        instant now) -> void;

    /// Decides whether a request may be sent to @a view. Returns nothing if so, otherwise the time after
    /// which the caller should retry.
    auto check(const service_id& service, const valued_request& request, const target_view& view,
               duration to_objective, instant now) -> std::optional<duration>;

    auto record_send(const service_id& service, const valued_request& request, instant now) -> void;
    /// Records that a request that was counted as sent has not run.
    auto record_rejection(const service_id& service, const valued_request& request, instant now) -> void;

    /// Records the load of a target, which it has just reported.
    auto record_load(const service_id& service, const target_view& view, instant now) -> void;

    /// Records the end of a request that arrived.
    auto record_end(const service_id& service, const valued_request& request, request_end end, instant now)
        -> void;

    /// Counts a refusal, whatever its reason.
    auto count_refusal(std::uint32_t rank) -> void;

    /// Logs the shortages that began or ended since the last call. To be called every second or more often.
    auto log_changes(instant now) -> void;

    /// Drops the state of services that @a table does not have.
    auto drop_unknown(const route_table& table) -> void;

    /// Appends the level of each service and the refusals of each rank.
    auto append_gauges(std::vector<gauge>& values) const -> void;

private:
    shortage_options m_options;
    std::map<service_id, service_shortage> m_services;
    std::map<std::uint32_t, std::uint64_t>
        m_refusals; ///< By rank; those of the last one and beyond together.
    std::mt19937_64 m_random{std::random_device{}()};
};

} // namespace teaselcross
