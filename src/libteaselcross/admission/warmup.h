#pragma once

// How much work a target bears, learned from what it does: few requests after a start, more with evidence.
// The target's own report plays no part.

#include "core/enum_names.h"
#include "core/time.h"

#include <cstdint>

namespace teaselcross {

struct warmup_options {
    std::uint32_t slots = 1;                             ///< In flight when warm.
    std::uint32_t cold_slots = 1;                        ///< In flight right after a start.
    duration step_time = std::chrono::milliseconds{500}; ///< The least time at one limit before the next.
    std::uint32_t step_completions = 32;                 ///< Good completions at one limit before the next.
    double slow_factor = 4.0;      ///< A completion this much slower than usual is evidence of trouble.
    std::uint32_t slow_streak = 3; ///< Slow or failed completions in a row that send the target back to cold.
};

/// Why a target went back to its cold limit.
enum class cold_cause { new_process, failures, latency_step };
constexpr enum_table<cold_cause, 3> cold_cause_names{"new_process", "failures", "latency_step"};

struct warmup_state {
    warmup_options options;
    std::uint32_t limit = 1; ///< Requests allowed in flight now.
    instant limit_since{};
    std::uint32_t good_completions = 0; ///< Good completions at this limit.
    std::uint32_t bad_streak = 0;       ///< Slow or failed completions in a row.
    double usual_latency_us =
        0; ///< Latency in microseconds, smoothed over good completions; 0 before the first.
    instant cold_since{};
    cold_cause last_cold_cause = cold_cause::new_process;
};

auto make_warmup(const warmup_options& options, instant now) -> warmup_state;

/// Back to the cold limit.
auto reset_to_cold(warmup_state& state, cold_cause reason, instant now) -> void;

/// A request finished after @a latency in the target. Raises the limit by one at most.
auto on_completion(warmup_state& state, bool good, duration latency, instant now) -> void;

/// 0 for a cold target, 1 for one at its full slots.
auto warm_fraction(const warmup_state& state) -> double;

} // namespace teaselcross
