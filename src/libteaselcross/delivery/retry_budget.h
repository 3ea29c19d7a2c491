#pragma once

// The share of a fleet-wide retry budget that one instance may spend on a service.

#include "core/time.h"

#include <array>
#include <cstdint>

namespace teaselcross {

struct retry_budget_options {
    double ratio = 0.2; ///< Extra sends for each request.
    double extra = 0;   ///< Extra sends of all instances in a window beside the ratio.
    duration window = std::chrono::seconds{10}; ///< Any span of this length counts.
    double reserve = 0.15;                      ///< Left unspent, since windows of instances don't coincide.
};

/// Requests and extra sends in a sliding window of slices. Not thread safe.
struct retry_budget {
    static constexpr auto slices = std::size_t{11}; ///< One more than fit, so that no window counts too few.

    std::array<std::uint32_t, slices> requests{};
    std::array<std::uint32_t, slices> extras{};
    std::int64_t slice = 0; ///< Number of the newest slice since the start of the clock.
};

/// A caller's request for the service arrived.
auto count_request(retry_budget& state, const retry_budget_options& options, instant now) -> void;

/// Requests a second over the window before @a now.
auto request_rate(retry_budget& state, const retry_budget_options& options, instant now) -> double;

/// Takes one extra send, when the budget allows it. @a instances share the extra part evenly; the ratio
/// applies to the requests that this instance has itself seen, so uneven traffic does not overdraw the whole.
auto take_extra(retry_budget& state, const retry_budget_options& options, std::size_t instances, instant now)
    -> bool;

} // namespace teaselcross
