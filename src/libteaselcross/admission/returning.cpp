#include "admission/returning.h"

#include <algorithm>
#include <utility>

namespace teaselcross {

auto is_returning(patience_memory& memory, duration patience, const returning_options& options, instant now)
    -> bool {
    if (now - memory.began >= options.memory) {
        memory.previous = std::exchange(memory.longest, duration::zero());
        memory.began = now;
    }
    memory.longest = std::max(memory.longest, patience);
    return std::max(memory.longest, memory.previous) - patience >= options.least_gone;
}

} // namespace teaselcross
