#include "gateway/graceful_stop.h"

#include "gateway/store_access.h"
#include "runtime/clock.h"

#include <algorithm>

namespace teaselcross {

namespace {

/// The load balancer checks readiness once a second and removes an instance after two failures, so callers
/// keep arriving until then. A request that arrives more than three seconds after the signal may not be
/// answered in time.
constexpr auto caller_drain_time = duration{std::chrono::milliseconds{2800}};
/// Everything must have ended this long before the platform kills the process.
constexpr auto stop_margin = duration{std::chrono::milliseconds{500}};
constexpr auto check_interval = duration{std::chrono::milliseconds{20}};

} // namespace

auto make_stop_schedule(instant ordered, duration grace) -> stop_schedule {
    return {.stop_accepting = ordered + std::min(caller_drain_time, grace / 2),
            .give_up = ordered + grace * 5 / 6,
            .end = ordered + grace - std::min(stop_margin, grace / 12)};
}

auto stop_serving(http_server& callers, request_router& router, stop_schedule schedule)
    -> boost::asio::awaitable<void> {
    router.refuse_unfinishable(schedule.stop_accepting, schedule.give_up);
    while (monotonic_now() < schedule.stop_accepting) {
        co_await sleep_for(check_interval);
    }
    callers.stop();
    // A request may still arrive on a connection that has been quiet so far.
    const auto is_in_use = [&callers] { return callers.busy() > 0 || callers.connections() > 0; };
    while (is_in_use() && monotonic_now() < schedule.give_up) {
        co_await sleep_for(check_interval);
    }
    // Whatever has no answer by now is answered without one: the process would be killed with it.
    router.give_up_waiting();
    // A connection stays until its caller has closed it, which shows that the last answer has arrived.
    while (is_in_use() && monotonic_now() < schedule.end) {
        co_await sleep_for(check_interval);
    }
}

} // namespace teaselcross
