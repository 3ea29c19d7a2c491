#pragma once

// A fault found in something that an operator wrote, with its place.

#include <string>
#include <vector>

namespace teaselcross {

/// One fault. Findings are collected, so that an operator sees all of them at once.
struct finding {
    std::string place;   ///< A JSON pointer into the document, "" for the whole of it.
    std::string message; ///< What is wrong, as a sentence.
    int line = 0;        ///< The line in the file, counted from 1; 0 when there is no file.
};

using findings = std::vector<finding>;

/// Renders one finding per line as "FILE:LINE PLACE: MESSAGE".
auto to_text(const findings& found, const std::string& file) -> std::string;

} // namespace teaselcross
