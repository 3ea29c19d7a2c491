// Target choice and admission control in the emulator's fleet model: goodput under overload and in large
// fleets. Runs in virtual time; each case averages several seeds.

#include "fleet_model.h"

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

using std::chrono::milliseconds;

auto mean_worth(emulator::fleet_options options) -> double {
    constexpr auto seeds = 3U;
    auto sum = 0.0;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        sum += emulator::run_fleet(options).worth;
    }
    return sum / seeds;
}

/// Many instances that send few requests per second each, and 1.5 targets per instance.
auto large_fleet(std::size_t instances, double load) -> emulator::fleet_options {
    return {.instances = instances,
            .targets = instances * 3 / 2,
            .work = milliseconds{350},
            .objective = milliseconds{1200},
            .deadline = milliseconds{2000},
            .load = load,
            .run = std::chrono::seconds{15}};
}

} // namespace

// Guards against goodput collapse under overload: requests that would be answered too late must be refused
// before they take capacity from others.
TEST(fleet_load, goodput_at_twice_the_capacity_stays_at_the_maximum) {
    const auto at_capacity = mean_worth({.load = 1.0});
    const auto at_twice = 2.0 * mean_worth({.load = 2.0});
    EXPECT_GE(at_twice, 0.95 * at_capacity) << "required: 95% of the goodput at twice the load";
}

TEST(fleet_load, overload_is_refused_before_it_is_sent) {
    const auto result = emulator::run_fleet({.load = 2.0});
    EXPECT_GT(result.refused, 10 * (result.shed + result.timed_out));
}

// In a fleet that is large for its traffic, an instance rarely gets load data from each target.
TEST(fleet_load, ten_times_as_many_instances_keep_the_goodput) {
    EXPECT_GE(mean_worth(large_fleet(300, 0.8)), 0.7 * mean_worth(large_fleet(30, 0.8)))
        << "required: 300 instances reach at least 0.7 of the goodput of 30";
}

TEST(fleet_load, subsets_raise_the_goodput_of_a_large_fleet) {
    auto without_subsets = large_fleet(76, 0.8);
    without_subsets.subsets = false;
    EXPECT_GT(mean_worth(large_fleet(76, 0.8)), mean_worth(without_subsets));
}

} // namespace teaselcross
