#pragma once

// Structured logging: one line of key=value pairs per event.

#include <array>
#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace teaselcross::log {

enum class level { debug, info, warning, error };

/// One key=value pair. Values that are empty or contain whitespace, quotes or "=" are quoted.
struct field {
    std::string_view key;
    std::string value;

    field(std::string_view name, std::string text) : key{name}, value{std::move(text)} {}
    field(std::string_view name, std::string_view text) : key{name}, value{text} {}
    field(std::string_view name, const char* text) : key{name}, value{text} {}
    field(std::string_view name, bool flag) : key{name}, value{flag ? "true" : "false"} {}
    field(std::string_view name, std::integral auto number) : key{name}, value{std::to_string(number)} {}
    field(std::string_view name, std::floating_point auto number)
        : key{name}, value{std::to_string(number)} {}
    template <class Identifier>
    requires requires(const Identifier& id) {
        { id.value() } -> std::convertible_to<std::string>;
    }
    field(std::string_view name, const Identifier& id) : key{name}, value{id.value()} {}
};

/// Starts logging to standard output from a dedicated thread. @a minimum is "debug", "info", "warning" or
/// "error". Every line contains @a instance.
auto start(const std::string& instance, const std::string& minimum) -> void;

/// Writes the queued lines and stops logging.
auto stop() -> void;

/// Starts logging to standard output without a thread: lines are buffered until flush_direct(). For programs
/// with a single event loop. If the reader of standard output stalls, lines are dropped; the program never
/// blocks. Not thread safe.
auto start_direct(const std::string& instance, const std::string& minimum) -> void;
/// Writes as many buffered lines as standard output accepts without blocking, and logs the number of dropped
/// lines, if any.
auto flush_direct() -> void;

/// Receives log lines. @a text is the event without time and instance.
using sink = void (*)(level severity, const std::string& text);
/// Sets the sink for events of at least level @a minimum. Null discards all events. Thread safe.
auto set_sink(sink output, level minimum) -> void;
/// Parses "debug", "info", "warning" or "error". Returns info for anything else.
auto parse_level(const std::string& name) -> level;
constexpr auto level_names = std::array<std::string_view, 4>{"DEBUG", "INFO", "WARN", "ERROR"};

/// Logs one event. Does nothing while no sink is set. Thread safe if the sink is.
auto write(level severity, std::string_view event, std::initializer_list<field> fields) -> void;

inline auto debug(std::string_view event, std::initializer_list<field> fields = {}) -> void {
    write(level::debug, event, fields);
}
inline auto info(std::string_view event, std::initializer_list<field> fields = {}) -> void {
    write(level::info, event, fields);
}
inline auto warning(std::string_view event, std::initializer_list<field> fields = {}) -> void {
    write(level::warning, event, fields);
}
inline auto error(std::string_view event, std::initializer_list<field> fields = {}) -> void {
    write(level::error, event, fields);
}

/// Formats one event, without time and instance.
auto format(std::string_view event, std::initializer_list<field> fields) -> std::string;

} // namespace teaselcross::log
