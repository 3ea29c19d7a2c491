#pragma once

// Structured logs: one line of key=value pairs for each event.

#include <array>
#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace teaselcross::log {

enum class level { debug, info, warning, error };

/// One key=value pair. Values with blanks are quoted.
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

/// Starts logging to standard output from a thread of its own. @a minimum is "debug", "info", "warning" or
/// "error". Each line names @a instance.
auto start(const std::string& instance, const std::string& minimum) -> void;

/// Writes what is queued and stops.
auto stop() -> void;

/// Starts logging to standard output without a thread: lines are kept until flush_direct(). For programs of
/// one event loop. A reader that does not read costs lines, never time. Not thread safe.
auto start_direct(const std::string& instance, const std::string& minimum) -> void;
/// Writes what standard output takes now without blocking; says how many lines were left out, if any.
auto flush_direct() -> void;

/// Where lines go. @a text is the event without time and instance.
using sink = void (*)(level severity, const std::string& text);
/// Sets where lines of at least @a minimum go; null for nowhere. Thread safe.
auto set_sink(sink where, level minimum) -> void;
/// "debug", "info", "warning" or "error"; info for anything else.
auto level_named(const std::string& name) -> level;
constexpr auto level_names = std::array<std::string_view, 4>{"DEBUG", "INFO", "WARN", "ERROR"};

/// Logs one event. Before start() it does nothing. Safe to call from any thread.
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

/// The text of one event without its time.
auto format(std::string_view event, std::initializer_list<field> fields) -> std::string;

} // namespace teaselcross::log
