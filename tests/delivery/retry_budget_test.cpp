// The retry budget holds over any window, whatever share of the traffic an instance gets.

#include "delivery/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace teaselcross::test {

namespace {

constexpr auto start = instant{std::chrono::seconds{100}};

} // namespace

TEST(retry_budget, an_idle_instance_may_use_its_share_of_the_fixed_part) {
    auto state = retry_budget{};
    const auto options = retry_budget_options{.extra = 64};
    auto taken = 0;
    while (take_extra(state, options, 8, start)) {
        ++taken;
    }
    EXPECT_EQ(taken, 6);
}

RC_GTEST_PROP(retry_budget, no_window_exceeds_the_budget, ()) {
    auto state = retry_budget{};
    const auto options = retry_budget_options{.ratio = 0.2, .extra = 64};
    const auto instances = *rc::gen::inRange<std::size_t>(1, 40);
    auto now = start;
    auto requests = std::vector<instant>{};
    auto extras = std::vector<instant>{};
    const auto steps = *rc::gen::inRange(50, 800);
    for (auto step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds{*rc::gen::inRange(0, 60)};
        count_request(state, options, now);
        requests.push_back(now);
        if (take_extra(state, options, instances, now)) {
            extras.push_back(now);
        }
    }
    for (const auto& from : extras) {
        const auto inside = [&](const instant& at) { return at >= from && at < from + options.window; };
        const auto spent = std::count_if(extras.begin(), extras.end(), inside);
        // The budget allows for the requests of this window or of the one before it, whichever are more.
        const auto before = [&](const instant& at) { return at >= from - options.window && at < from; };
        const auto asked = std::max(std::count_if(requests.begin(), requests.end(), inside),
                                    std::count_if(requests.begin(), requests.end(), before));
        RC_ASSERT(static_cast<double>(spent) <= options.ratio * static_cast<double>(asked) +
                                                    options.extra / static_cast<double>(instances) + 1.0);
    }
}

} // namespace teaselcross::test
