// Worth earned, refusals and waiting on the emulator's model of a fleet, at loads of 0.5 to 3 times what the
// targets bear, with the subsets of targets and without. Output: one line a shape, policy and load, averaged
// over seeds.

#include "fleet_model.h"

#include <array>
#include <cstdio>

using namespace teaselcross;
using namespace teaselcross::emulator;

namespace {

constexpr auto loads = std::array{0.5, 0.7, 0.85, 1.0, 1.3, 2.0, 3.0};
constexpr auto seeds = 3U;

struct shape {
    const char* name;
    fleet_options options;
};

auto average(fleet_options options) -> fleet_result {
    auto sum = fleet_result{};
    for (auto seed = 1U; seed <= seeds; ++seed) {
        options.seed = seed;
        const auto result = run_fleet(options);
        sum.requests += result.requests;
        sum.in_time += result.in_time;
        sum.late += result.late;
        sum.refused += result.refused;
        sum.shed += result.shed;
        sum.timed_out += result.timed_out;
        sum.worth += result.worth / seeds;
        sum.waited_ms += result.waited_ms / seeds;
    }
    return sum;
}

auto print(const char* name, const fleet_options& options) -> void {
    const auto result = average(options);
    const auto share = [&result](std::uint64_t count) {
        return static_cast<double>(count) / static_cast<double>(result.requests);
    };
    std::printf("%-8s %-8s %5.2f %7.3f %8.3f %6.3f %8.3f %6.3f %10.3f %10.0f\n", name,
                options.subsets ? "subsets" : "all", options.load, result.worth, share(result.in_time),
                share(result.late), share(result.refused), share(result.shed), share(result.timed_out),
                result.waited_ms);
}

} // namespace

auto main() -> int {
    using std::chrono::milliseconds;
    const auto shapes = std::array{
        shape{.name = "today", .options = {}},
        shape{.name = "grown",
              .options = {.instances = 76,
                          .targets = 107,
                          .work = milliseconds{350},
                          .objective = milliseconds{1200},
                          .deadline = milliseconds{2000}}},
    };
    std::printf("fleet    policy    load   worth  in_time   late  refused   shed  timed_out  median_ms\n");
    for (const auto& each : shapes) {
        for (const auto subsets : {false, true}) {
            for (const auto load : loads) {
                auto options = each.options;
                options.subsets = subsets;
                options.load = load;
                print(each.name, options);
            }
        }
    }
    return 0;
}
