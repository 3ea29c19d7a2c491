#pragma once

// Distinguishes callers that retry after a refusal from new callers.
//
// In a lasting overload refused callers retry, and a caller that is refused twice gives up, so a retry is
// served before a request whose caller can still retry. All callers of a rule start with the same timeout;
// one that retries has less of it left. Callers that retry without waiting are not preferred.

#include "core/time.h"

namespace teaselcross {

struct retry_detection_options {
    /// A caller with less of its timeout used than this is new, or did not wait for the retry delay that it
    /// was given.
    duration min_elapsed = std::chrono::milliseconds{60};
    /// Length of a window. The maximum of the current window and the one before it is used.
    duration window = std::chrono::seconds{10};
};

/// The longest timeout that callers of one rule announced, over two windows.
struct patience_window {
    duration max_patience{};          ///< In the current window.
    duration previous_max_patience{}; ///< In the window before it.
    instant window_start{};           ///< Of the current window.
};

/// Records a caller that waits for @a patience from @a now and returns whether it is a retry.
/// Not thread safe on the same @a state.
auto detect_retry(patience_window& state, duration patience, const retry_detection_options& options,
                  instant now) -> bool;

/// How long a caller that retries and waits for @a patience has waited since its first request.
auto waited_before(const patience_window& state, duration patience) -> duration;

} // namespace teaselcross
