#pragma once

// Monotonic time as an argument of the decision logic. Nothing in the library reads a clock.

#include <chrono>
#include <cstdint>

namespace teaselcross {

/// Tag for the monotonic clock of one process; it has no now(), because time is always an argument.
struct monotonic_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

using duration = monotonic_clock::duration;

/// A point in the monotonic time of one process. Instants of two processes cannot be compared.
using instant = monotonic_clock::time_point;

/// Milliseconds since the Unix epoch, for identities and audit entries only, never for leases.
using wall_time = std::chrono::milliseconds;

/// Extends @a period by the largest relative error allowed between two monotonic clocks.
constexpr auto with_drift(duration period, std::uint32_t drift_ppm) -> duration {
    constexpr auto parts_per_million = 1'000'000;
    return period + duration{period.count() * drift_ppm / parts_per_million + 1};
}

} // namespace teaselcross
