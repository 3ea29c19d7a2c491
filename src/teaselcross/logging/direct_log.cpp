// Logging for programs with a single event loop: lines are buffered and written in chunks that a pipe accepts
// without blocking.

#include "logging/log.h"

#include "runtime/clock.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace teaselcross::log {

namespace {

/// Limit of the buffer. Further lines are counted and dropped, so that a stalled reader of standard output
/// does not make memory use grow without bound.
constexpr auto max_buffer_bytes = std::size_t{512} * 1024;

struct line_buffer {
    std::string prefix;
    std::string lines;
    std::uint64_t dropped_lines = 0;
};

auto buffer_state() -> line_buffer& {
    static auto instance = line_buffer{};
    return instance;
}

auto append_line(level severity, const std::string& text) -> void {
    auto& buffer = buffer_state();
    if (buffer.lines.size() + text.size() > max_buffer_bytes) {
        ++buffer.dropped_lines;
        return;
    }
    buffer.lines += "ms=" + std::to_string(wall_now().count()) +
                    " up_us=" + std::to_string(monotonic_now().time_since_epoch().count()) + " level=";
    buffer.lines += level_names[static_cast<std::size_t>(severity)];
    buffer.lines += buffer.prefix;
    buffer.lines += text;
    buffer.lines += '\n';
}

auto is_stdout_writable() -> bool {
    auto output = pollfd{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

} // namespace

auto start_direct(const std::string& instance, const std::string& minimum) -> void {
    buffer_state() = {.prefix = " instance=" + instance + " "};
    set_sink(append_line, parse_level(minimum));
}

auto flush_direct() -> void {
    auto& buffer = buffer_state();
    if (buffer.dropped_lines > 0 && buffer.lines.size() < max_buffer_bytes / 2) {
        const auto count = std::exchange(buffer.dropped_lines, 0);
        warning("log_lines_left_out", {{"count", count}});
    }
    auto written = std::size_t{0};
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    while (written < buffer.lines.size() && is_stdout_writable()) {
        const auto size = std::min<std::size_t>(buffer.lines.size() - written, PIPE_BUF);
        const auto result = ::write(STDOUT_FILENO, buffer.lines.data() + written, size);
        if (result <= 0) {
            break; // The rest stays buffered; lines beyond the limit are dropped and counted.
        }
        written += static_cast<std::size_t>(result);
    }
    buffer.lines.erase(0, written);
}

} // namespace teaselcross::log
