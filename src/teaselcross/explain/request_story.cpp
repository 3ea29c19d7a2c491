#include "explain/request_story.h"

#include "core/enum_names.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <set>

namespace teaselcross {

namespace {

constexpr auto story_part_names = enum_table<story_part, 3>{"request", "belief", "cause"};

/// Events after which an instance believes something else, grouped by what they are about: the last of each
/// group before the request's end says what it believed then.
struct belief_topic {
    std::string_view name;
    std::array<std::string_view, 5> events;
};
constexpr auto belief_topics = std::array<belief_topic, 7>{{
    {.name = "process", .events = {"started", "stopping", "stopped"}},
    {.name = "readiness", .events = {"readiness"}},
    {.name = "settings", .events = {"settings_reloaded", "settings_refused"}},
    {.name = "config", .events = {"config_in_force", "config_unusable"}},
    {.name = "store", .events = {"store_lost", "store_regained", "store_history_lost"}},
    {.name = "relay", .events = {"relay_lost"}},
    {.name = "controller",
     .events = {"controller_began", "controller_ended", "orders_suspended", "orders_resumed",
                "lease_released"}},
}};

/// Events that decide over keys at the instance that controls; they concern every request for a key.
constexpr auto control_events = std::array<std::string_view, 5>{
    "controller_began", "controller_ended", "orders_suspended", "orders_resumed", "lease_released"};

auto to_number(std::string_view text) -> std::int64_t {
    auto number = std::int64_t{0};
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// Takes one value from the front of @a rest, quoted or up to the next blank.
auto take_value(std::string_view& rest) -> std::string {
    auto value = std::string{};
    if (rest.empty() || rest.front() != '"') {
        const auto end = std::min(rest.find(' '), rest.size());
        value = rest.substr(0, end);
        rest.remove_prefix(end);
        return value;
    }
    rest.remove_prefix(1);
    while (!rest.empty() && rest.front() != '"') {
        if (rest.front() == '\\' && rest.size() > 1) {
            rest.remove_prefix(1);
        }
        value += rest.front();
        rest.remove_prefix(1);
    }
    rest.remove_prefix(std::min<std::size_t>(rest.size(), 1));
    return value;
}

auto field_of(const log_line& line, const std::string& name) -> std::string {
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? std::string{} : found->second;
}

template <class Names>
auto is_among(const Names& names, const std::string& event) -> bool {
    return !event.empty() && std::find(names.begin(), names.end(), event) != names.end();
}

/// What the request's own lines say it had to do with.
struct involved {
    std::set<std::string> instances;
    std::set<std::string> targets;
    std::set<std::string> services;
    std::optional<std::int64_t> key; ///< Moves of other keys don't concern it.
};

auto collect_involved(const std::vector<story_line>& own) -> involved {
    auto found = involved{};
    for (const auto& each : own) {
        found.instances.insert(each.line.instance);
        found.targets.insert(field_of(each.line, "target"));
        found.services.insert(field_of(each.line, "service"));
        found.targets.insert(field_of(each.line, "owner"));
        const auto key = field_of(each.line, "key");
        if (!key.empty() && key != "none") {
            found.key = to_number(key);
        }
    }
    found.targets.erase(std::string{});
    found.services.erase(std::string{});
    return found;
}

/// When the process that wrote @a last started; what was believed before it is forgotten.
auto start_of(const std::vector<log_line>& lines, const log_line& last) -> std::int64_t {
    auto started = std::int64_t{0};
    for (const auto& line : lines) {
        const auto earlier = line.steady_us <= last.steady_us && line.wall_ms <= last.wall_ms;
        if (line.instance == last.instance && line.event == "started" && earlier) {
            started = std::max(started, line.steady_us);
        }
    }
    return started;
}

auto add_beliefs(const std::vector<log_line>& lines, const log_line& last, std::vector<story_line>& story)
    -> void {
    const auto started = start_of(lines, last);
    for (const auto& topic : belief_topics) {
        const log_line* latest = nullptr;
        for (const auto& line : lines) {
            const auto concerns = line.instance == last.instance && is_among(topic.events, line.event);
            const auto earlier = line.steady_us <= last.steady_us && line.wall_ms <= last.wall_ms;
            if (concerns && earlier && line.steady_us >= started &&
                (latest == nullptr || line.steady_us >= latest->steady_us)) {
                latest = &line;
            }
        }
        if (latest != nullptr) {
            story.push_back({.part = story_part::belief, .line = *latest});
        }
    }
}

/// Whether the keys that @a line names include the request's, as far as either is known.
auto concerns_key(const log_line& line, const involved& with) -> bool {
    const auto first = field_of(line, "first");
    const auto last = field_of(line, "last");
    return !with.key || first.empty() || (to_number(first) <= *with.key && *with.key <= to_number(last));
}

auto is_cause(const log_line& line, const involved& with) -> bool {
    if (is_among(control_events, line.event)) {
        return !with.services.empty() && !with.instances.contains(line.instance);
    }
    if (line.event.starts_with("target_")) {
        return with.targets.contains(field_of(line, "target"));
    }
    if (line.event == "key_order") {
        return with.targets.contains(field_of(line, "target")) && concerns_key(line, with);
    }
    if (line.event == "range_moves" || line.event == "keys_assigned") {
        return with.services.contains(field_of(line, "service")) && concerns_key(line, with);
    }
    return line.event.starts_with("data_centre_") && with.instances.contains(line.instance);
}

auto add_causes(const std::vector<log_line>& lines, const involved& with, std::int64_t end_ms,
                const story_options& options, std::vector<story_line>& story) -> void {
    auto causes = std::vector<story_line>{};
    for (const auto& line : lines) {
        const auto near =
            line.wall_ms >= end_ms - options.reach_ms && line.wall_ms <= end_ms + options.reach_ms / 10;
        if (near && is_cause(line, with)) {
            causes.push_back({.part = story_part::cause, .line = line});
        }
    }
    std::stable_sort(causes.begin(), causes.end(), [](const auto& left, const auto& right) {
        return left.line.wall_ms < right.line.wall_ms;
    });
    const auto kept = std::min(causes.size(), options.most_causes);
    story.insert(story.end(), causes.end() - static_cast<std::ptrdiff_t>(kept), causes.end());
}

} // namespace

auto parse_log_line(std::string_view text) -> std::optional<log_line> {
    const auto start = text.find("ms="); // Collectors put their own words before a line.
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    auto rest = text.substr(start);
    auto line = log_line{.text = std::string{rest}};
    while (!rest.empty()) {
        const auto equals = rest.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        auto name = std::string{rest.substr(0, equals)};
        rest.remove_prefix(equals + 1);
        line.fields.insert_or_assign(std::move(name), take_value(rest));
        rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    }
    line.instance = field_of(line, "instance");
    line.event = field_of(line, "event");
    if (line.instance.empty() || line.event.empty()) {
        return std::nullopt;
    }
    // The first "ms" is the time of day; events may have a field of that name, too.
    line.wall_ms = to_number(text.substr(start + std::string_view{"ms="}.size()));
    line.steady_us = to_number(field_of(line, "up_us"));
    return line;
}

auto read_log(std::istream& from) -> std::vector<log_line> {
    auto lines = std::vector<log_line>{};
    auto text = std::string{};
    while (std::getline(from, text)) {
        if (auto line = parse_log_line(text)) {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

auto tell_story(const std::vector<log_line>& lines, const std::string& id, const story_options& options)
    -> std::vector<story_line> {
    auto story = std::vector<story_line>{};
    for (const auto& line : lines) {
        if (field_of(line, "id") == id) {
            story.push_back({.part = story_part::request, .line = line});
        }
    }
    if (story.empty()) {
        return story;
    }
    const auto by_time = [](const auto& left, const auto& right) {
        return left.line.wall_ms < right.line.wall_ms;
    };
    std::stable_sort(story.begin(), story.end(), by_time);
    const auto last = story.back().line;
    const auto with = collect_involved(story);
    add_beliefs(lines, last, story);
    add_causes(lines, with, last.wall_ms, options, story);
    std::stable_sort(story.begin(), story.end(), by_time);
    return story;
}

auto to_text(const std::vector<story_line>& story) -> std::string {
    auto end_ms = std::int64_t{0};
    for (const auto& each : story) {
        end_ms = each.part == story_part::request ? std::max(end_ms, each.line.wall_ms) : end_ms;
    }
    auto text = std::string{};
    for (const auto& each : story) {
        constexpr auto width = std::size_t{9};
        auto ago = std::to_string(each.line.wall_ms - end_ms) + " ms";
        ago.insert(0, width - std::min(width, ago.size()), ' ');
        const auto event = each.line.text.find("event=");
        text += ago + "  " + std::string{name_in(story_part_names, each.part)} + "  " + each.line.instance +
                "  " + each.line.text.substr(event) + "\n";
    }
    return text;
}

} // namespace teaselcross
