#include "gateway/copy_gauges.h"

namespace teaselcross {

auto copy_gauges(const copy_states& copies) -> std::vector<gauge> {
    auto values = std::vector<gauge>{};
    for (const auto& [kind, state] : copies) {
        values.push_back(
            {.name = "copy_revision", .kind = kind, .value = static_cast<double>(state.complete_to.number)});
        if (state.age != duration::max()) {
            const auto seconds = std::chrono::duration<double>(state.age).count();
            values.push_back({.name = "copy_age_seconds", .kind = kind, .value = seconds});
        }
    }
    return values;
}

} // namespace teaselcross
