#include "logging/log.h"

#include <atomic>

namespace teaselcross::log {

namespace {

auto current_sink() -> std::atomic<sink>& {
    static auto where = std::atomic<sink>{nullptr};
    return where;
}

auto least_level() -> std::atomic<level>& {
    static auto least = std::atomic<level>{level::info};
    return least;
}

auto needs_quotes(const std::string& value) -> bool {
    return value.empty() || value.find_first_of(" \"=\n\t") != std::string::npos;
}

auto append_quoted(std::string& line, const std::string& value) -> void {
    line += '"';
    for (const auto character : value) {
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        line += character == '\n' ? ' ' : character;
    }
    line += '"';
}

} // namespace

auto set_sink(sink where, level minimum) -> void {
    least_level().store(minimum, std::memory_order_relaxed);
    current_sink().store(where, std::memory_order_release);
}

auto level_named(const std::string& name) -> level {
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
    for (const auto& each : fields) {
        line += ' ';
        line += each.key;
        line += '=';
        if (needs_quotes(each.value)) {
            append_quoted(line, each.value);
        } else {
            line += each.value;
        }
    }
    return line;
}

auto write(level severity, std::string_view event, std::initializer_list<field> fields) -> void {
    const auto where = current_sink().load(std::memory_order_acquire);
    if (where != nullptr && severity >= least_level().load(std::memory_order_relaxed)) {
        where(severity, format(event, fields));
    }
}

} // namespace teaselcross::log
