#pragma once

// Whether a request may go to a chosen target now, or is refused before it is sent.
//
// Answers the pattern of more requests than the targets bear: what would be answered too late is refused at
// once, so that it neither waits in vain nor takes the place of one that can still be answered in time.

#include "admission/target_view.h"

#include <optional>

namespace teaselcross {

/// What a request still has to gain at the moment of the decision.
struct request_times {
    instant deadline;  ///< Nobody waits for an answer after it.
    instant objective; ///< An answer is worth most until then.
};

/// Share of the answers that came after their objective, smoothed: how much too hopeful the expectations
/// were.
struct lateness_estimate {
    double share = 0;
};

/// An answer came, or its caller gave up waiting for it.
auto record_answer(lateness_estimate& memory, bool late) -> void;

struct gate_options {
    std::uint32_t connection_limit = 0; ///< Of the target, from all instances; 0 for none.
    std::size_t instances = 1;          ///< Which share that limit.
    /// Part of the connection limit that instances use together; the rest is for connections that close.
    double connection_share = 0.85;
    double min_connections = 2; ///< An instance may always use these.
    /// Requests at a target, in units of its slots, above which an expected answer after the objective is
    /// refused: one set at work and one waiting.
    double congestion_factor = 2;
    /// How much of the time to the objective is left out for each share of late answers. Where a queue stands
    /// for long, one that is filled to the objective makes half of its answers late.
    double lateness_weight = 1;
    view_options view;
};

/// Nothing when the request may be sent; otherwise the time after which it is worth asking again.
auto check_admission(const target_view& view, const request_times& times, const lateness_estimate& lateness,
                     const gate_options& options, instant now) -> std::optional<duration>;

} // namespace teaselcross
