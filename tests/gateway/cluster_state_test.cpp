// Tests how the cluster state handles targets that leave.

#include "gateway/cluster_state.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

using std::chrono::seconds;

constexpr auto start = instant{seconds{100}};

class cluster_state_targets : public testing::Test {
protected:
    auto leaving_since() const -> std::optional<instant> {
        return m_cluster.target(target_id{"t"})->leaving_since;
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
