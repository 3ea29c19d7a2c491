#include "admission/retry_detection.h"

#include <algorithm>
#include <utility>

namespace teaselcross {

auto detect_retry(patience_window& state, duration patience, const retry_detection_options& options,
                  instant now) -> bool {
    if (now - state.window_start >= options.window) {
        state.previous_max_patience = std::exchange(state.max_patience, duration::zero());
        state.window_start = now;
    }
    state.max_patience = std::max(state.max_patience, patience);
    return waited_before(state, patience) >= options.min_elapsed;
}

auto waited_before(const patience_window& state, duration patience) -> duration {
    return std::max(state.max_patience, state.previous_max_patience) - patience;
}

} // namespace teaselcross
