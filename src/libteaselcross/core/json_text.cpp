#include "core/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselcross {

namespace {

auto is_space(char each) -> bool {
    return each == ' ' || each == '\t' || each == '\r' || each == '\n';
}

auto opens(char each) -> bool {
    return each == '{' || each == '[';
}

auto closes(char each) -> bool {
    return each == '}' || each == ']';
}

/// Where the string that begins at @a position ends, behind its quote. Nothing if it has no end.
auto end_of_string(std::string_view text, std::size_t position) -> std::optional<std::size_t> {
    for (auto each = position + 1; each < text.size(); ++each) {
        if (text[each] == '"') {
            return each + 1;
        }
        each += text[each] == '\\' ? 1 : 0;
    }
    return std::nullopt;
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
            } else if (opens(next)) {
                ++depth;
                ++m_position;
            } else if (depth > 0) {
                depth -= closes(next) ? 1 : 0;
                ++m_position;
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
        const auto ends_word = [](char each) {
            return is_space(each) || opens(each) || closes(each) || each == ',' || each == ':' || each == '"';
        };
        while (m_position < m_text.size() && !ends_word(m_text[m_position])) {
            ++m_position;
        }
    }

    auto skip_string() -> bool {
        const auto begins = m_position < m_text.size() && m_text[m_position] == '"';
        const auto end = begins ? end_of_string(m_text, m_position) : std::nullopt;
        m_position = end.value_or(m_position);
        return end.has_value();
    }

    std::string_view m_text;
    std::size_t m_position = 0;
};

/// Whether @a text has more than @a limit brackets open at once.
auto is_deeper_than(std::string_view text, std::size_t limit) -> bool {
    auto depth = std::size_t{0};
    for (auto position = std::size_t{0}; position < text.size(); ++position) {
        if (text[position] == '"') {
            position = end_of_string(text, position).value_or(text.size()) - 1;
        } else if (opens(text[position])) {
            if (++depth > limit) {
                return true;
            }
        } else if (closes(text[position])) {
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
