#pragma once

// Finds the line numbers of JSON values in their source text.

#include <string>

namespace teaselcross {

/// The line, from 1, on which the value at the JSON pointer @a place starts in @a text.
/// For a place that is missing it is the line of the nearest value around it.
/// @pre text is valid JSON.
auto line_of(const std::string& text, const std::string& place) -> int;

} // namespace teaselcross
