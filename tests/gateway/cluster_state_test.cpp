// Tests how the cluster state handles targets that leave.

#include "gateway/cluster_state.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto start = instant{seconds{100}};

class cluster_state_targets : public testing::Test {
protected:
    auto leaving_since() const -> std::optional<instant> {
        return m_cluster.target(target_id{"t"})->leaving_since;
    }

    auto leaving_not_before() const -> instant {
        return m_cluster.target(target_id{"t"})->leaving_not_before;
    }

    boost::asio::io_context m_context;
    gateway_settings m_settings;
    cluster_state m_cluster{m_settings, m_context.get_executor()};
};

TEST_F(cluster_state_targets, target_that_starts_leaving_gets_full_drain_time) {
    m_cluster.put_target({.id = target_id{"t"}}, {.number = 1}, start);
    m_cluster.put_target({.id = target_id{"t"}, .leaving = true}, {.number = 2}, start + seconds{1});
    EXPECT_EQ(leaving_since(), start + seconds{1});
}

// Guards against a restarted instance sending requests to a leaving target beyond the allowed time. It took
// the time of its first read of the list for the time at which the target had started to leave (found by the
// soak test, seed 2).
TEST_F(cluster_state_targets, target_first_listed_as_leaving_gets_no_drain_time) {
    m_cluster.put_target({.id = target_id{"t"}, .leaving = true}, {.number = 1}, start);
    EXPECT_LE(leaving_since(), start - m_settings.drain);
}

// Guards against requests with a key to a target that left longer ago than the drain time: an instance whose
// copy was late counted that time from when it learnt of the leaving.
TEST_F(cluster_state_targets, leaving_may_be_as_old_as_the_last_copy_without_it) {
    const auto confirmed = start + milliseconds{200};
    m_cluster.put_target({.id = target_id{"t"}}, {.number = 1}, start, instant{});
    m_cluster.put_target({.id = target_id{"t"}, .leaving = true}, {.number = 2}, start + seconds{1},
                         confirmed);
    EXPECT_EQ(leaving_not_before(), confirmed);
    m_cluster.remove_target(target_id{"t"}, std::nullopt, start + seconds{2}, start + seconds{2});
    EXPECT_EQ(leaving_not_before(), confirmed);
}

// Guards against the same for a target that is removed unannounced, at once or after the grace of an
// outage.
TEST_F(cluster_state_targets, removal_may_be_as_old_as_the_last_copy_with_the_entry) {
    const auto confirmed = start + milliseconds{200};
    m_cluster.put_target({.id = target_id{"t"}}, {.number = 1}, start, instant{});
    m_cluster.remove_target(target_id{"t"}, seconds{1}, start + seconds{1}, confirmed);
    m_cluster.remove_expired(start + seconds{2});
    EXPECT_EQ(leaving_since(), start + seconds{2});
    EXPECT_EQ(leaving_not_before(), confirmed);
}

// Guards against requests with a key to a target that left longer ago than the drain time: what another
// instance said of the leaving came late, and its arrival was taken for the earliest time of the leaving.
TEST_F(cluster_state_targets, entry_tells_the_age_of_a_leaving_that_was_heard_of_before) {
    const auto confirmed = start + milliseconds{200};
    m_cluster.put_target({.id = target_id{"t"}, .start_time_ms = 1}, {.number = 1}, start, instant{});
    m_cluster.set_leaving({.target = target_id{"t"}, .start_time_ms = 1}, "instance", start + seconds{1});
    m_cluster.put_target({.id = target_id{"t"}, .leaving = true, .start_time_ms = 1}, {.number = 2},
                         start + milliseconds{1100}, confirmed);
    EXPECT_EQ(leaving_not_before(), confirmed);
}

// Guards against refusing requests to an owner at once because the word of its leaving came before its entry.
TEST_F(cluster_state_targets, target_that_is_listed_after_the_word_of_its_leaving_has_a_time_of_leaving) {
    m_cluster.set_leaving({.target = target_id{"t"}, .start_time_ms = 1}, "instance", start);
    m_cluster.put_target({.id = target_id{"t"}, .start_time_ms = 1}, {.number = 1}, start + seconds{1},
                         start + seconds{1});
    EXPECT_GE(leaving_not_before(), start - m_settings.drain);
}

// Guards against a former holder that cannot be asked to release its keys once its entry has lapsed, and
// against calls to another target that has got its address.
TEST_F(cluster_state_targets, address_of_a_removed_target_is_known_until_another_process_or_target_has_it) {
    const auto listed = [](const char* id, std::uint64_t start_time_ms) {
        return listed_target{
            .id = target_id{id}, .host = "10.0.0.1", .port = 80, .start_time_ms = start_time_ms};
    };
    const auto former = target_incarnation{.id = target_id{"t"}, .start_time_ms = 7};
    m_cluster.put_target(listed("t", 7), {.number = 1}, start);
    EXPECT_TRUE(m_cluster.last_address(former));
    EXPECT_FALSE(m_cluster.last_address({.id = target_id{"t"}, .start_time_ms = 6}));
    m_cluster.remove_target(target_id{"t"}, std::nullopt, start);
    m_cluster.remove_expired(start + seconds{60});
    ASSERT_EQ(m_cluster.target(target_id{"t"}), nullptr);
    EXPECT_EQ(m_cluster.last_address(former), (endpoint{.host = "10.0.0.1", .port = 80}));
    m_cluster.put_target(listed("u", 9), {.number = 2}, start + seconds{61});
    EXPECT_FALSE(m_cluster.last_address(former)) << "another target is listed there";
}

class cluster_state_restored : public cluster_state_targets {
protected:
    cluster_state_restored() { m_cluster.note_era(1, start); }

    auto restore(instant now) -> void { m_cluster.note_era(2, now); }
    auto put(std::uint64_t era, std::uint64_t number, std::uint64_t sequence, bool leaving, instant now)
        -> void {
        m_cluster.put_target(
            {.id = target_id{"t"}, .leaving = leaving, .start_time_ms = 7, .sequence = sequence},
            {.era = era, .number = number}, now);
    }
    auto end_grace(instant restored) -> void {
        m_cluster.remove_expired(restored + m_settings.outage_grace + seconds{1});
    }
};

// Guards against new requests to a leaving target whose entry of before it left came back with the store.
TEST_F(cluster_state_restored, an_older_entry_does_not_undo_that_a_target_is_leaving) {
    put(1, 100, 20, false, start);
    put(1, 150, 25, true, start + seconds{1});
    restore(start + seconds{2});
    put(2, 100, 20, false, start + seconds{2});
    EXPECT_EQ(leaving_since(), start + seconds{1});
    put(2, 112, 25, true, start + seconds{3});
    end_grace(start + seconds{2});
    EXPECT_EQ(leaving_since(), start + seconds{1});
}

// The same for a target that was removed so long ago that only its departure is remembered.
TEST_F(cluster_state_restored, an_older_entry_does_not_bring_back_a_removed_target) {
    put(1, 100, 20, false, start);
    m_cluster.remove_target(target_id{"t"}, std::nullopt, start);
    m_cluster.remove_expired(start + seconds{8});
    ASSERT_EQ(m_cluster.target(target_id{"t"}), nullptr);
    restore(start + seconds{8});
    put(2, 100, 20, false, start + seconds{8});
    EXPECT_EQ(m_cluster.target(target_id{"t"}), nullptr);
    m_cluster.remove_target(target_id{"t"}, std::nullopt, start + seconds{9});
    end_grace(start + seconds{8});
    EXPECT_EQ(m_cluster.target(target_id{"t"}), nullptr);
}

// Guards against a live target that stays unused, because the store's word was never taken again.
TEST_F(cluster_state_restored, a_target_that_is_still_listed_after_the_grace_is_used) {
    put(1, 100, 20, false, start);
    m_cluster.remove_target(target_id{"t"}, std::nullopt, start);
    m_cluster.remove_expired(start + seconds{8});
    restore(start + seconds{8});
    put(2, 100, 20, false, start + seconds{8});
    end_grace(start + seconds{8});
    ASSERT_NE(m_cluster.target(target_id{"t"}), nullptr);
    EXPECT_FALSE(leaving_since());
}

TEST_F(cluster_state_restored, a_later_description_or_process_is_used_at_once) {
    put(1, 150, 25, true, start);
    restore(start + seconds{2});
    m_cluster.put_target({.id = target_id{"t"}, .start_time_ms = 9, .sequence = 1}, {.era = 2, .number = 103},
                         start + seconds{2});
    EXPECT_FALSE(leaving_since());
}

// Guards against two owners of a key: a grant to an earlier process of the target reaches the present one,
// which then counts as restarted and without keys (found by the soak, seed 1005).
TEST_F(cluster_state_restored, an_entry_of_an_earlier_process_is_never_used_again) {
    put(1, 150, 25, false, start);
    restore(start + seconds{2});
    m_cluster.put_target({.id = target_id{"t"}, .start_time_ms = 6, .sequence = 40},
                         {.era = 2, .number = 103}, start + seconds{2});
    end_grace(start + seconds{2});
    EXPECT_EQ(m_cluster.target(target_id{"t"})->view.listed.start_time_ms, 7U);
}

// Guards against requests to a data centre that is out of service, because its entry was missing from a
// restored store until the operator's client had written it again.
TEST_F(cluster_state_restored, a_data_centre_stays_out_of_service_while_its_entry_may_come_back) {
    const auto west = data_centre_id{"west"};
    const auto restored = start + seconds{5};
    m_cluster.take_out_of_service(west, {.era = 1, .number = 120}, start, start);
    restore(restored);
    m_cluster.return_to_service(west, restored);
    EXPECT_EQ(m_cluster.out_of_service_since(west), start);
    m_cluster.take_out_of_service(west, {.era = 2, .number = 113}, restored, restored + seconds{1});
    end_grace(restored);
    EXPECT_EQ(m_cluster.out_of_service_since(west), start);
    m_cluster.return_to_service(west, restored + seconds{9});
    EXPECT_FALSE(m_cluster.out_of_service_since(west));
}

TEST_F(cluster_state_restored, a_data_centre_whose_entry_stays_missing_returns_to_service) {
    const auto west = data_centre_id{"west"};
    m_cluster.take_out_of_service(west, {.era = 1, .number = 120}, start, start);
    restore(start + seconds{5});
    m_cluster.return_to_service(west, start + seconds{5});
    end_grace(start + seconds{5});
    EXPECT_FALSE(m_cluster.out_of_service_since(west));
}

// Guards against a majority of the few instances that have registered again so far: another controller may
// have the reports of all others.
TEST_F(cluster_state_restored, a_majority_is_of_the_fleet_of_before_until_all_can_have_registered_again) {
    for (const auto* name : {"a", "b", "c", "d", "e"}) {
        m_cluster.put_instance({.name = name});
    }
    EXPECT_EQ(m_cluster.quorum_fleet(start), 5U);
    const auto restored = start + seconds{5};
    restore(restored);
    for (const auto* name : {"a", "b", "c"}) {
        m_cluster.remove_instance(name, restored);
    }
    end_grace(restored);
    EXPECT_EQ(m_cluster.fleet_size(), 2U);
    EXPECT_EQ(m_cluster.quorum_fleet(restored + seconds{20}), 5U);
    m_cluster.note_era(3, restored + seconds{30});
    EXPECT_EQ(m_cluster.quorum_fleet(restored + seconds{70}), 5U) << "restored once more";
    EXPECT_EQ(m_cluster.quorum_fleet(restored + seconds{100}), 2U);
}

TEST_F(cluster_state_targets, a_process_that_starts_after_a_restore_does_not_know_the_fleet_at_first) {
    m_cluster.note_era(2, start);
    m_cluster.put_instance({.name = "a"});
    EXPECT_FALSE(m_cluster.quorum_fleet(start + seconds{1}));
    EXPECT_EQ(m_cluster.quorum_fleet(start + seconds{61}), 1U);
}

// Guards against a fleet that seems smaller than it is, so that limits and majorities are counted wrongly.
TEST_F(cluster_state_restored, an_instance_stays_known_while_it_may_register_again) {
    m_cluster.put_instance({.name = "a"});
    m_cluster.put_instance({.name = "b"});
    restore(start);
    m_cluster.remove_instance("a", start);
    m_cluster.remove_instance("b", start);
    EXPECT_EQ(m_cluster.instances().size(), 2U);
    m_cluster.put_instance({.name = "a"});
    end_grace(start);
    ASSERT_EQ(m_cluster.instances().size(), 1U);
    EXPECT_EQ(m_cluster.instances().front().name, "a");
}

class cluster_state_out_of_service : public cluster_state_targets {
protected:
    auto take_out(instant not_before) -> std::optional<instant> {
        m_cluster.take_out_of_service(m_data_centre, {.number = 1}, not_before, start);
        return m_cluster.out_of_service_since(m_data_centre);
    }

    data_centre_id m_data_centre{"west"};
};

// Guards against requests to a data centre beyond the allowed time after it was taken out of service, from an
// instance that learned of it late: the time of learning counted as the time of the order.
TEST_F(cluster_state_out_of_service, time_counts_from_the_last_copy_without_the_entry) {
    EXPECT_EQ(take_out(start - seconds{2}), start - seconds{2});
}

// The same from an instance that started after the order.
TEST_F(cluster_state_out_of_service, entry_found_at_the_start_may_be_of_any_age) {
    EXPECT_EQ(take_out(instant{}), start - m_settings.evacuation);
}

TEST_F(cluster_state_out_of_service, time_is_kept_when_the_entry_is_reported_again) {
    take_out(start - seconds{2});
    EXPECT_EQ(take_out(start), start - seconds{2});
}

} // namespace
} // namespace teaselcross
