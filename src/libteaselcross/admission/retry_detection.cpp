#include "admission/retry_detection.h"

#include <algorithm>
#include <utility>

namespace teaselcross {

auto detect_retry(patience_window& memory, duration patience, const retry_detection_options& options,
                  instant now) -> bool {
    if (now - memory.window_start >= options.window) {
        memory.previous_max_patience = std::exchange(memory.max_patience, duration::zero());
        memory.window_start = now;
    }
    memory.max_patience = std::max(memory.max_patience, patience);
    return std::max(memory.max_patience, memory.previous_max_patience) - patience >= options.min_elapsed;
}

} // namespace teaselcross
