#pragma once

// Concurrency limit of a target: low after a start, raised step by step with good completions. It depends
// only on observed completions, not on the target's own load report.

#include "core/enum_names.h"
#include "core/time.h"

#include <cstdint>

namespace teaselcross {

struct warmup_options {
    std::uint32_t slots = 1;                             ///< Concurrency limit when warm.
    std::uint32_t cold_slots = 1;                        ///< Concurrency limit after a start.
    duration step_time = std::chrono::milliseconds{500}; ///< Minimum time at one limit before it is raised.
    std::uint32_t step_completions = 32; ///< Good completions at one limit before it is raised.
    double slow_factor = 4.0;            ///< A completion slower than the usual latency times this is bad.
    std::uint32_t slow_streak = 3;       ///< Consecutive slow or failed completions that reset the limit.
};

/// Why the limit of a target was reset.
enum class cold_cause { new_process, failures, latency_step };
constexpr enum_table<cold_cause, 3> cold_cause_names{"new_process", "failures", "latency_step"};

struct warmup_state {
    warmup_options options;
    std::uint32_t limit = 1; ///< Requests allowed in flight now.
    instant limit_since{};
    std::uint32_t good_completions = 0; ///< Good completions at this limit.
    std::uint32_t bad_streak = 0;       ///< Consecutive slow or failed completions.
    double usual_latency_us =
        0; ///< Smoothed latency of good completions in microseconds; 0 before the first.
    instant cold_since{};
    cold_cause last_cold_cause = cold_cause::new_process;
};

auto make_warmup(const warmup_options& options, instant now) -> warmup_state;

/// Resets the limit to that of a cold target.
auto reset_to_cold(warmup_state& state, cold_cause reason, instant now) -> void;

/// Records a request that ended after @a latency in the target. Raises the limit by at most one, or resets
/// it.
auto on_completion(warmup_state& state, bool succeeded, duration latency, instant now) -> void;

/// The limit as a fraction of the slots; 1 for a warm target.
auto warm_fraction(const warmup_state& state) -> double;

} // namespace teaselcross
