// Load reports that instances share: what the exchange returns to whom, and what a report of others may
// change in an instance's own view of a target.

#include "admission/load_exchange.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace teaselcross::test {

namespace {

using std::chrono::milliseconds;

constexpr auto start = instant{std::chrono::seconds{10}};

auto report(std::uint64_t target, instant at, std::uint32_t requests = 3) -> shared_report {
    return {.target = target, .requests = requests, .reported_at = at};
}

} // namespace

/// Guards against messages that grow with the fleet: each instance gets each report once, and none of its
/// own.
TEST(load_exchange, each_instance_gets_what_is_new_to_it) {
    auto exchange = load_exchange{};
    EXPECT_TRUE(exchange_reports(exchange, "a", {report(1, start)}, {}, start).empty());
    EXPECT_EQ(exchange_reports(exchange, "b", {report(2, start)}, {}, start), std::vector{report(1, start)});
    EXPECT_EQ(exchange_reports(exchange, "a", {}, {}, start), std::vector{report(2, start)});
    EXPECT_TRUE(exchange_reports(exchange, "a", {}, {}, start).empty());
    EXPECT_EQ(exchange_reports(exchange, "c", {}, {}, start).size(), 2U);
}

/// Guards against messages that arrive in another order than the reports were made.
TEST(load_exchange, an_older_report_never_replaces_a_newer_one) {
    auto exchange = load_exchange{};
    exchange_reports(exchange, "a", {report(1, start, 9)}, {}, start);
    exchange_reports(exchange, "b", {report(1, start - milliseconds{200}, 2)}, {}, start);
    EXPECT_EQ(exchange_reports(exchange, "c", {}, {}, start), std::vector{report(1, start, 9)});

    auto outbox = load_outbox{};
    add_report(outbox, report(1, start, 9));
    add_report(outbox, report(1, start - milliseconds{200}, 2));
    EXPECT_EQ(take_reports(outbox, 10), std::vector{report(1, start, 9)});
}

/// Guards against large messages and a growing exchange with many targets and instances that come and go.
TEST(load_exchange, messages_and_memory_are_bounded) {
    const auto options = exchange_options{};
    auto exchange = load_exchange{};
    auto now = start;
    for (std::uint64_t target = 1; target <= 1000; ++target, now += milliseconds{1}) {
        exchange_reports(exchange, "i" + std::to_string(target), {report(target, now)}, options, now);
    }
    const auto returned = exchange_reports(exchange, "late", {}, options, now);
    EXPECT_EQ(returned.size(), options.max_reports);
    EXPECT_EQ(returned.front().target, 1000U) << "the newest are of most use";
    now += options.forget_instance_after + milliseconds{1};
    EXPECT_TRUE(exchange_reports(exchange, "late", {}, options, now).empty()) << "all are too old";
    EXPECT_TRUE(exchange.reports.empty() && exchange.by_sequence.empty());
    EXPECT_EQ(exchange.instances.size(), 1U);
}

/// Guards against counting this instance's own requests twice, or requests that it sent after the report.
TEST(load_exchange, a_shared_report_accounts_for_own_requests_at_its_time) {
    auto view = target_view{.listed = {.slots = 4}};
    on_sent(view, start);
    on_sent(view, start);
    on_sent(view, start + milliseconds{50});
    on_ended(view, send_result::answered, milliseconds{60}, {}, start + milliseconds{60});
    const auto now = start + milliseconds{100};
    ASSERT_TRUE(on_shared_report(view, report(1, start + milliseconds{20}, 5), now));
    EXPECT_EQ(view.other_requests, 3U) << "two of the five were its own";
    ASSERT_TRUE(on_shared_report(view, report(1, start + milliseconds{55}, 5), now));
    EXPECT_EQ(view.other_requests, 2U) << "three of the five were its own";
}

/// Guards against a report that was long on its way: it is as stale as if this instance had heard it itself
/// then, and says less than its own newer one.
TEST(load_exchange, a_shared_report_is_as_old_as_its_age) {
    auto early = target_view{.listed = {.slots = 4}};
    on_report(early, {.running = 4, .waiting = 8, .slots = 4, .slowness = 3}, start);
    const auto now = start + milliseconds{700};
    auto shared = target_view{.listed = {.slots = 4}};
    on_shared_report(shared, {.requests = 12, .slowness = 3, .reported_at = start}, now);
    EXPECT_EQ(expected_other_requests(shared, {}, now), expected_other_requests(early, {}, now));

    on_report(early, {.running = 1, .slots = 4}, now);
    EXPECT_FALSE(on_shared_report(early, report(1, now - milliseconds{1}, 12), now));
    EXPECT_EQ(early.other_requests, 1U);
}

/// Guards against requests that are sent to a full owner only to be rejected there: a quarter of all arrivals
/// of a keyed service under load. Without shared reports nothing is refused for it.
TEST(load_exchange, a_full_queue_is_known_from_reports_of_others_until_it_is_stale) {
    const auto full = load_report{.running = 4, .waiting = 12, .slots = 4};
    auto view = target_view{.listed = {.slots = 4}};
    note_queue(view, full, true);
    on_report(view, full, start);
    EXPECT_FALSE(is_known_full(view, {}, start)) << "no reports are shared";
    on_shared_report(view, {.requests = 16, .rejected = true, .reported_at = start + milliseconds{1}},
                     start + milliseconds{1});
    EXPECT_TRUE(is_known_full(view, {}, start + milliseconds{50}));
    EXPECT_FALSE(is_known_full(view, {}, start + milliseconds{600})) << "the report is stale";
    on_shared_report(view, report(1, start + milliseconds{60}, 9), start + milliseconds{100});
    EXPECT_FALSE(is_known_full(view, {}, start + milliseconds{100}));
    on_shared_report(view, report(1, start + milliseconds{110}, 20), start + milliseconds{110});
    EXPECT_FALSE(is_known_full(view, {}, start + milliseconds{110})) << "it queues more than it did";
}

/// Guards against targets that reject at random: it says nothing about their queue.
TEST(load_exchange, a_rejection_beside_a_free_slot_is_not_a_full_queue) {
    auto view = target_view{.listed = {.slots = 4}};
    note_queue(view, {.running = 2, .waiting = 0, .slots = 4}, true);
    EXPECT_EQ(view.full_at, 0U);
}

} // namespace teaselcross::test
