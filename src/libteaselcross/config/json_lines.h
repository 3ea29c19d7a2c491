#pragma once

// Finds the line numbers of JSON values in their source text.

#include <string>

namespace teaselcross {

/// The line, from 1, on which the value at @a json_pointer starts in @a text.
/// For a missing value it is the line of the nearest enclosing value.
/// @pre text is valid JSON.
auto line_of(const std::string& text, const std::string& json_pointer) -> int;

} // namespace teaselcross
