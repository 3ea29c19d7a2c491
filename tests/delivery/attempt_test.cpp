// Retry decisions after each kind of failure, operation identities and records, and hedging.

#include "delivery/attempt.h"
#include "delivery/hedge.h"
#include "delivery/operation_id.h"
#include "delivery/operation_table.h"

#include <gtest/gtest.h>

namespace teaselcross::test {

namespace {

constexpr auto now = instant{std::chrono::seconds{1}};
constexpr auto deadline = instant{std::chrono::seconds{2}};

} // namespace

TEST(attempt, not_run_is_never_reported_after_an_attempt_that_may_have_run) {
    auto budget = retry_token_bucket{};
    auto state = attempt_state{.repeatable = true, .deadline = deadline};
    EXPECT_EQ(after_attempt(state, budget, attempt_end::lost, now), next_step::try_again);
    EXPECT_EQ(after_attempt(state, budget, attempt_end::refused, now), next_step::answer_unknown);
}

TEST(attempt, a_request_that_is_not_repeatable_is_not_sent_again) {
    auto budget = retry_token_bucket{};
    auto state = attempt_state{.repeatable = false, .deadline = deadline};
    EXPECT_EQ(after_attempt(state, budget, attempt_end::lost, now), next_step::answer_unknown);
}

TEST(attempt, retries_stop_when_the_budget_is_used_up) {
    auto budget = retry_token_bucket{.tokens = 1};
    auto first = attempt_state{.repeatable = true, .deadline = deadline};
    EXPECT_EQ(after_attempt(first, budget, attempt_end::lost, now), next_step::try_again);
    EXPECT_EQ(after_attempt(first, budget, attempt_end::lost, now), next_step::answer_unknown);
}

TEST(attempt, retries_of_a_request_that_did_not_run_end_at_the_deadline) {
    auto budget = retry_token_bucket{};
    auto state = attempt_state{.repeatable = true, .deadline = deadline};
    EXPECT_EQ(after_attempt(state, budget, attempt_end::not_run, now), next_step::try_again);
    EXPECT_EQ(after_attempt(state, budget, attempt_end::not_run, deadline), next_step::answer_not_run);
}

TEST(operation_id, text_form_round_trips) {
    const auto id =
        issued_operation{.issued = wall_time{1'234'567}, .random = 42, .home = target_id{"pay-3"}};
    EXPECT_EQ(parse_issued(to_text(id)), id);
    EXPECT_FALSE(parse_issued("tc1-zz-1-home"));
    EXPECT_FALSE(parse_issued("tc1-1-2-"));
    EXPECT_FALSE(parse_issued("an identity chosen by the caller"));
}

TEST(operation_table, a_full_table_refuses_and_keeps_its_records) {
    auto table = make_operation_table({.max_operations = 2}, true, wall_time{0});
    const auto wall = wall_time{10'000};
    EXPECT_EQ(begin_operation(table, "a", false, now, wall), operation_verdict::create_intent);
    EXPECT_EQ(begin_operation(table, "b", false, now, wall), operation_verdict::create_intent);
    EXPECT_EQ(begin_operation(table, "c", false, now, wall), operation_verdict::refuse_full);
    EXPECT_EQ(begin_operation(table, "a", false, now, wall), operation_verdict::join);
}

TEST(operation_table, after_retention_an_old_identity_is_unknown) {
    auto table = make_operation_table({.retention = std::chrono::seconds{10}}, false, wall_time{0});
    const auto id = to_text({.issued = wall_time{50'000}, .random = 1, .home = target_id{"t"}});
    EXPECT_EQ(begin_operation(table, id, false, now, wall_time{50'000}), operation_verdict::run);
    operation_finished(table, id, {.status = 200}, now);
    EXPECT_EQ(begin_operation(table, id, false, now, wall_time{51'000}), operation_verdict::answer);
    const auto later = now + std::chrono::seconds{20};
    EXPECT_EQ(begin_operation(table, id, false, later, wall_time{70'000}), operation_verdict::answer_unknown);
}

TEST(hedge, uses_the_quantile_as_delay_and_keeps_to_the_budget) {
    auto state = make_hedger({});
    EXPECT_FALSE(hedge_delay(state));
    for (auto count = 0; count < 100; ++count) {
        on_answered(state, std::chrono::milliseconds{count < 90 ? 5 : 100});
    }
    EXPECT_EQ(hedge_delay(state), duration{std::chrono::milliseconds{100}});
    auto hedges = 0;
    for (auto count = 0; count < 1000; ++count) {
        static_cast<void>(hedge_delay(state));
        hedges += take_hedge(state) ? 1 : 0;
    }
    EXPECT_LE(hedges, 60);
}

} // namespace teaselcross::test
