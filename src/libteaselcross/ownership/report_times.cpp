#include "ownership/report_times.h"

#include <algorithm>

namespace teaselcross {

auto record_report(report_times& state, const std::string& from, const report_stamp& stamp,
                   const instance_id& self, instant now) -> void {
    if (stamp.controller != self || stamp.at > now) {
        return;
    }
    auto& confirmed_at = state.confirmed_at[from];
    confirmed_at = std::max(confirmed_at, stamp.at);
}

auto count_recent_reports(const report_times& state, duration validity, instant now) -> std::size_t {
    return static_cast<std::size_t>(
        std::count_if(state.confirmed_at.begin(), state.confirmed_at.end(),
                      [&](const auto& entry) { return now - entry.second < validity; }));
}

} // namespace teaselcross
