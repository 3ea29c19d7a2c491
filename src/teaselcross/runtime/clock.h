#pragma once

// The clocks of the process. Code with decision logic takes the time as an argument instead of reading a
// clock.

#include "core/time.h"

namespace teaselcross {

/// The monotonic time, including the time in which the machine is suspended. Thread-safe.
auto monotonic_now() -> instant;

/// The time of day. Thread-safe.
auto wall_now() -> wall_time;

} // namespace teaselcross
