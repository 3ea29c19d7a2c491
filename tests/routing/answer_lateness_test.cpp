// The share of late answers holds for the objective that it was measured with, over versions of the
// configuration.

#include "delivery/retry_budget.h"
#include "routing/answer_lateness.h"

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto make_table(const std::string& service, duration objective) -> route_table {
    auto table = route_table{.version = 1};
    table.rules_by_host["h"].push_back(
        {.name = "r", .objective = objective, .services = {{.service = service_id{service}}}});
    table.services[service_id{service}] = {};
    return table;
}

// Guards against refusals because answers were late for an objective of an earlier version.
TEST(answer_lateness, is_not_handed_on_to_another_objective) {
    auto state = answer_lateness{};
    const auto service = service_id{"s"};
    for (auto answers = 0; answers < 100; ++answers) {
        record_answer(find_lateness(state, service, milliseconds{10}), true);
    }
    EXPECT_GT(find_lateness(state, service, milliseconds{10}).share, 0.9);
    EXPECT_EQ(find_lateness(state, service, seconds{1}).share, 0);
}

// Guards against memory that grows with each service and objective that ever was.
TEST(answer_lateness, is_dropped_with_its_service_or_objective) {
    auto state = answer_lateness{};
    record_answer(find_lateness(state, service_id{"s"}, seconds{1}), true);
    record_answer(find_lateness(state, service_id{"s"}, seconds{2}), true);
    record_answer(find_lateness(state, service_id{"t"}, seconds{1}), true);
    drop_unknown(state, make_table("s", seconds{1}));
    ASSERT_EQ(state.estimates.size(), 1U);
    EXPECT_GT(find_lateness(state, service_id{"s"}, seconds{1}).share, 0);
}

// Guards against a second budget for a service that is removed and comes back within the window.
TEST(retry_budget, is_unused_only_after_its_window) {
    const auto options = retry_budget_options{.extra = 10, .window = seconds{10}};
    auto budget = retry_budget{};
    const auto start = instant{seconds{100}};
    EXPECT_TRUE(is_unused(budget, options, start));
    ASSERT_TRUE(take_extra(budget, options, 1, start));
    EXPECT_FALSE(is_unused(budget, options, start + seconds{10}));
    EXPECT_TRUE(is_unused(budget, options, start + seconds{12}));
}

} // namespace
} // namespace teaselcross
