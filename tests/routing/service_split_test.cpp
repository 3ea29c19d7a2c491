// Shares of the services of a rule: exact under one version of the configuration, and not moved by what
// other versions left behind, at one instance and over many together.

#include "routing/service_split.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <map>

namespace teaselcross {
namespace {

auto make_rule(const std::vector<weighted_service>& services) -> route_rule {
    return {.name = "r", .path_prefix = "/r/", .services = services};
}

auto split(std::uint32_t to_a, std::uint32_t to_b) -> route_rule {
    return make_rule(
        {{.service = service_id{"a"}, .weight = to_a}, {.service = service_id{"b"}, .weight = to_b}});
}

/// One instance's splits.
struct splitting_instance {
    explicit splitting_instance(std::uint64_t seed) : random{seed} {}

    auto next(const route_rule& rule) -> std::string { return next_service(position, rule, random).value(); }
    /// Sends @a requests and returns how many go to @a service.
    auto count(const route_rule& rule, int requests, const std::string& service) -> int {
        auto found = 0;
        for (auto number = 0; number < requests; ++number) {
            found += next(rule) == service ? 1 : 0;
        }
        return found;
    }

    split_position position;
    std::mt19937_64 random;
};

RC_GTEST_PROP(service_split, gives_each_of_two_services_its_share_within_one_request, (std::uint64_t seed)) {
    auto instance = splitting_instance{seed};
    const auto rule = split(90, 10);
    auto to_b = 0;
    for (auto count = 1; count <= 1000; ++count) {
        to_b += instance.count(rule, 1, "b");
        RC_ASSERT(std::abs(to_b - count * 0.1) < 1.0 + 1e-9);
    }
}

// Guards against a withdrawn service that goes on getting requests for what earlier weights left behind.
RC_GTEST_PROP(service_split, never_chooses_weight_0_whatever_came_before, (std::uint64_t seed)) {
    const auto weight = *rc::gen::inRange<std::uint32_t>(1, 100'000);
    const auto before = *rc::gen::inRange(0, 200);
    auto instance = splitting_instance{seed};
    instance.count(split(weight, weight), before, "b");
    RC_ASSERT(instance.count(split(1, 0), 100, "b") == 0);
    RC_ASSERT(instance.count(split(0, 1), 100, "a") == 0);
}

// The same for shares: what comes before may have any weights, services, order and number of requests.
RC_GTEST_PROP(service_split, shares_are_exact_whatever_came_before, (std::uint64_t seed)) {
    auto instance = splitting_instance{seed};
    const auto names = std::vector<std::string>{"a", "b", "c", "d"};
    for (auto versions = *rc::gen::inRange(0, 20); versions > 0; --versions) {
        auto services = std::vector<weighted_service>{};
        for (auto number = *rc::gen::inRange(1, 5); number > 0; --number) {
            services.push_back({.service = service_id{names.at(*rc::gen::inRange<std::size_t>(0, 4))},
                                .weight = *rc::gen::inRange<std::uint32_t>(0, 2000)});
        }
        services.front().weight += 1;
        instance.count(make_rule(services), *rc::gen::inRange(0, 50), "a");
    }
    const auto to_a = *rc::gen::inRange<std::uint32_t>(0, 101);
    const auto requests = 300;
    const auto ran_by_a = instance.count(split(to_a, 100 - to_a), requests, "a");
    RC_ASSERT(std::abs(ran_by_a - requests * to_a / 100.0) < 1.0 + 1e-9);
}

TEST(service_split, gives_each_of_many_services_its_share) {
    const auto rule = make_rule({{.service = service_id{"a"}, .weight = 5},
                                 {.service = service_id{"b"}, .weight = 0},
                                 {.service = service_id{"c"}, .weight = 3},
                                 {.service = service_id{"d"}, .weight = 1},
                                 {.service = service_id{"e"}, .weight = 1}});
    for (auto seed = 0U; seed < 20; ++seed) {
        auto instance = splitting_instance{seed};
        auto counts = std::map<std::string, int>{};
        for (auto number = 0; number < 1000; ++number) {
            ++counts[instance.next(rule)];
        }
        EXPECT_NEAR(counts["a"], 500, 3);
        EXPECT_EQ(counts["b"], 0);
        EXPECT_NEAR(counts["c"], 300, 3);
        EXPECT_NEAR(counts["d"], 100, 3);
        EXPECT_NEAR(counts["e"], 100, 3);
    }
}

// Guards against instances that all make the same choice first: their first ones are a share, too.
TEST(service_split, first_choices_of_many_instances_have_the_shares) {
    constexpr auto instances = 2000U;
    auto first = 0;
    auto after_change = 0;
    for (auto seed = 0U; seed < instances; ++seed) {
        auto instance = splitting_instance{seed};
        first += instance.next(split(70, 30)) == "a" ? 1 : 0;
        after_change += instance.next(split(1, 3)) == "a" ? 1 : 0;
    }
    constexpr auto tolerance = 0.05; // Over four standard deviations.
    EXPECT_NEAR(first / double{instances}, 0.7, tolerance);
    EXPECT_NEAR(after_change / double{instances}, 0.25, tolerance);
}

// Guards against shares that go wrong while versions follow one another faster than requests.
TEST(service_split, shares_hold_over_a_series_of_versions) {
    constexpr auto instances = 82U;
    auto expected = 0.0;
    auto to_b = 0;
    auto requests = 0;
    for (auto seed = 0U; seed < instances; ++seed) {
        auto instance = splitting_instance{seed};
        for (auto version = 0U; version < 12; ++version) {
            const auto rule = split(1 + version % 3, 1 + version % 2);
            const auto share =
                rule.services[1].weight / double(rule.services[0].weight + rule.services[1].weight);
            const auto count = static_cast<int>((seed + version) % 2); // A version of two gets no request.
            to_b += instance.count(rule, count, "b");
            expected += count * share;
            requests += count;
        }
    }
    EXPECT_NEAR(to_b / double(requests), expected / requests, 0.05);
}

} // namespace
} // namespace teaselcross
