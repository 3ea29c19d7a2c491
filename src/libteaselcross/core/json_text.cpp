#include "core/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselcross {

namespace {

constexpr auto whitespace = std::string_view{" \t\r\n"};

auto is_space(char each) -> bool {
    return whitespace.find(each) != std::string_view::npos;
}

/// Reads the parts of a text one after the other. A part that is missing leaves the position where it is.
class text_reader {
public:
    explicit text_reader(std::string_view text) : m_text{text} {}

    auto at_end() -> bool {
        skip_space();
        return m_position == m_text.size();
    }

    auto take(char expected) -> bool {
        skip_space();
        const auto found = m_position < m_text.size() && m_text[m_position] == expected;
        m_position += found ? 1 : 0;
        return found;
    }

    /// A string with its quotes, or nothing.
    auto take_string() -> std::optional<std::string_view> {
        skip_space();
        const auto start = m_position;
        if (!skip_string()) {
            m_position = start;
            return std::nullopt;
        }
        return m_text.substr(start, m_position - start);
    }

    /// A value of any kind, or nothing.
    auto take_value() -> std::optional<std::string_view> {
        skip_space();
        const auto start = m_position;
        auto depth = std::size_t{0};
        while (m_position < m_text.size()) {
            const auto next = m_text[m_position];
            if (next == '"') {
                if (!skip_string()) {
                    break;
                }
            } else if (next == '{' || next == '[') {
                ++depth;
                ++m_position;
            } else if (depth > 0 && (next == '}' || next == ']')) {
                --depth;
                ++m_position;
            } else if (depth > 0) {
                ++m_position;
                continue;
            } else {
                skip_word();
            }
            if (depth == 0) {
                break;
            }
        }
        const auto size = m_position - start;
        if (depth > 0 || size == 0) {
            m_position = start;
            return std::nullopt;
        }
        return m_text.substr(start, size);
    }

private:
    auto skip_space() -> void {
        while (m_position < m_text.size() && is_space(m_text[m_position])) {
            ++m_position;
        }
    }

    /// A number, a name such as true, or what stands in the place of one.
    auto skip_word() -> void {
        constexpr auto ends = std::string_view{",:{}[]\" \t\r\n"};
        m_position = std::min(m_text.find_first_of(ends, m_position), m_text.size());
    }

    auto skip_string() -> bool {
        if (m_position == m_text.size() || m_text[m_position] != '"') {
            return false;
        }
        auto end = m_text.find_first_of("\"\\", m_position + 1);
        while (end != std::string_view::npos && m_text[end] == '\\') {
            end = end + 2 < m_text.size() ? m_text.find_first_of("\"\\", end + 2) : std::string_view::npos;
        }
        m_position = std::min(end, m_text.size() - 1) + 1;
        return end != std::string_view::npos;
    }

    std::string_view m_text;
    std::size_t m_position = 0;
};

/// Whether @a text has more than @a limit brackets open at once.
auto is_deeper_than(std::string_view text, std::size_t limit) -> bool {
    auto depth = std::size_t{0};
    auto in_string = false;
    for (auto position = std::size_t{0}; position < text.size(); ++position) {
        const auto each = text[position];
        if (in_string) {
            position += each == '\\' ? 1 : 0;
            in_string = each != '"';
        } else if (each == '"') {
            in_string = true;
        } else if (each == '{' || each == '[') {
            if (++depth > limit) {
                return true;
            }
        } else if (each == '}' || each == ']') {
            depth -= depth > 0 ? 1 : 0;
        }
    }
    return false;
}

} // namespace

auto split_json_object(std::string_view text) -> std::optional<std::vector<json_member>> {
    auto reader = text_reader{text};
    auto members = std::vector<json_member>{};
    if (!reader.take('{')) {
        return std::nullopt;
    }
    auto closed = reader.take('}');
    while (!closed) {
        const auto name = reader.take_string();
        if (!name || !reader.take(':')) {
            return std::nullopt;
        }
        const auto value = reader.take_value();
        closed = reader.take('}');
        if (!value || (!closed && !reader.take(','))) {
            return std::nullopt;
        }
        members.push_back({.name = name->substr(1, name->size() - 2), .value = *value});
    }
    return reader.at_end() ? std::optional{std::move(members)} : std::nullopt;
}

auto split_json_array(std::string_view text) -> std::optional<std::vector<std::string_view>> {
    auto reader = text_reader{text};
    auto elements = std::vector<std::string_view>{};
    if (!reader.take('[')) {
        return std::nullopt;
    }
    auto closed = reader.take(']');
    while (!closed) {
        const auto value = reader.take_value();
        closed = reader.take(']');
        if (!value || (!closed && !reader.take(','))) {
            return std::nullopt;
        }
        elements.push_back(*value);
    }
    return reader.at_end() ? std::optional{std::move(elements)} : std::nullopt;
}

auto json_value_of(const std::vector<json_member>& members, std::string_view name) -> std::string_view {
    const auto found = std::find_if(members.rbegin(), members.rend(),
                                    [name](const auto& each) { return each.name == name; });
    return found == members.rend() ? std::string_view{} : found->value;
}

auto parse_json_within(std::string_view text, std::size_t max_depth) -> nlohmann::json {
    if (is_deeper_than(text, max_depth)) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace teaselcross
