#include "routing/service_split.h"

#include <cstdint>

namespace teaselcross {

namespace {

auto total_weight(const route_rule& rule) -> std::uint64_t {
    auto total = std::uint64_t{0};
    for (const auto& each : rule.services) {
        total += each.weight;
    }
    return total;
}

/// Adds @a share, below 1, to the phase of @a step. Returns whether it passes 1.
auto advance(split_position& position, std::size_t step, double share, std::mt19937_64& random) -> bool {
    while (position.phases.size() <= step) {
        position.phases.push_back(std::uniform_real_distribution<double>{}(random));
    }
    auto& phase = position.phases[step];
    phase += share;
    const auto passes = phase >= 1.0;
    phase -= passes ? 1.0 : 0.0;
    return passes;
}

} // namespace

auto next_service(split_position& position, const route_rule& rule, std::mt19937_64& random)
    -> const service_id& {
    auto left = total_weight(rule);
    for (std::size_t step = 0; step < rule.services.size(); ++step) {
        const auto weight = rule.services[step].weight;
        if (weight == 0) {
            continue;
        }
        const auto is_last = weight == left;
        if (is_last ||
            advance(position, step, static_cast<double>(weight) / static_cast<double>(left), random)) {
            return rule.services[step].service;
        }
        left -= weight;
    }
    return rule.services.front().service;
}

} // namespace teaselcross
