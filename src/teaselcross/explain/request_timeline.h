#pragma once

// Reconstructs the history of one request from the logs of any number of instances.

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselcross {

/// One line of an instance's log.
struct log_line {
    std::int64_t wall_ms = 0;   ///< Time of day at that instance.
    std::int64_t steady_us = 0; ///< The instance's monotonic clock; orders the lines of one process.
    std::string instance;
    std::string event;
    std::map<std::string, std::string> fields;
    std::string text; ///< The whole line.
};

/// Parses one line of an instance's log; empty when @a text is not such a line. Thread safe.
auto parse_log_line(std::string_view text) -> std::optional<log_line>;

/// Returns the valid log lines of @a input in their order. Skips lines that were truncated when the process
/// was killed. Thread safe.
auto read_log(std::istream& input) -> std::vector<log_line>;

/// Why a log line is part of a request's timeline.
enum class timeline_entry_kind {
    request,        ///< The line contains the request ID.
    instance_state, ///< State known to the instance that received the request, as of the request's end.
    cause, ///< An event that affected its target or service, on any instance, around the request's end.
};

struct timeline_entry {
    timeline_entry_kind kind = timeline_entry_kind::request;
    log_line line;
};

struct timeline_options {
    /// How long before the request's end a cause may lie, in milliseconds. Clocks differ between instances,
    /// so causes up to a tenth of this after the end are included as well.
    std::int64_t window_ms = 5000;
    std::size_t max_causes = 40; ///< With more causes, the latest ones are kept.
};

/// Returns the timeline of the request @a id, sorted by time of day; empty when no line contains the ID.
/// Thread safe.
auto build_timeline(const std::vector<log_line>& lines, const std::string& id,
                    const timeline_options& options = {}) -> std::vector<timeline_entry>;

/// Formats the timeline as text, one line per entry, with times relative to the request's last line. Thread
/// safe.
auto to_text(const std::vector<timeline_entry>& timeline) -> std::string;

} // namespace teaselcross
