#pragma once

// Tells callers that come back after a refusal from new ones.
//
// Answers the pattern of refused callers that return into the same overload: one that was refused twice has
// given up for good, so it goes before one that can still come back. All callers of a rule wait equally long
// at first; one that comes back has less time left. Those that repeat at once are not served before others.

#include "core/time.h"

namespace teaselcross {

struct returning_options {
    /// Less time gone than this means a new caller, or one that did not wait as it was told.
    duration least_gone = std::chrono::milliseconds{60};
    duration memory =
        std::chrono::seconds{10}; ///< How long the longest wait is remembered, and half as long again.
};

/// The longest time that callers of one rule said they wait.
struct patience_memory {
    duration longest{};  ///< In the present window.
    duration previous{}; ///< In the window before.
    instant began{};     ///< Of the present window.
};

/// Takes note of a caller that waits for @a patience from @a now, and tells whether it has come back.
/// Not thread safe on the same memory.
auto is_returning(patience_memory& memory, duration patience, const returning_options& options, instant now)
    -> bool;

} // namespace teaselcross
