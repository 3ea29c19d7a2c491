// Logging from one event loop: lines are collected and written in pieces that a pipe takes without blocking.

#include "logging/log.h"

#include "runtime/clock.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace teaselcross::log {

namespace {

/// Lines beyond it are counted and left out: a reader that has stopped must not cost memory without bound.
constexpr auto most_bytes = std::size_t{512} * 1024;

struct collected {
    std::string prefix;
    std::string lines;
    std::uint64_t left_out = 0;
};

auto state() -> collected& {
    static auto instance = collected{};
    return instance;
}

auto append_line(level severity, const std::string& text) -> void {
    auto& now = state();
    if (now.lines.size() + text.size() > most_bytes) {
        ++now.left_out;
        return;
    }
    now.lines += "ms=" + std::to_string(wall_now().count()) +
                 " up_us=" + std::to_string(monotonic_now().time_since_epoch().count()) + " level=";
    now.lines += level_names[static_cast<std::size_t>(severity)];
    now.lines += now.prefix;
    now.lines += text;
    now.lines += '\n';
}

auto takes_output() -> bool {
    auto output = pollfd{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

} // namespace

auto start_direct(const std::string& instance, const std::string& minimum) -> void {
    state() = {.prefix = " instance=" + instance + " "};
    set_sink(append_line, level_named(minimum));
}

auto flush_direct() -> void {
    auto& now = state();
    if (now.left_out > 0 && now.lines.size() < most_bytes / 2) {
        const auto count = std::exchange(now.left_out, 0);
        warning("log_lines_left_out", {{"count", count}});
    }
    auto written = std::size_t{0};
    // A pipe that is writable takes PIPE_BUF bytes without blocking.
    while (written < now.lines.size() && takes_output()) {
        const auto size = std::min<std::size_t>(now.lines.size() - written, PIPE_BUF);
        const auto done = ::write(STDOUT_FILENO, now.lines.data() + written, size);
        if (done <= 0) {
            break; // Kept for the next time; what does not fit then is counted.
        }
        written += static_cast<std::size_t>(done);
    }
    now.lines.erase(0, written);
}

} // namespace teaselcross::log
