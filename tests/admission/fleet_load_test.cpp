// Whole fleets on the emulator's model: what the choice among targets and the gate earn under the loads that
// they answer. Virtual time; each case plays several seeds.

#include "fleet_model.h"

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

using std::chrono::milliseconds;

auto worth(emulator::fleet_options options) -> double {
    constexpr auto seeds = 3U;
    auto sum = 0.0;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        sum += emulator::run_fleet(options).worth;
    }
    return sum / seeds;
}

/// Many instances, each with a few requests a second, in front of targets in proportion.
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

// Overload: what would be answered too late is refused before it takes the place of another.
TEST(fleet_load, twice_the_load_earns_what_the_targets_bear) {
    const auto borne = worth({.load = 1.0});
    const auto twice = 2.0 * worth({.load = 2.0});
    EXPECT_GE(twice, 0.95 * borne) << "the stated target: 95% of the goodput at twice the load";
}

TEST(fleet_load, overload_is_refused_before_it_is_sent) {
    const auto result = emulator::run_fleet({.load = 2.0});
    EXPECT_GT(result.refused, 10 * (result.shed + result.timed_out));
}

// A fleet that is large for its traffic: no instance hears often from all targets.
TEST(fleet_load, ten_times_the_fleet_serves_as_well) {
    EXPECT_GE(worth(large_fleet(300, 0.8)), 0.7 * worth(large_fleet(30, 0.8)))
        << "the stated target: 300 instances serve at least 0.7 of what 30 serve";
}

TEST(fleet_load, a_large_fleet_without_subsets_chooses_blindly) {
    auto blind = large_fleet(76, 0.8);
    blind.subsets = false;
    EXPECT_GT(worth(large_fleet(76, 0.8)), worth(blind));
}

} // namespace teaselcross
