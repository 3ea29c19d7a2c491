// Choice of the target for a request: stale load reports, failures, cold targets, distance.

#include "admission/target_view.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace teaselcross::test {

namespace {

using std::chrono::milliseconds;

constexpr auto start = instant{std::chrono::seconds{10}};

auto view(const std::string& name, const std::string& data_centre = "west") -> target_view {
    return {.listed = {.id = target_id{name}, .data_centre = data_centre_id{data_centre}, .slots = 4},
            .service_us = 100'000};
}

auto chosen(std::vector<target_view>& views, const choice_context& context, instant now) -> std::string {
    auto pointers = std::vector<target_view*>{};
    for (auto& each : views) {
        pointers.push_back(&each);
    }
    auto* best = choose_view(pointers, context, 7, now);
    return best == nullptr ? "" : best->listed.id.value();
}

} // namespace

TEST(target_view, a_report_of_high_load_diverts_requests_until_it_is_stale) {
    auto views = std::vector{view("a"), view("b")};
    on_report(views[0], {.running = 4, .waiting = 8, .slots = 4}, start);
    const auto context = choice_context{.own_data_centre = data_centre_id{"west"}};
    EXPECT_EQ(chosen(views, context, start), "b");
    on_report(views[1], {.running = 4, .waiting = 2, .slots = 4}, start + std::chrono::seconds{3});
    EXPECT_EQ(chosen(views, context, start + std::chrono::seconds{3}), "a");
}

TEST(target_view, own_requests_in_flight_count_before_a_report_shows_them) {
    auto views = std::vector{view("a"), view("b")};
    for (auto count = 0; count < 8; ++count) {
        on_sent(views[0]);
    }
    EXPECT_EQ(chosen(views, {.own_data_centre = data_centre_id{"west"}}, start), "b");
}

TEST(target_view, large_answers_stay_in_the_data_centre_while_it_has_capacity) {
    auto views = std::vector{view("near", "west"), view("far", "east")};
    const auto context =
        choice_context{.own_data_centre = data_centre_id{"west"}, .distance_cost = milliseconds{200}};
    EXPECT_EQ(chosen(views, context, start), "near");
    on_report(views[0], {.running = 4, .waiting = 12, .slots = 4}, start);
    EXPECT_EQ(chosen(views, context, start), "far");
}

TEST(target_view, a_local_target_that_would_answer_late_is_not_preferred) {
    auto views = std::vector{view("near", "west"), view("far", "east")};
    const auto context = choice_context{.own_data_centre = data_centre_id{"west"},
                                        .distance_cost = std::chrono::seconds{2},
                                        .max_local_finish = milliseconds{300}};
    on_report(views[0], {.running = 4, .waiting = 4, .slots = 4}, start);
    EXPECT_EQ(chosen(views, context, start), "near");
    on_report(views[0], {.running = 4, .waiting = 12, .slots = 4}, start);
    EXPECT_EQ(chosen(views, context, start), "far");
}

TEST(target_view, the_backoff_for_an_unresponsive_target_grows) {
    auto unresponsive = view("a");
    on_sent(unresponsive);
    on_ended(unresponsive, send_result::no_answer, milliseconds{10}, {}, start);
    const auto first = unresponsive.avoid_until - start;
    on_sent(unresponsive);
    on_ended(unresponsive, send_result::no_answer, milliseconds{10}, {}, start);
    EXPECT_GT(unresponsive.avoid_until - start, first);
    on_sent(unresponsive);
    on_ended(unresponsive, send_result::answered, milliseconds{100}, {}, start);
    EXPECT_EQ(unresponsive.silent_sends, 0U);
}

TEST(target_view, a_partly_failing_target_gets_fewer_requests_although_it_answers_fast) {
    auto views = std::vector{view("failing"), view("sound")};
    for (auto count = 0; count < 10; ++count) {
        on_sent(views[0]);
        on_ended(views[0], send_result::failed, milliseconds{5}, {}, start);
    }
    EXPECT_EQ(chosen(views, {.own_data_centre = data_centre_id{"west"}}, start), "sound");
}

TEST(target_view, a_cold_target_never_exceeds_its_rate_limit_in_any_second) {
    auto cold = view("a");
    mark_cold(cold, std::chrono::seconds{3}, start);
    const auto share = cold_rate_limit{.rate = 2, .burst = 1};
    auto taken = std::vector<instant>{};
    for (auto now = start; now < start + std::chrono::seconds{3}; now += milliseconds{10}) {
        if (take_cold_credit(cold, share, now)) {
            taken.push_back(now);
        }
    }
    for (std::size_t index = 3; index < taken.size(); ++index) {
        EXPECT_GE(taken[index] - taken[index - 3], std::chrono::seconds{1});
    }
    EXPECT_GE(taken.size(), 5U);
}

/// Pattern: a key gets many times what its owner can serve, and the owner resets connections beyond its cap.
/// Each request that is sent then is lost with its connection, and two such losses made the owner count as
/// gone.
TEST(target_view, a_target_that_resets_new_connections_is_left_alone_for_longer_each_time) {
    auto own = view("t");
    const auto options = view_options{};
    auto now = start;
    auto pauses = std::vector<duration>{};
    for (auto number = 0; number < 5; ++number) {
        on_sent(own);
        on_ended(own, send_result::reset, milliseconds{2}, options, now);
        pauses.push_back(own.full_until - now);
        now = own.full_until;
    }
    EXPECT_EQ(pauses.front(), options.full_backoff);
    EXPECT_TRUE(std::is_sorted(pauses.begin(), pauses.end()));
    EXPECT_EQ(pauses.back(), options.max_full_backoff);
    EXPECT_EQ(own.silent_sends, 0U) << "it is not silent";
    on_sent(own);
    on_ended(own, send_result::answered, milliseconds{100}, options, now);
    on_sent(own);
    on_ended(own, send_result::reset, milliseconds{2}, options, now);
    EXPECT_EQ(own.full_until - now, options.full_backoff);
}

} // namespace teaselcross::test
