#include "core/finding.h"

namespace teaselcross {

auto to_text(const findings& found, const std::string& file) -> std::string {
    auto text = std::string{};
    for (const auto& entry : found) {
        text += file;
        if (entry.line > 0) {
            text += ":" + std::to_string(entry.line);
        }
        text += " " + (entry.place.empty() ? std::string{"/"} : entry.place) + ": " + entry.message + "\n";
    }
    return text;
}

} // namespace teaselcross
