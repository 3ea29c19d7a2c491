#pragma once

// Text of other writers that goes into an HTTP header field or a log line.

#include <string_view>

namespace teaselcross {

/// Whether @a character is an ASCII control character. Thread safe.
auto is_control_character(char character) -> bool;

/// Whether @a text can be the value of a header field (RFC 9110, section 5.5): it is not empty, has no
/// control characters, which could end the field, and no spaces around it, which are trimmed. Thread safe.
auto is_field_value(std::string_view text) -> bool;

} // namespace teaselcross
