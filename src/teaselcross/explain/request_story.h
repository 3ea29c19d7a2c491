#pragma once

// What became of one request, put together from the logs of any number of instances.

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

/// Parses @a text; nothing when it is no line of an instance's log. Thread safe.
auto parse_log_line(std::string_view text) -> std::optional<log_line>;

/// The lines of a log that can be read, in their order. Lines cut by a kill are passed over. Thread safe.
auto read_log(std::istream& from) -> std::vector<log_line>;

/// A line of the story and why it belongs there.
enum class story_part {
    request, ///< It names the request.
    belief,  ///< What the instance that took the request believed last before its end.
    cause, ///< Something that happened to its target or its service, at any instance, shortly before its end.
};

struct story_line {
    story_part part = story_part::request;
    log_line line;
};

struct story_options {
    /// How far before the request's end other instances' lines are of interest. The time of day differs
    /// between instances, so the end is looked past by a tenth of this.
    std::int64_t reach_ms = 5000;
    std::size_t most_causes = 40; ///< The latest ones are kept.
};

/// The story of the request @a id, in order of time; empty when no line names it. Thread safe.
auto tell_story(const std::vector<log_line>& lines, const std::string& id, const story_options& options = {})
    -> std::vector<story_line>;

/// The story as text, one line each, with times relative to the request's last line. Thread safe.
auto to_text(const std::vector<story_line>& story) -> std::string;

} // namespace teaselcross
