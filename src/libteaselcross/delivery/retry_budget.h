#pragma once

// One instance's share of the retry budget that all instances have for a service.

#include "core/time.h"

#include <array>
#include <cstdint>

namespace teaselcross {

struct retry_budget_options {
    double ratio = 0.2; ///< Extra sends (retries) allowed per request.
    double extra = 0;   ///< Extra sends of all instances together per window, on top of the ratio.
    duration window = std::chrono::seconds{10}; ///< The budget holds over any span of this length.
    double reserve = 0.15; ///< Unused fraction, because the windows of the instances aren't aligned.
};

/// Requests and extra sends in a sliding window of slices. Not thread safe.
struct retry_budget {
    static constexpr auto slices =
        std::size_t{11}; ///< One more than a window holds, so that a partial slice is covered.

    std::array<std::uint32_t, slices> requests{};
    std::array<std::uint32_t, slices> extras{};
    std::int64_t slice = 0; ///< Number of the newest slice, counted from the clock's epoch.
};

/// Counts a request of a caller for the service.
auto count_request(retry_budget& state, const retry_budget_options& options, instant now) -> void;

/// Requests per second over the window before @a now.
auto request_rate(retry_budget& state, const retry_budget_options& options, instant now) -> double;

/// Whether nothing was counted in the window before @a now, so that the state is that of a new budget.
auto is_unused(retry_budget state, const retry_budget_options& options, instant now) -> bool;

/// Takes one extra send if the budget allows it; otherwise returns false. The fixed part (`extra`) is
/// divided evenly among @a instances; the ratio applies to the requests of this instance only, so uneven
/// traffic doesn't exceed the common budget.
auto take_extra(retry_budget& state, const retry_budget_options& options, std::size_t instances, instant now)
    -> bool;

} // namespace teaselcross
