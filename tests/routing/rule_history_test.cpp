// What is learnt of a rule's requests holds over versions of the configuration as long as it is about the
// same requests, and no longer.

#include "routing/rule_history.h"

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

const auto host = std::string{"h"};

auto make_rule(const std::string& name, const std::string& prefix, const std::string& service) -> route_rule {
    return {.name = name,
            .path_prefix = prefix,
            .kind = request_kind::idempotent,
            .services = {{.service = service_id{service}}}};
}

auto make_table(std::vector<route_rule> rules) -> route_table {
    auto table = route_table{.version = 1};
    table.rules_by_host[host] = std::move(rules);
    return table;
}

TEST(rule_history, stays_over_versions_that_do_not_touch_the_rule) {
    auto state = rule_histories{};
    const auto rule = make_rule("r", "/a/", "s");
    const auto before = find_history(state, make_table({rule}), host, rule);
    auto later = rule;
    later.timeout = std::chrono::seconds{2};
    later.rank = 3;
    EXPECT_EQ(find_history(state, make_table({later, make_rule("q", "/b/", "s")}), host, later), before);
}

// Guards against what was learnt of one path's requests being applied to another's.
TEST(rule_history, is_not_handed_on_with_a_name_that_is_used_for_something_else) {
    auto state = rule_histories{};
    const auto rule = make_rule("r", "/a/", "s");
    const auto before = find_history(state, make_table({rule}), host, rule);
    const auto other = make_rule("r", "/b/", "s");
    EXPECT_NE(find_history(state, make_table({other}), host, other), before);
    auto other_kind = rule;
    other_kind.kind = request_kind::at_most_once;
    EXPECT_NE(find_history(state, make_table({other_kind}), host, other_kind), before);
    EXPECT_NE(find_history(state, make_table({rule}), "other host", rule), before);
}

// Guards against the size of one service's answers being assumed for another's.
TEST(rule_history, knows_the_size_of_answers_by_service) {
    auto history = rule_history{};
    const auto rule = make_rule("r", "/a/", "s");
    record_answer_size(history, rule, service_id{"s"}, 90'000);
    EXPECT_DOUBLE_EQ(mean_answer_bytes(history, service_id{"s"}), 90'000);
    EXPECT_DOUBLE_EQ(mean_answer_bytes(history, service_id{"t"}), 0);
    record_answer_size(history, rule, service_id{"s"}, 80'000);
    EXPECT_DOUBLE_EQ(mean_answer_bytes(history, service_id{"s"}), 89'000);
}

// Guards against memory that grows with each rule and each service that ever was.
TEST(rule_history, is_dropped_with_its_rule) {
    auto state = rule_histories{};
    const auto kept = make_rule("k", "/k/", "s");
    const auto history = find_history(state, make_table({kept}), host, kept);
    for (auto number = 0; number < 1000; ++number) {
        const auto prefix = "/" + std::to_string(number) + "/";
        const auto rule = make_rule("r", prefix, "s");
        const auto table = make_table({kept, rule});
        EXPECT_NE(find_history(state, table, host, rule), nullptr);
        EXPECT_LE(state.by_rule.size(), 2U);
        const auto moved = make_rule("k", "/k/", "s" + std::to_string(number));
        record_answer_size(*history, moved, moved.services.front().service, 1);
        EXPECT_LE(history->mean_answer_bytes.size(), 1U);
    }
    EXPECT_EQ(find_history(state, make_table({kept}), host, kept), history);
}

} // namespace
} // namespace teaselcross
