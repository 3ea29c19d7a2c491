// Guards against loads under which a service that is short of capacity refuses what costs callers most.

#include "admission/shortage.h"
#include "support/shared_service.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

namespace teaselcross {
namespace {

// 40 targets with 3 slots at 140 ms serve 857 requests per second.
constexpr auto capacity = 40 * 3 / 0.14;
constexpr auto begin = instant{std::chrono::seconds{100}};
constexpr auto settled = 2; // Seconds; an instance learns of a shortage within one.

auto steady(double part) {
    return [part](int) { return part * capacity; };
}

auto sum(const std::array<double, 12>& counts, int from = settled, int to = 12) -> double {
    return std::accumulate(counts.begin() + from, counts.begin() + to, 0.0);
}

auto served(const caller_kind& kind) -> double {
    return (sum(kind.in_time) + sum(kind.late)) / sum(kind.callers);
}

auto expect_none_starves(const service_run& done) -> void {
    auto callers = 0.0;
    auto all_served = 0.0;
    for (const auto& each : done.kinds) {
        callers += sum(each.callers);
        all_served += sum(each.in_time) + sum(each.late);
    }
    for (const auto& each : done.kinds) {
        EXPECT_GE(served(each), all_served / callers / 4) << "required: a quarter of the share of all";
    }
}

TEST(shortage, flood_of_a_less_urgent_kind_leaves_the_urgent_one_alone) {
    auto service = service_run{.kinds = {{.request = {.rank = 0}, .rate = steady(0.3)},
                                         {.request = {.rank = 2}, .rate = steady(2)}}};
    service.run();
    const auto& [urgent, flood] = std::tie(service.kinds[0], service.kinds[1]);
    EXPECT_LT(sum(urgent.refused), 0.01 * sum(urgent.callers));
    EXPECT_GT(sum(urgent.in_time), 0.9 * sum(urgent.callers));
    // No more is refused than the shortage needs.
    const auto work_done = served(urgent) * sum(urgent.callers) + served(flood) * sum(flood.callers);
    EXPECT_GT(work_done, 0.9 * capacity * (12 - settled));
    expect_none_starves(service);
}

TEST(shortage, account_at_twenty_times_its_usual_does_not_starve_others) {
    auto service =
        service_run{.kinds = {{.request = {.rank = 0, .account = "large"}, .rate = steady(20 * 0.05)},
                              {.request = {.rank = 1, .account = "medium"}, .rate = steady(0.5)},
                              {.request = {.rank = 1, .account = "small"}, .rate = steady(0.05)}}};
    service.run();
    expect_none_starves(service);
    EXPECT_GT(served(service.kinds[0]), served(service.kinds[1]));
}

TEST(shortage, burst_of_six_seconds_is_over_a_second_after_its_end) {
    const auto burst = [](int second) { return capacity * (second >= 3 && second < 9 ? 2.1 : 0.4); };
    auto service = service_run{
        .kinds = {{.request = {.rank = 0}, .rate = steady(0.4)}, {.request = {.rank = 1}, .rate = burst}}};
    service.run();
    for (const auto& each : service.kinds) {
        EXPECT_LT(sum(each.refused, 10), 0.01 * sum(each.callers, 10));
    }
    EXPECT_LT(sum(service.kinds[0].refused, 4, 9), 0.2 * sum(service.kinds[1].refused, 4, 9));
}

TEST(shortage, seven_times_the_work_of_a_less_urgent_kind_does_not_crowd_out_the_urgent_one) {
    const auto run = [](bool decides) {
        auto service = service_run{.kinds = {{.request = {.rank = 0}, .rate = steady(0.7)},
                                             {.request = {.rank = 1},
                                              .rate = steady(0.1),
                                              .work = milliseconds{7 * 140},
                                              .objective = milliseconds{2500},
                                              .patience = milliseconds{5000}}},
                                   .decides = decides};
        service.run();
        return service;
    };
    const auto with = run(true);
    EXPECT_GT(sum(with.kinds[0].in_time), 2 * sum(run(false).kinds[0].in_time));
    EXPECT_GT(served(with.kinds[0]), served(with.kinds[1]));
    expect_none_starves(with);
}

TEST(shortage, all_of_one_rank_are_treated_as_without_it) {
    auto with = service_run{.kinds = {{.request = {.rank = 1}, .rate = steady(2)}}};
    auto without = service_run{.kinds = with.kinds, .decides = false};
    with.run();
    without.run();
    EXPECT_EQ(with.kinds[0].in_time, without.kinds[0].in_time);
    EXPECT_EQ(with.kinds[0].refused, without.kinds[0].refused);
}

// Instances with reports up to seconds old must not open and close together.
RC_GTEST_PROP(shortage, seventy_five_instances_do_not_swing, ()) {
    const auto flood = *rc::gen::inRange(10, 21) * 0.1;
    auto service = service_run{.kinds = {{.request = {.rank = 0}, .rate = steady(0.3)},
                                         {.request = {.rank = 1}, .rate = steady(flood)}},
                               .random = std::mt19937_64{*rc::gen::arbitrary<std::uint64_t>()},
                               .seconds = 9,
                               .is_disturbed = true};
    service.run();
    // From when the queues of the first second are served until the last second, whose callers return alone.
    const auto& kind = service.kinds[1];
    const auto share = [&](int from, int to) {
        return (sum(kind.in_time, from, to) + sum(kind.late, from, to)) / sum(kind.callers, from, to);
    };
    for (auto second = 3; second < 8; ++second) {
        RC_ASSERT(share(second, second + 1) > 0.5 * share(3, 8));
        RC_ASSERT(share(second, second + 1) < 2 * share(3, 8));
    }
}

/// A service whose urgent requests have been refused for a second.
auto short_service() -> service_shortage {
    auto state = service_shortage{};
    const auto load = send_estimate{.finish = milliseconds{600}, .service = milliseconds{140}, .slots = 3};
    for (auto now = begin; now < begin + std::chrono::seconds{1}; now += milliseconds{100}) {
        for (const auto rank : {0U, 1U}) {
            record_arrival(state, {.rank = rank}, milliseconds{600}, {}, now);
            record_send(state, {.rank = rank}, {}, now);
        }
        record_load(state, load, {}, now);
        record_end(state, {.rank = 0}, request_end::no_capacity, {}, now);
    }
    return state;
}

// An instance that has just started knows of no shortage, and of this one a second later.
TEST(shortage, less_urgent_requests_yield_by_return_time_and_work) {
    constexpr auto now = begin + std::chrono::seconds{1};
    auto state = short_service();
    EXPECT_EQ(take_shortage_change(state, {}, now), true);
    const auto is_sent = [&](const valued_request& request, int finish, int work, int to_objective) {
        const auto target = send_estimate{milliseconds{finish}, milliseconds{140}, milliseconds{work}, 3};
        return !check_shortage(state, request, target, milliseconds{to_objective}, 0.5, {}, now);
    };
    EXPECT_TRUE(is_sent({.rank = 0}, 300, 140, 600));
    EXPECT_FALSE(is_sent({.rank = 1}, 300, 140, 600));
    EXPECT_TRUE(is_sent({.rank = 1}, 175, 140, 600)) << "a free slot is for everyone";
    EXPECT_TRUE(is_sent({.rank = 1, .is_returning = true}, 250, 140, 600));
    EXPECT_FALSE(is_sent({.rank = 1}, 250, 140, 600)) << "returning callers go first";
    EXPECT_FALSE(is_sent({.rank = 1, .is_returning = true}, 250, 140, 200)) << "late";
    EXPECT_FALSE(is_sent({.rank = 1, .is_returning = true}, 250, 980, 600)) << "much work";
}

} // namespace
} // namespace teaselcross
