#include "config/json_lines.h"

#include <nlohmann/json.hpp>

#include <map>
#include <vector>

namespace teaselcross {

namespace {

/// Follows a parse and notes the line of each value by its pointer. The parser reads its input through an
/// iterator that counts lines, so that each event knows where it happened.
class line_recorder : public nlohmann::json_sax<nlohmann::json> {
public:
    explicit line_recorder(const int& line) : m_line{line} { m_lines[""] = 1; }

    auto lines() const -> const std::map<std::string, int>& { return m_lines; }

    auto null() -> bool override { return leaf(); }
    auto boolean(bool /*value*/) -> bool override { return leaf(); }
    auto number_integer(number_integer_t /*value*/) -> bool override { return leaf(); }
    auto number_unsigned(number_unsigned_t /*value*/) -> bool override { return leaf(); }
    auto number_float(number_float_t /*value*/, const string_t& /*text*/) -> bool override { return leaf(); }
    auto string(string_t& /*value*/) -> bool override { return leaf(); }
    auto binary(binary_t& /*value*/) -> bool override { return leaf(); }
    auto start_object(std::size_t /*elements*/) -> bool override { return open(-1); }
    auto start_array(std::size_t /*elements*/) -> bool override { return open(0); }
    auto end_object() -> bool override { return close(); }
    auto end_array() -> bool override { return close(); }
    auto parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*error*/) -> bool override {
        return false;
    }

    auto key(string_t& name) -> bool override {
        m_levels.back().name = name;
        m_lines[pointer()] = m_line;
        return true;
    }

private:
    struct level {
        int index = -1;
        std::string name;
    };

    auto pointer() const -> std::string {
        auto text = std::string{};
        for (const auto& each : m_levels) {
            text += "/" + (each.index >= 0 ? std::to_string(each.index) : each.name);
        }
        return text;
    }

    auto leaf() -> bool {
        m_lines.emplace(pointer(), m_line);
        advance();
        return true;
    }

    auto open(int index) -> bool {
        m_lines.emplace(pointer(), m_line);
        m_levels.push_back({.index = index, .name = {}});
        return true;
    }

    auto close() -> bool {
        m_levels.pop_back();
        advance();
        return true;
    }

    auto advance() -> void {
        if (!m_levels.empty() && m_levels.back().index >= 0) {
            ++m_levels.back().index;
        }
    }

    const int& m_line;
    std::vector<level> m_levels;
    std::map<std::string, int> m_lines;
};

/// Reads characters and counts the lines it has passed.
class counting_iterator {
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    counting_iterator(const char* position, int* line) : m_position{position}, m_line{line} {}

    auto operator*() const -> reference { return *m_position; }
    auto operator++() -> counting_iterator& {
        *m_line += *m_position == '\n' ? 1 : 0;
        ++m_position;
        return *this;
    }
    auto operator==(const counting_iterator& other) const -> bool { return m_position == other.m_position; }
    auto operator!=(const counting_iterator& other) const -> bool { return m_position != other.m_position; }

private:
    const char* m_position;
    int* m_line;
};

} // namespace

auto line_of(const std::string& text, const std::string& json_pointer) -> int {
    auto line = 1;
    auto recorder = line_recorder{line};
    const auto* const begin = text.data();
    nlohmann::json::sax_parse(counting_iterator{begin, &line}, counting_iterator{begin + text.size(), &line},
                              &recorder);
    for (auto around = json_pointer; !around.empty(); around.resize(around.rfind('/'))) {
        const auto found = recorder.lines().find(around);
        if (found != recorder.lines().end()) {
            return found->second;
        }
    }
    return 1;
}

} // namespace teaselcross
