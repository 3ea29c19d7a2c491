#include "routing/answer_lateness.h"

#include <set>

namespace teaselcross {

auto find_lateness(answer_lateness& state, const service_id& service, duration objective)
    -> lateness_estimate& {
    return state.estimates[{service, objective}];
}

auto drop_unknown(answer_lateness& state, const route_table& table) -> void {
    auto objectives = std::set<duration>{};
    for (const auto& [host, rules] : table.rules_by_host) {
        for (const auto& rule : rules) {
            objectives.insert(rule.objective);
        }
    }
    std::erase_if(state.estimates, [&](const auto& entry) {
        const auto& [service, objective] = entry.first;
        return !table.services.contains(service) || !objectives.contains(objective);
    });
}

} // namespace teaselcross
