#include "explain/request_timeline.h"

#include "core/enum_names.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <set>

namespace teaselcross {

namespace {

constexpr auto timeline_entry_kind_names = enum_table<timeline_entry_kind, 3>{"request", "belief", "cause"};

/// Events that change the state known to an instance, grouped by subject: the last event of each group before
/// the request's end tells the state at that time.
struct instance_state_group {
    std::string_view name;
    std::array<std::string_view, 5> events;
};
constexpr auto instance_state_groups = std::array<instance_state_group, 7>{{
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

/// Events of the controller that affect key assignments; they are relevant to every request for a key.
constexpr auto control_events = std::array<std::string_view, 5>{
    "controller_began", "controller_ended", "orders_suspended", "orders_resumed", "lease_released"};

auto to_number(std::string_view text) -> std::int64_t {
    auto number = std::int64_t{0};
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// Removes one value from the front of @a rest, either quoted or ending at the next space, and returns it.
auto consume_value(std::string_view& rest) -> std::string {
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

auto field_value(const log_line& line, const std::string& name) -> std::string {
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? std::string{} : found->second;
}

template <class Names>
auto is_among(const Names& names, const std::string& event) -> bool {
    return !event.empty() && std::find(names.begin(), names.end(), event) != names.end();
}

/// The instances, targets, services and key named in the request's own log lines.
struct request_scope {
    std::set<std::string> instances;
    std::set<std::string> targets;
    std::set<std::string> services;
    std::optional<std::int64_t> key; ///< Moves of other keys are not relevant.
};

auto collect_scope(const std::vector<timeline_entry>& request_entries) -> request_scope {
    auto scope = request_scope{};
    for (const auto& each : request_entries) {
        scope.instances.insert(each.line.instance);
        scope.targets.insert(field_value(each.line, "target"));
        scope.services.insert(field_value(each.line, "service"));
        scope.targets.insert(field_value(each.line, "owner"));
        const auto key = field_value(each.line, "key");
        if (!key.empty() && key != "none") {
            scope.key = to_number(key);
        }
    }
    scope.targets.erase(std::string{});
    scope.services.erase(std::string{});
    return scope;
}

/// Start of the process that wrote @a last, on its monotonic clock. Earlier events of the instance do not
/// count, since a restart discards the known state.
auto process_start_us(const std::vector<log_line>& lines, const log_line& last) -> std::int64_t {
    auto start_us = std::int64_t{0};
    for (const auto& line : lines) {
        const auto earlier = line.steady_us <= last.steady_us && line.wall_ms <= last.wall_ms;
        if (line.instance == last.instance && line.event == "started" && earlier) {
            start_us = std::max(start_us, line.steady_us);
        }
    }
    return start_us;
}

auto add_instance_states(const std::vector<log_line>& lines, const log_line& last,
                         std::vector<timeline_entry>& timeline) -> void {
    const auto start_us = process_start_us(lines, last);
    for (const auto& group : instance_state_groups) {
        const log_line* latest = nullptr;
        for (const auto& line : lines) {
            const auto matches = line.instance == last.instance && is_among(group.events, line.event);
            const auto earlier = line.steady_us <= last.steady_us && line.wall_ms <= last.wall_ms;
            if (matches && earlier && line.steady_us >= start_us &&
                (latest == nullptr || line.steady_us >= latest->steady_us)) {
                latest = &line;
            }
        }
        if (latest != nullptr) {
            timeline.push_back({.kind = timeline_entry_kind::instance_state, .line = *latest});
        }
    }
}

/// Whether the key range in @a line includes the request's key; true when either is unknown.
auto includes_key(const log_line& line, const request_scope& scope) -> bool {
    const auto first = field_value(line, "first");
    const auto last = field_value(line, "last");
    return !scope.key || first.empty() || (to_number(first) <= *scope.key && *scope.key <= to_number(last));
}

auto is_cause(const log_line& line, const request_scope& scope) -> bool {
    if (is_among(control_events, line.event)) {
        return !scope.services.empty() && !scope.instances.contains(line.instance);
    }
    if (line.event.starts_with("target_")) {
        return scope.targets.contains(field_value(line, "target"));
    }
    if (line.event == "key_order") {
        return scope.targets.contains(field_value(line, "target")) && includes_key(line, scope);
    }
    if (line.event == "range_moves" || line.event == "keys_assigned") {
        return scope.services.contains(field_value(line, "service")) && includes_key(line, scope);
    }
    return line.event.starts_with("data_centre_") && scope.instances.contains(line.instance);
}

auto add_causes(const std::vector<log_line>& lines, const request_scope& scope, std::int64_t end_ms,
                const timeline_options& options, std::vector<timeline_entry>& timeline) -> void {
    auto causes = std::vector<timeline_entry>{};
    for (const auto& line : lines) {
        const auto in_window =
            line.wall_ms >= end_ms - options.window_ms && line.wall_ms <= end_ms + options.window_ms / 10;
        if (in_window && is_cause(line, scope)) {
            causes.push_back({.kind = timeline_entry_kind::cause, .line = line});
        }
    }
    std::stable_sort(causes.begin(), causes.end(), [](const auto& left, const auto& right) {
        return left.line.wall_ms < right.line.wall_ms;
    });
    const auto kept_count = std::min(causes.size(), options.max_causes);
    timeline.insert(timeline.end(), causes.end() - static_cast<std::ptrdiff_t>(kept_count), causes.end());
}

} // namespace

auto parse_log_line(std::string_view text) -> std::optional<log_line> {
    const auto start = text.find("ms="); // Log collectors may add a prefix to a line.
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
        line.fields.insert_or_assign(std::move(name), consume_value(rest));
        rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    }
    line.instance = field_value(line, "instance");
    line.event = field_value(line, "event");
    if (line.instance.empty() || line.event.empty()) {
        return std::nullopt;
    }
    // The first "ms" is the time of day; an event may have another field with that name.
    line.wall_ms = to_number(text.substr(start + std::string_view{"ms="}.size()));
    line.steady_us = to_number(field_value(line, "up_us"));
    return line;
}

auto read_log(std::istream& input) -> std::vector<log_line> {
    auto lines = std::vector<log_line>{};
    auto text = std::string{};
    while (std::getline(input, text)) {
        if (auto line = parse_log_line(text)) {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

auto build_timeline(const std::vector<log_line>& lines, const std::string& id,
                    const timeline_options& options) -> std::vector<timeline_entry> {
    auto timeline = std::vector<timeline_entry>{};
    for (const auto& line : lines) {
        if (field_value(line, "id") == id) {
            timeline.push_back({.kind = timeline_entry_kind::request, .line = line});
        }
    }
    if (timeline.empty()) {
        return timeline;
    }
    const auto by_time = [](const auto& left, const auto& right) {
        return left.line.wall_ms < right.line.wall_ms;
    };
    std::stable_sort(timeline.begin(), timeline.end(), by_time);
    const auto last = timeline.back().line;
    const auto scope = collect_scope(timeline);
    add_instance_states(lines, last, timeline);
    add_causes(lines, scope, last.wall_ms, options, timeline);
    std::stable_sort(timeline.begin(), timeline.end(), by_time);
    return timeline;
}

auto to_text(const std::vector<timeline_entry>& timeline) -> std::string {
    auto end_ms = std::int64_t{0};
    for (const auto& each : timeline) {
        end_ms = each.kind == timeline_entry_kind::request ? std::max(end_ms, each.line.wall_ms) : end_ms;
    }
    auto text = std::string{};
    for (const auto& each : timeline) {
        constexpr auto width = std::size_t{9};
        auto offset = std::to_string(each.line.wall_ms - end_ms) + " ms";
        offset.insert(0, width - std::min(width, offset.size()), ' ');
        const auto event = each.line.text.find("event=");
        text += offset + "  " + std::string{name_in(timeline_entry_kind_names, each.kind)} + "  " +
                each.line.instance + "  " + each.line.text.substr(event) + "\n";
    }
    return text;
}

} // namespace teaselcross
