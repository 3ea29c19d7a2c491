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
    on_lease_read(state, std::nullopt, {.number = 0}, start);
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

TEST(lease, a_write_with_unknown_outcome_does_not_acquire_the_lease) {
    auto state = candidate("a");
    on_lease_read(state, std::nullopt, {.number = 0}, start);
    static_cast<void>(next_lease_write(state, true, false, start));
    on_lease_write_failed(state, start);
    EXPECT_FALSE(holds_lease(state, start));
    EXPECT_FALSE(next_lease_write(state, true, false, start + std::chrono::seconds{1}));
}

} // namespace teaselcross::test
