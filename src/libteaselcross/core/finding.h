#pragma once

// A fault in a document written by an operator, with its location.

#include <string>
#include <vector>

namespace teaselcross {

/// One fault. Findings are collected, so that an operator sees all of them at once.
struct finding {
    std::string place;   ///< A JSON pointer into the document, "" for the whole document.
    std::string message; ///< What is wrong, as a sentence.
    int line = 0;        ///< The line in the file, counted from 1; 0 when there is no file.
};

using findings = std::vector<finding>;

/// Renders one finding per line as "FILE:LINE PLACE: MESSAGE".
auto to_text(const findings& found, const std::string& file) -> std::string;

} // namespace teaselcross
