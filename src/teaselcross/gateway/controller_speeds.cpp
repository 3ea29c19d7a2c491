// What the controller knows of the speeds of targets, and the capacities that it derives from them.

#include "gateway/controller.h"

#include "gateway/service_times.h"
#include "logging/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>

namespace teaselcross {

using json = nlohmann::json;

namespace {

/// Between two decays of the speeds of a service; reports of a large fleet arrive more often.
constexpr auto speed_decay_interval = duration{std::chrono::milliseconds{200}};
/// How long a new controller moves no keys for lasting loads while it does not know the speeds: its
/// predecessor's placement may be right for reasons that it has not learnt yet.
constexpr auto speed_learning_limit = duration{std::chrono::seconds{3}};

/// The shortest objective of the rules that lead to @a service; zero if there is none.
auto shortest_objective(const route_table& table, const service_id& service) -> duration {
    auto shortest = duration::zero();
    for (const auto& [host, rules] : table.rules_by_host) {
        for (const auto& rule : rules) {
            const auto leads = std::any_of(rule.services.begin(), rule.services.end(),
                                           [&](const auto& each) { return each.service == service; });
            if (leads && (shortest == duration::zero() || rule.objective < shortest)) {
                shortest = rule.objective;
            }
        }
    }
    return shortest;
}

} // namespace

auto controller::apply_service_times(const json& report, instant now) -> void {
    const auto times = report.value("service_times", json::object()); // Earlier builds send none.
    for (const auto& [target, samples] : service_times_from_json(times)) {
        const auto known = m_cluster.target(target);
        if (known == nullptr) {
            continue;
        }
        auto& speeds = m_services[known->view.listed.service].speeds;
        if (now - speeds.updated >= speed_decay_interval) {
            decay(speeds, now);
        }
        for (const auto& sample : samples) {
            add_sample(speeds, target, sample);
        }
    }
}

auto controller::is_speed_known(const service_control& state, instant now) const -> bool {
    const auto wanted =
        state.placement.options.min_weight * static_cast<double>(state.grantor.holders.size());
    return state.speeds.all.weight >= wanted || now - m_term_start >= speed_learning_limit;
}

auto controller::refresh_capacities(const service_id& service, service_control& state, instant now) -> void {
    auto targets = std::vector<serving_target>{};
    for (const auto& [id, holder] : state.grantor.holders) {
        const auto known = m_cluster.target(id);
        if (known != nullptr && !holder.leaving) {
            targets.push_back({.id = id, .slots = known->view.listed.slots});
        }
    }
    const auto loads = range_loads(state.grantor.map, state.rates.back());
    const auto rate = std::accumulate(loads.begin(), loads.end(), 0.0);
    const auto was_unequal = state.placement.is_unequal;
    update_capacities(state.placement, state.speeds, targets,
                      shortest_objective(*m_cluster.routes(), service), rate, now);
    if (state.placement.is_unequal != was_unequal) {
        log::info(state.placement.is_unequal ? "targets_unequal" : "targets_equal",
                  {{"service", service},
                   {"targets", targets.size()},
                   {"rate", rate},
                   {"usual_ms", usual_service_us(state.speeds) / 1000}});
    }
}

} // namespace teaselcross
