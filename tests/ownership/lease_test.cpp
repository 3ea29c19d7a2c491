// The controllers' lease: one holder at a time by its own clock, and a successor after it expires.

#include "ownership/lease.h"

#include <gtest/gtest.h>

namespace teaselcross::test {

namespace {

constexpr auto start = instant{std::chrono::seconds{10}};

auto candidate(const std::string& name) -> lease_candidate {
    auto state = lease_candidate{};
    state.self = instance_id{name};
    return state;
}

/// A candidate that acquired the free lease at the start.
auto holder() -> lease_candidate {
    auto state = candidate("a");
    on_lease_read(state, std::nullopt, {}, start);
    const auto write = next_lease_write(state, true, false, start);
    on_lease_written(state, write->object, {.number = 1}, start);
    return state;
}

} // namespace

TEST(lease, a_free_lease_is_acquired_and_held_for_its_term) {
    const auto state = holder();
    EXPECT_TRUE(holds_lease(state, start + std::chrono::milliseconds{1900}));
    EXPECT_FALSE(holds_lease(state, start + std::chrono::milliseconds{2000}));
}

TEST(lease, another_candidate_acquires_it_only_after_it_expired) {
    const auto first = holder();
    auto second = candidate("b");
    on_lease_read(second, first.last_known, {.number = 1}, start);
    EXPECT_FALSE(next_lease_write(second, true, false, start + std::chrono::milliseconds{2000}));
    const auto write = next_lease_write(second, true, false, start + std::chrono::milliseconds{2200});
    ASSERT_TRUE(write);
    EXPECT_EQ(write->object.epoch, 2U);
    EXPECT_FALSE(holds_lease(first, start + std::chrono::milliseconds{2200}));
}

TEST(lease, a_renewal_restarts_the_wait) {
    const auto first = holder();
    auto second = candidate("b");
    on_lease_read(second, first.last_known, {.number = 1}, start);
    auto renewed = *first.last_known;
    ++renewed.renewals;
    on_lease_read(second, renewed, {.number = 2}, start + std::chrono::milliseconds{1500});
    EXPECT_FALSE(next_lease_write(second, true, false, start + std::chrono::milliseconds{3000}));
}

TEST(lease, the_term_of_a_dead_holder_is_not_awaited) {
    const auto first = holder();
    auto second = candidate("b");
    on_lease_read(second, first.last_known, {.number = 1}, start);
    EXPECT_TRUE(next_lease_write(second, true, true, start + std::chrono::milliseconds{300}));
}

// Guards against a successor that loses its lease at once to a candidate which could not reach the holder
// before.
TEST(lease, a_refused_connection_speaks_only_of_the_holder_that_refused_it) {
    auto candidate_of_two = candidate("c");
    on_lease_read(candidate_of_two, lease_object{.holder = instance_id{"a"}, .epoch = 1}, {.number = 1},
                  start);
    on_holder_called(candidate_of_two, instance_id{"a"}, true);
    auto other = candidate_of_two;
    EXPECT_TRUE(next_lease_write(other, true, false, start)) << "the holder has ended";

    const auto successor = lease_object{.holder = instance_id{"b"}, .epoch = 2};
    on_lease_read(candidate_of_two, successor, {.number = 2}, start);
    EXPECT_FALSE(next_lease_write(candidate_of_two, true, false, start)) << "its successor has not";
}

TEST(lease, a_holder_that_accepts_a_connection_again_has_not_ended) {
    auto state = candidate("c");
    on_lease_read(state, lease_object{.holder = instance_id{"a"}, .epoch = 1}, {.number = 1}, start);
    on_holder_called(state, instance_id{"a"}, true);
    on_holder_called(state, instance_id{"a"}, false);
    EXPECT_FALSE(next_lease_write(state, true, false, start));
}

// Guards against a doubt about earlier grants that ends with the process that has it.
TEST(lease, what_is_unsettled_is_handed_on) {
    auto state = holder();
    EXPECT_FALSE(state.last_known->is_settled) << "a lease that was just acquired";
    state.is_settled = true;
    const auto renewed = reclaim_lease(state, start);
    EXPECT_TRUE(renewed.object.is_settled);
    EXPECT_TRUE(lease_object_from_json(to_json(renewed.object)).is_settled);
    on_lease_written(state, renewed.object, {.era = 1, .number = 2}, start);

    on_lease_read(state, renewed.object, {.era = 2, .number = 2}, start);
    ASSERT_TRUE(state.is_lost);
    EXPECT_FALSE(reclaim_lease(state, start).object.is_settled) << "records were lost with the lease";

    auto successor = candidate("b");
    on_lease_read(successor, renewed.object, {.number = 2}, start);
    successor.is_settled = true;
    const auto write = next_lease_write(successor, true, true, start);
    ASSERT_TRUE(write);
    EXPECT_FALSE(write->object.is_settled);
}

TEST(lease, a_lease_of_an_earlier_build_is_unsettled) {
    auto document = to_json(lease_object{.holder = instance_id{"a"}, .epoch = 1, .is_settled = true});
    document.erase("settled");
    EXPECT_FALSE(lease_object_from_json(document).is_settled);
}

TEST(lease, a_write_with_unknown_outcome_does_not_acquire_the_lease) {
    auto state = candidate("a");
    on_lease_read(state, std::nullopt, {}, start);
    static_cast<void>(next_lease_write(state, true, false, start));
    on_lease_write_failed(state, start);
    EXPECT_FALSE(holds_lease(state, start));
    EXPECT_FALSE(next_lease_write(state, true, false, start + std::chrono::seconds{1}));
}

// Guards against a holder that is believed although its lease is one of before the store was restored: others
// may have held it since.
TEST(lease, a_lease_of_an_earlier_era_is_no_lease) {
    const auto earlier = lease_object{.holder = instance_id{"a"}, .epoch = 3, .renewals = 7, .era = 1};
    auto state = candidate("b");
    on_lease_read(state, earlier, {.era = 1, .number = 90}, start);
    EXPECT_FALSE(state.is_lost);
    auto later = earlier;
    later.epoch = 5;
    on_lease_announced(state, later, start);
    on_lease_read(state, earlier, {.era = 2, .number = 90}, start);
    EXPECT_TRUE(state.is_lost);
    EXPECT_EQ(state.last_known->epoch, 5U) << "the holder that reports go to is still the latest one";

    EXPECT_FALSE(next_lease_write(state, true, false, start)) << "its holder is given time to renew it";
    const auto write = next_lease_write(state, true, false, start + std::chrono::seconds{3});
    ASSERT_TRUE(write);
    EXPECT_EQ(write->object.era, 2U);
    EXPECT_GT(write->object.epoch, 5U);
    EXPECT_EQ(write->expected_version, (store_revision{.era = 2, .number = 90}));
}

// Guards against an answer of before the restore that arrives late and brings the lost holder back.
TEST(lease, an_answer_of_an_earlier_era_changes_nothing) {
    auto state = candidate("b");
    const auto present = lease_object{.holder = instance_id{"c"}, .epoch = 2, .era = 2};
    on_lease_read(state, present, {.era = 2, .number = 40}, start);
    on_lease_read(state, lease_object{.holder = instance_id{"a"}, .epoch = 9, .era = 1},
                  {.era = 1, .number = 99}, start);
    EXPECT_EQ(state.last_known, present);
    EXPECT_FALSE(on_lease_announced(state, {.holder = instance_id{"a"}, .epoch = 9, .era = 1}, start));
    EXPECT_EQ(state.last_known, present);
}

// Guards against a term that ends, with all that its controller knows, only because the store was restored.
TEST(lease, the_holder_of_a_lost_lease_reclaims_it_in_the_new_era) {
    auto state = candidate("a");
    on_lease_read(state, std::nullopt, {.era = 1}, start);
    const auto first = next_lease_write(state, true, false, start);
    on_lease_written(state, first->object, {.era = 1, .number = 50}, start);
    const auto now = start + std::chrono::seconds{1};
    on_lease_read(state, std::nullopt, {.era = 2}, now);
    ASSERT_TRUE(state.is_lost);
    const auto write = reclaim_lease(state, now);
    EXPECT_EQ(write.object.holder, state.self);
    EXPECT_EQ(write.object.era, 2U);
    EXPECT_EQ(write.expected_version, (store_revision{.era = 2}));
    on_lease_written(state, write.object, {.era = 2, .number = 31}, now);
    EXPECT_FALSE(state.is_lost);
    EXPECT_TRUE(holds_lease(state, now));
}

// Guards against a candidate that reports to a holder of before the restore, or takes its lease at once: the
// latest holder is given time to reclaim it.
TEST(lease, a_lost_lease_names_no_holder_to_one_that_knew_none) {
    auto state = candidate("b");
    const auto lost = lease_object{.holder = instance_id{"a"}, .epoch = 3, .renewals = 7, .era = 1};
    on_lease_read(state, lost, {.era = 2, .number = 90}, start);
    EXPECT_TRUE(state.is_lost);
    EXPECT_FALSE(state.last_known);
    EXPECT_FALSE(next_lease_write(state, true, false, start));
    EXPECT_TRUE(next_lease_write(state, true, false, start + std::chrono::seconds{3}));
}

// Guards against two controllers that both send orders: an instance that had acknowledged a new holder took a
// late answer of the store for the present lease, and went on reporting to the holder before.
TEST(lease, an_answer_from_before_an_announcement_brings_no_earlier_holder_back) {
    auto state = candidate("c");
    const auto earlier = lease_object{.holder = instance_id{"a"}, .epoch = 5, .renewals = 7, .era = 1};
    on_lease_read(state, earlier, {.era = 1, .number = 10}, start);
    const auto announced = lease_object{.holder = instance_id{"b"}, .epoch = 6, .era = 1};
    ASSERT_TRUE(on_lease_announced(state, announced, start + std::chrono::milliseconds{300}));
    on_lease_read(state, earlier, {.era = 1, .number = 10}, start + std::chrono::milliseconds{500});
    EXPECT_EQ(state.last_known, announced);
    EXPECT_FALSE(next_lease_write(state, true, true, start + std::chrono::milliseconds{500}));
}

} // namespace teaselcross::test
