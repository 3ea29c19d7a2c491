#pragma once

// The clocks of the process. Everything that decides gets its time from here as an argument.

#include "core/time.h"

namespace teaselcross {

/// The monotonic time, which goes on while the machine sleeps. Thread safe.
auto monotonic_now() -> instant;

/// The time of day. Thread safe.
auto wall_now() -> wall_time;

} // namespace teaselcross
