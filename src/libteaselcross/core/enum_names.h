#pragma once

// Tables of names for enumerations, used by settings, logs, status and metrics alike.

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace teaselcross {

/// Names of the enumerators of @a Enum, in the order of their values, which start at zero.
template <class Enum, std::size_t Count>
using enum_table = std::array<std::string_view, Count>;

/// The name of @a value in @a table, or "?" when the value is out of range.
template <class Enum, std::size_t Count>
constexpr auto name_in(const std::array<std::string_view, Count>& table, Enum value) -> std::string_view {
    const auto index = static_cast<std::size_t>(value);
    return index < Count ? table[index] : std::string_view{"?"};
}

/// The enumerator called @a name, or nothing when the table has no such name.
template <class Enum, std::size_t Count>
constexpr auto value_in(const std::array<std::string_view, Count>& table, std::string_view name)
    -> std::optional<Enum> {
    for (std::size_t index = 0; index < Count; ++index) {
        if (table[index] == name) {
            return static_cast<Enum>(index);
        }
    }
    return std::nullopt;
}

} // namespace teaselcross
