#pragma once

// Admission control: decides whether a request may be sent to the chosen target or is refused first.
//
// Handles overload: a request whose answer is expected too late is refused at once, so that it doesn't take
// capacity from a request that can still be answered in time.

#include "admission/target_view.h"

#include <optional>

namespace teaselcross {

/// The time limits of a request.
struct request_times {
    instant deadline;  ///< The caller stops waiting at this time.
    instant objective; ///< Latency objective: an answer after it is worth less.
};

/// Smoothed share of the answers that came after their objective, which shows how optimistic the expected
/// finish times were.
struct lateness_estimate {
    double share = 0;
};

/// Records the end of a request: answered, or given up by its caller. @a late: after its objective.
auto record_answer(lateness_estimate& estimate, bool late) -> void;

struct gate_options {
    std::uint32_t connection_limit =
        0;                     ///< Connections that the target accepts from all instances; 0: no limit.
    std::size_t instances = 1; ///< Instances that share the connection limit.
    /// Part of the connection limit that the instances use together; the rest allows for connections that are
    /// still closing.
    double connection_share = 0.75;
    double min_connections = 2; ///< Connections that an instance may use whatever its share.
    /// Requests at a target, in multiples of its slots, above which it counts as congested and a request that
    /// is expected to miss its objective is refused. At 2 every slot is busy and as many requests wait.
    double congestion_factor = 2;
    /// Reduces the time to the objective by this factor times the share of late answers. In a lasting queue
    /// that is filled up to the objective, half of the answers would be late.
    double lateness_weight = 1;
    view_options view;
};

/// The idle connections to one target that an instance keeps beside those of @a in_flight requests: what is
/// left of its share of the limit, and at least one while no request is in flight. @a options name the limit
/// and the instances that share it. Thread safe.
auto idle_connections(const gate_options& options, std::uint32_t in_flight) -> std::size_t;

/// Returns nothing if the request may be sent, otherwise the time after which the caller should retry.
auto check_admission(const target_view& view, const request_times& times, const lateness_estimate& lateness,
                     const gate_options& options, instant now) -> std::optional<duration>;

} // namespace teaselcross
