#pragma once

// How fast the targets of one service work, from the service times that all instances have seen.
//
// A target may be several times slower than usual for some hundred milliseconds, and a few requests take
// several times the usual work. Times are therefore averaged as logarithms over half a minute, after division
// by the slowness that the target reported, so that only a lasting difference counts.

#include "admission/target_view.h"
#include "core/identifier.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>

namespace teaselcross {

/// One completion at a target.
struct service_time_sample {
    duration time{};         ///< In a slot, without the estimated time in the target's queue.
    double slowness = 1;     ///< As reported with the completion; 1 if it was not.
    bool was_queued = false; ///< Others waited at the target, so the time in its queue is uncertain.
};

/// The sample of a request that @a view answered after @a latency with @a load. Precondition: the end of the
/// request and the load were recorded in @a view.
auto make_sample(const target_view& view, duration latency, const std::optional<load_report>& load)
    -> service_time_sample;

struct target_speed_options {
    duration memory = std::chrono::seconds{30}; ///< Time constant of the decay of earlier samples.
    /// Samples with the service's mean that are added to those of a target, so that few samples show no
    /// difference.
    double prior_weight = 4;
    double queued_weight = 0.25; ///< Of a sample whose time in the queue is uncertain.
};

/// Decayed sums of the samples of one target.
struct target_speed {
    double weight = 0; ///< Number of samples; smaller for uncertain ones.
    double log_us = 0; ///< Sum of the logarithms of the usual times in microseconds.
};

/// Distribution of the service times relative to the usual time of their target, by logarithm.
struct service_time_spread {
    static constexpr auto lowest = -2.0; ///< Logarithm of the lower end of the first bin.
    static constexpr auto bin_width = 0.15;
    static constexpr auto bin_count = std::size_t{34};
    std::array<double, bin_count> weight{};

    /// The relative time in the middle of bin @a index.
    static auto factor(std::size_t index) -> double;
};

/// Not thread safe.
struct service_speeds {
    target_speed_options options;
    std::map<target_id, target_speed> targets;
    target_speed all; ///< Sums over all targets.
    service_time_spread spread;
    instant updated{};
};

/// Decays the sums to @a now.
auto decay(service_speeds& speeds, instant now) -> void;
/// Adds a completion at @a target. Samples without a positive time are ignored. Precondition: decay() was
/// called for the current time.
auto add_sample(service_speeds& speeds, const target_id& target, const service_time_sample& sample) -> void;

/// The usual service time of the service's targets, in microseconds; 0 before the first sample.
auto usual_service_us(const service_speeds& speeds) -> double;
/// The usual time of @a target relative to that of the service; 1 for an unknown target, above 1 for a slow
/// one.
auto relative_time(const service_speeds& speeds, const target_id& target) -> double;

} // namespace teaselcross
