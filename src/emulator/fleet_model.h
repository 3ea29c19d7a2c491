#pragma once

// A model of many instances that send requests without a key to the targets of one service, on virtual time.
//
// The targets differ in speed, have noisy neighbours, queue a few requests and shed the rest; each instance
// knows only what it has sent itself and what answers told it. It drives the library's own decision parts, so
// that a policy is measured before it runs anywhere.

#include "admission/target_view.h"

#include <cstdint>
#include <vector>

namespace teaselcross::emulator {

struct fleet_options {
    std::size_t instances = 12;
    std::size_t targets = 11;
    std::uint32_t slots = 4;
    std::uint32_t queue = 16;
    std::vector<double> speeds{0.6, 1.0, 1.4}; ///< Dealt to the targets by turns.
    duration work = std::chrono::milliseconds{120};
    double work_spread = 0.3;                               ///< Standard deviation over the mean.
    double noisy_share = 0.2;                               ///< Of targets, at any moment.
    double noise = 3;                                       ///< How much longer work takes there.
    duration noise_period = std::chrono::milliseconds{400}; ///< Another share is noisy after it.
    duration one_way = std::chrono::microseconds{900};
    duration objective = std::chrono::milliseconds{400};
    duration deadline = std::chrono::milliseconds{1000};
    double load = 0.8;       ///< Of what the targets bear, noise included.
    double late_worth = 0.3; ///< Of an answer after the objective.
    duration run = std::chrono::seconds{20};
    duration warm_up = std::chrono::seconds{3}; ///< Not counted.
    std::uint64_t seed = 1;
    /// Whether instances also learn the state of the targets as it was some time ago; how long differs by
    /// instance and target and changes every second.
    bool shared_reports = false;
    duration least_delay = std::chrono::milliseconds{50};
    duration most_delay = std::chrono::milliseconds{1000};
    bool knows_everything = false; ///< Whether instances know the present state of all targets.
    double jitter = 0.12;          ///< See choice_context.
    std::size_t subset = 0;        ///< Size of the subsets; 0: by subset_size().
    bool subsets = true;           ///< Whether an instance looks at a few targets only; see subset_size().
};

struct fleet_result {
    std::uint64_t requests = 0;
    std::uint64_t in_time = 0;   ///< Answered within the objective.
    std::uint64_t late = 0;      ///< Answered within the deadline.
    std::uint64_t refused = 0;   ///< Without being sent.
    std::uint64_t shed = 0;      ///< By the target, its queue being full.
    std::uint64_t timed_out = 0; ///< Sent and not answered in time.
    double worth = 0;            ///< Share of what all requests are worth.
    double waited_ms = 0;        ///< Median time of an answer.
    double slowest_ms = 0; ///< The 99th percentile; one that was shed or timed out counts as the deadline.
};

/// Plays one run. Thread safe.
auto run_fleet(const fleet_options& options) -> fleet_result;

} // namespace teaselcross::emulator
