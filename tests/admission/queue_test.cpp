// Admission queue: slots, queue limit, deadlines, fairness, and the concurrency limit of cold targets.

#include "admission/queue.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace teaselcross::test {

namespace {

constexpr auto start = instant{std::chrono::seconds{1}};
constexpr auto far = start + std::chrono::seconds{60};

auto make_queue(std::uint32_t slots, std::uint32_t cold_slots, std::uint32_t limit) -> admission_queue {
    auto queue = admission_queue{};
    queue.warmup = make_warmup({.slots = slots, .cold_slots = cold_slots}, start);
    queue.queue_limit = limit;
    return queue;
}

auto request(std::uint64_t number, const std::string& caller = "a", instant deadline = far)
    -> queued_request {
    return {.number = request_number{number}, .caller = caller, .deadline = deadline};
}

} // namespace

TEST(queue, a_cold_target_gets_only_its_cold_slots) {
    auto queue = make_queue(4, 1, 10);
    EXPECT_EQ(submit(queue, request(1), start).start.size(), 1U);
    EXPECT_TRUE(submit(queue, request(2), start).start.empty());
    EXPECT_EQ(finish(queue, request_number{1}, true, start + std::chrono::milliseconds{5}).start,
              std::vector{request_number{2}});
}

TEST(queue, the_limit_rises_with_good_completions_and_time) {
    auto queue = make_queue(4, 1, 10);
    auto now = start;
    for (auto number = 1U; number <= 400; ++number) {
        static_cast<void>(submit(queue, request(number), now));
        now += std::chrono::milliseconds{10};
        static_cast<void>(finish(queue, request_number{number}, true, now));
    }
    EXPECT_EQ(queue.warmup.limit, 4U);
}

TEST(queue, consecutive_failures_reset_a_target_to_cold) {
    auto state = make_warmup({.slots = 4, .cold_slots = 1}, start);
    state.limit = 4;
    for (auto count = 0; count < 3; ++count) {
        on_completion(state, false, std::chrono::milliseconds{1}, start);
    }
    EXPECT_EQ(state.limit, 1U);
    EXPECT_EQ(state.last_cold_cause, cold_cause::failures);
}

TEST(queue, a_latency_step_resets_a_target_to_cold) {
    auto state = make_warmup({.slots = 4, .cold_slots = 1}, start);
    state.limit = 4;
    for (auto count = 0; count < 20; ++count) {
        on_completion(state, true, std::chrono::milliseconds{2}, start);
    }
    for (auto count = 0; count < 3; ++count) {
        on_completion(state, true, std::chrono::milliseconds{40}, start);
    }
    EXPECT_EQ(state.limit, 1U);
    EXPECT_EQ(state.last_cold_cause, cold_cause::latency_step);
}

TEST(queue, a_request_that_cannot_finish_in_time_is_refused_at_once) {
    auto queue = make_queue(1, 1, 10);
    queue.service_us = 100'000;
    static_cast<void>(submit(queue, request(1), start));
    const auto result = submit(queue, request(2, "a", start + std::chrono::milliseconds{50}), start);
    ASSERT_EQ(result.drop.size(), 1U);
    EXPECT_EQ(result.drop.front().rejection.reason, admission_refusal::too_late);
    EXPECT_GT(result.drop.front().rejection.retry_after, duration{0});
}

TEST(queue, waiting_requests_start_in_deadline_order) {
    auto queue = make_queue(1, 1, 10);
    static_cast<void>(submit(queue, request(1), start));
    static_cast<void>(submit(queue, request(2, "a", far), start));
    static_cast<void>(submit(queue, request(3, "a", far - std::chrono::seconds{1}), start));
    EXPECT_EQ(finish(queue, request_number{1}, true, start).start, std::vector{request_number{3}});
}

TEST(queue, a_light_caller_displaces_a_request_of_a_heavy_one) {
    auto queue = make_queue(1, 1, 3);
    static_cast<void>(submit(queue, request(1, "heavy"), start));
    for (auto number = 2U; number <= 4; ++number) {
        static_cast<void>(submit(queue, request(number, "heavy"), start));
    }
    const auto result = submit(queue, request(5, "light"), start);
    ASSERT_EQ(result.drop.size(), 1U);
    EXPECT_NE(result.drop.front().number, request_number{5});
    EXPECT_EQ(finish(queue, request_number{1}, true, start).start, std::vector{request_number{5}});
}

TEST(queue, a_leaving_target_accepts_no_new_requests) {
    auto queue = make_queue(1, 1, 3);
    static_cast<void>(submit(queue, request(1), start));
    static_cast<void>(submit(queue, request(2), start));
    EXPECT_EQ(close_queue(queue).drop.size(), 1U);
    EXPECT_EQ(submit(queue, request(3), start).drop.front().rejection.reason,
              admission_refusal::target_leaving);
    EXPECT_EQ(queue.in_flight.size(), 1U);
}

RC_GTEST_PROP(queue, stays_within_its_limits_and_loses_no_request, ()) {
    auto queue = make_queue(4, 2, 5);
    auto now = start;
    auto open = std::set<std::uint64_t>{};
    auto running = std::set<std::uint64_t>{};
    const auto apply = [&](const admission_result& result) {
        for (const auto number : result.start) {
            running.insert(static_cast<std::uint64_t>(number));
        }
        for (const auto& dropped : result.drop) {
            open.erase(static_cast<std::uint64_t>(dropped.number));
        }
    };
    const auto steps = *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>());
    auto number = std::uint64_t{0};
    for (const auto step : steps) {
        now += std::chrono::milliseconds{step % 7};
        if (step % 3 != 0) {
            open.insert(++number);
            const auto deadline = now + std::chrono::milliseconds{1 + step};
            apply(submit(queue, request(number, step % 2 == 0 ? "a" : "b", deadline), now));
        } else if (!running.empty()) {
            const auto ended = *running.begin();
            running.erase(ended);
            open.erase(ended);
            apply(finish(queue, request_number{ended}, step % 5 != 0, now));
        }
        apply(on_tick(queue, now));
        RC_ASSERT(queue.in_flight.size() <= 4U);
        RC_ASSERT(queue.waiting.size() <= 5U);
        RC_ASSERT(queue.in_flight.size() == running.size());
        RC_ASSERT(queue.in_flight.size() + queue.waiting.size() == open.size());
    }
}

} // namespace teaselcross::test
