#include "runtime/clock.h"

#include <ctime>

namespace teaselcross {

auto monotonic_now() -> instant {
    auto time = timespec{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return instant{std::chrono::duration_cast<duration>(std::chrono::seconds{time.tv_sec} +
                                                        std::chrono::nanoseconds{time.tv_nsec})};
}

auto wall_now() -> wall_time {
    return std::chrono::duration_cast<wall_time>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace teaselcross
