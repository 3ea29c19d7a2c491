#include "core/field_text.h"

#include <algorithm>

namespace teaselcross {

auto is_control_character(char character) -> bool {
    constexpr auto first_printable = 0x20;
    constexpr auto delete_character = 0x7f;
    const auto code = static_cast<unsigned char>(character);
    return code < first_printable || code == delete_character;
}

auto is_field_value(std::string_view text) -> bool {
    return !text.empty() && std::none_of(text.begin(), text.end(), is_control_character) &&
           text.front() != ' ' && text.back() != ' ';
}

} // namespace teaselcross
