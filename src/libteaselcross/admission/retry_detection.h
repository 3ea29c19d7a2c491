#pragma once

// Tells callers that come back after a refusal from new ones.
//
// Answers the pattern of refused callers that return into the same overload: one that was refused twice has
// given up for good, so it goes before one that can still come back. All callers of a rule wait equally long
// at first; one that comes back has less time left. Those that repeat at once are not served before others.

#include "core/time.h"

namespace teaselcross {

struct retry_detection_options {
    /// Less time gone than this means a new caller, or one that did not wait as it was told.
    duration min_elapsed = std::chrono::milliseconds{60};
    duration window =
        std::chrono::seconds{10}; ///< How long the longest wait is remembered, and half as long again.
};

/// The longest time that callers of one rule said they wait.
struct patience_window {
    duration max_patience{};          ///< In the present window.
    duration previous_max_patience{}; ///< In the window before.
    instant window_start{};           ///< Of the present window.
};

/// Takes note of a caller that waits for @a patience from @a now, and tells whether it has come back.
/// Not thread safe on the same memory.
auto detect_retry(patience_window& memory, duration patience, const retry_detection_options& options,
                  instant now) -> bool;

} // namespace teaselcross
