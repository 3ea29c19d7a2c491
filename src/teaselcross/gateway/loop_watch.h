#pragma once

// Says in the log what an event loop did when it was late, so that a late answer can be told from one that
// was lost.

#include "core/time.h"

#include <cstdint>

namespace teaselcross {

/// What an event loop has done so far.
struct loop_work {
    std::uint64_t requests = 0;
    std::uint64_t orders = 0; ///< To targets, that have ended.
    std::uint64_t orders_not_sent = 0;
    std::uint64_t copied_bytes = 0; ///< Of the store's objects.
};

/// Not thread safe.
class loop_watch {
public:
    /// Notes that a timer was @a delay late. Once a second at the most, a line tells the longest delay since
    /// the last line and the work since then.
    auto note(duration delay, const loop_work& so_far, instant now) -> void;

private:
    loop_work m_before;
    duration m_longest{};
    instant m_since{};
};

} // namespace teaselcross
