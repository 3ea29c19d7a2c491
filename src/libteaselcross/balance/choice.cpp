#include "balance/choice.h"

#include <algorithm>
#include <cmath>

namespace teaselcross {

namespace {

/// Half-life of observed latencies, so that a target that has recovered gets requests again.
constexpr auto half_life_us = 2'000'000.0;
constexpr auto failure_penalty_us = 1'000'000.0;

auto decayed(const observed_target& observation, instant now) -> double {
    const auto age = static_cast<double>((now - observation.updated).count());
    return observation.latency_us * std::exp2(-age / half_life_us);
}

auto cost(const target_chooser& state, const target_id& target, instant now) -> double {
    const auto found = state.observed.find(target);
    if (found == state.observed.end()) {
        return 0;
    }
    constexpr auto min_latency_us = 100.0;
    return (found->second.in_flight + 1.0) * std::max(min_latency_us, decayed(found->second, now));
}

} // namespace

auto choose_target(target_chooser& state, const std::vector<target_id>& candidates, instant now)
    -> std::optional<target_id> {
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto first = state.random() % candidates.size();
    if (candidates.size() == 1) {
        return candidates[first];
    }
    const auto second = (first + 1 + state.random() % (candidates.size() - 1)) % candidates.size();
    const auto better = cost(state, candidates[second], now) < cost(state, candidates[first], now);
    return candidates[better ? second : first];
}

auto on_sent(target_chooser& state, const target_id& target) -> void {
    ++state.observed[target].in_flight;
}

auto on_completed(target_chooser& state, const target_id& target, duration latency, bool succeeded,
                  instant now) -> void {
    auto& observation = state.observed[target];
    observation.in_flight -= observation.in_flight > 0 ? 1 : 0;
    const auto sample = static_cast<double>(latency.count()) + (succeeded ? 0.0 : failure_penalty_us);
    const auto previous = decayed(observation, now);
    constexpr auto smoothing = 0.2;
    observation.latency_us = sample > previous ? std::max(sample * 0.5 + previous * 0.5, previous)
                                               : previous + smoothing * (sample - previous);
    observation.updated = now;
}

} // namespace teaselcross
