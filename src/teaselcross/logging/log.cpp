#include "logging/log.h"

#include "core/field_text.h"

#include <algorithm>
#include <atomic>

namespace teaselcross::log {

namespace {

auto current_sink() -> std::atomic<sink>& {
    static auto output = std::atomic<sink>{nullptr};
    return output;
}

auto minimum_level() -> std::atomic<level>& {
    static auto minimum = std::atomic<level>{level::info};
    return minimum;
}

auto needs_quotes(const std::string& value) -> bool {
    return value.empty() || value.find_first_of(" \"=\\") != std::string::npos ||
           std::any_of(value.begin(), value.end(), is_control_character);
}

auto append_quoted(std::string& line, const std::string& value) -> void {
    line += '"';
    for (const auto character : value) {
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        line += is_control_character(character) ? ' ' : character; // It could end the line.
    }
    line += '"';
}

} // namespace

auto set_sink(sink output, level minimum) -> void {
    minimum_level().store(minimum, std::memory_order_relaxed);
    current_sink().store(output, std::memory_order_release);
}

auto parse_level(const std::string& name) -> level {
    if (name == "debug") {
        return level::debug;
    }
    if (name == "warning") {
        return level::warning;
    }
    return name == "error" ? level::error : level::info;
}

auto format(std::string_view event, std::initializer_list<field> fields) -> std::string {
    auto line = "event=" + std::string{event};
    for (const auto& entry : fields) {
        line += ' ';
        line += entry.key;
        line += '=';
        if (needs_quotes(entry.value)) {
            append_quoted(line, entry.value);
        } else {
            line += entry.value;
        }
    }
    return line;
}

auto write(level severity, std::string_view event, std::initializer_list<field> fields) -> void {
    const auto output = current_sink().load(std::memory_order_acquire);
    if (output != nullptr && severity >= minimum_level().load(std::memory_order_relaxed)) {
        output(severity, format(event, fields));
    }
}

} // namespace teaselcross::log
