#include "gateway/shortage_control.h"

#include "logging/log.h"

namespace teaselcross {

auto shortage_control::record_arrival(const service_id& service, const valued_request& request,
                                      duration objective, instant now) -> void {
    teaselcross::record_arrival(m_services[service], request, objective, m_options, now);
}

auto shortage_control::check(const service_id& service, const valued_request& request,
                             const target_view& view, duration to_objective, instant now)
    -> std::optional<duration> {
    const auto draw = std::uniform_real_distribution<double>{}(m_random);
    return check_shortage(m_services[service], request, estimate_send(view, {}, now), to_objective, draw,
                          m_options, now);
}

auto shortage_control::record_send(const service_id& service, const valued_request& request, instant now)
    -> void {
    teaselcross::record_send(m_services[service], request, m_options, now);
}

auto shortage_control::record_rejection(const service_id& service, const valued_request& request, instant now)
    -> void {
    teaselcross::record_rejection(m_services[service], request, m_options, now);
}

auto shortage_control::record_load(const service_id& service, const target_view& view, instant now) -> void {
    teaselcross::record_load(m_services[service], estimate_send(view, {}, now), m_options, now);
}

auto shortage_control::record_end(const service_id& service, const valued_request& request, request_end end,
                                  instant now) -> void {
    teaselcross::record_end(m_services[service], request, end, m_options, now);
}

auto shortage_control::count_refusal(std::uint32_t rank) -> void {
    constexpr auto max_rank = 15U; // Bounds the number of metrics.
    ++m_refusals[std::min(rank, max_rank)];
}

auto shortage_control::log_changes(instant now) -> void {
    for (auto& [service, state] : m_services) {
        const auto change = take_shortage_change(state, m_options, now);
        if (!change) {
            continue;
        }
        const auto began = *change;
        log::info(began ? "shortage_began" : "shortage_ended", {{"service", service},
                                                                {"level", shortage_level(state)},
                                                                {"pressure", state.pressure},
                                                                {"ranks", state.ranks.size()}});
    }
}

auto shortage_control::drop_unknown(const route_table& table) -> void {
    std::erase_if(m_services, [&](const auto& entry) { return !table.services.contains(entry.first); });
}

auto shortage_control::append_gauges(std::vector<gauge>& values) const -> void {
    for (const auto& [service, state] : m_services) {
        values.push_back({.name = "shortage_level", .kind = service.value(), .value = shortage_level(state)});
    }
    for (const auto& [rank, count] : m_refusals) {
        values.push_back(
            {.name = "refused_by_rank", .kind = std::to_string(rank), .value = static_cast<double>(count)});
    }
}

} // namespace teaselcross
