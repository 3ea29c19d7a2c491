#include "balance/target_speeds.h"

#include <algorithm>
#include <cmath>

namespace teaselcross {

namespace {

/// A target with less weight counts as unknown.
constexpr auto forgotten_weight = 1e-3;

} // namespace

auto service_time_spread::factor(std::size_t index) -> double {
    return std::exp(lowest + bin_width * (static_cast<double>(index) + 0.5));
}

auto make_sample(const target_view& view, duration latency, const std::optional<load_report>& load)
    -> service_time_sample {
    const auto slots = std::max(1U, view.listed.slots);
    const auto ahead = static_cast<double>(view.in_flight + view.other_requests);
    const auto turns = 1.0 + std::max(0.0, ahead + 1.0 - slots) / slots;
    return {.time = duration{static_cast<duration::rep>(static_cast<double>(latency.count()) / turns)},
            .slowness = load ? load->slowness : 1.0,
            .was_queued = !load || load->waiting > 0};
}

auto decay(service_speeds& speeds, instant now) -> void {
    const auto passed = static_cast<double>((now - speeds.updated).count());
    const auto factor = std::exp(-passed / static_cast<double>(speeds.options.memory.count()));
    speeds.updated = now;
    const auto scale = [factor](target_speed& speed) {
        speed.weight *= factor;
        speed.log_us *= factor;
    };
    scale(speeds.all);
    for (auto& [id, speed] : speeds.targets) {
        scale(speed);
    }
    for (auto& weight : speeds.spread.weight) {
        weight *= factor;
    }
    std::erase_if(speeds.targets, [](const auto& entry) { return entry.second.weight < forgotten_weight; });
}

auto add_sample(service_speeds& speeds, const target_id& target, const service_time_sample& sample) -> void {
    if (sample.time <= duration::zero() || !(sample.slowness > 0)) {
        return;
    }
    const auto log_us = std::log(static_cast<double>(sample.time.count()));
    const auto log_usual_us = log_us - std::log(sample.slowness);
    const auto weight = sample.was_queued ? speeds.options.queued_weight : 1.0;
    auto& speed = speeds.targets[target];
    for (auto* each : {&speed, &speeds.all}) {
        each->weight += weight;
        each->log_us += weight * log_usual_us;
    }
    if (!sample.was_queued) {
        const auto ratio = log_us - std::log(usual_service_us(speeds) * relative_time(speeds, target));
        const auto bin = (ratio - service_time_spread::lowest) / service_time_spread::bin_width;
        const auto last = static_cast<double>(service_time_spread::bin_count - 1);
        speeds.spread.weight[static_cast<std::size_t>(std::clamp(bin, 0.0, last))] += 1;
    }
}

auto usual_service_us(const service_speeds& speeds) -> double {
    return speeds.all.weight > 0 ? std::exp(speeds.all.log_us / speeds.all.weight) : 0;
}

auto relative_time(const service_speeds& speeds, const target_id& target) -> double {
    const auto found = speeds.targets.find(target);
    if (found == speeds.targets.end() || speeds.all.weight <= 0) {
        return 1;
    }
    const auto mean = speeds.all.log_us / speeds.all.weight;
    const auto& own = found->second;
    return std::exp((own.log_us - own.weight * mean) / (own.weight + speeds.options.prior_weight));
}

} // namespace teaselcross
