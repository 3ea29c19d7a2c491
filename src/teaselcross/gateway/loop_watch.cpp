#include "gateway/loop_watch.h"

#include "logging/log.h"

#include <algorithm>

namespace teaselcross {

namespace {

constexpr auto log_interval = duration{std::chrono::seconds{1}};
/// A delay that callers and other instances notice.
constexpr auto late = duration{std::chrono::milliseconds{100}};

} // namespace

auto loop_watch::note(duration delay, const loop_work& so_far, instant now) -> void {
    m_longest = std::max(m_longest, delay);
    if (now - m_since < log_interval) {
        return;
    }
    if (m_longest >= late) {
        log::warning("event_loop_late", {{"ms", m_longest.count() / 1000},
                                         {"within_ms", (now - m_since).count() / 1000},
                                         {"requests", so_far.requests - m_before.requests},
                                         {"orders", so_far.orders - m_before.orders},
                                         {"not_sent", so_far.orders_not_sent - m_before.orders_not_sent},
                                         {"copied_bytes", so_far.copied_bytes - m_before.copied_bytes}});
    }
    m_before = so_far;
    m_longest = {};
    m_since = now;
}

} // namespace teaselcross
