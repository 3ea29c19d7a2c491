#include "admission/gate.h"

#include <algorithm>

namespace teaselcross {

auto record_answer(lateness_estimate& estimate, bool late) -> void {
    constexpr auto smoothing = 0.03; // Weight of the newest answer.
    estimate.share += ((late ? 1.0 : 0.0) - estimate.share) * smoothing;
}

auto idle_connections(const gate_options& options, std::uint32_t in_flight) -> std::size_t {
    constexpr auto most = std::size_t{8};
    if (options.connection_limit == 0) {
        return most;
    }
    const auto share = options.connection_share * options.connection_limit /
                       static_cast<double>(std::max<std::size_t>(options.instances, 1));
    const auto least = in_flight == 0 ? 1.0 : 0.0;
    const auto left = std::max(share - in_flight, least);
    return std::min(static_cast<std::size_t>(left), most);
}

auto check_admission(const target_view& view, const request_times& times, const lateness_estimate& lateness,
                     const gate_options& options, instant now) -> std::optional<duration> {
    const auto finish = expected_finish(view, options.view, now);
    if (options.connection_limit > 0) {
        const auto shared = options.connection_share * options.connection_limit /
                            static_cast<double>(std::max<std::size_t>(options.instances, 1));
        if (view.in_flight >= std::max(options.min_connections, shared)) {
            return finish / 2;
        }
    }
    const auto ahead = view.in_flight + expected_other_requests(view, options.view, now);
    const auto congested = ahead > options.congestion_factor * view.listed.slots;
    const auto part = 1.0 - options.lateness_weight * lateness.share;
    const auto useful = std::chrono::duration_cast<duration>((times.objective - now) * part);
    if (congested && finish > std::min(useful, times.deadline - now)) {
        return finish / 2;
    }
    return std::nullopt;
}

} // namespace teaselcross
