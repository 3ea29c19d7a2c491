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
    m_cluster.put_target({.id = target_id{"t"}}, 1, start);
    m_cluster.put_target({.id = target_id{"t"}, .leaving = true}, 2, start + seconds{1});
    EXPECT_EQ(leaving_since(), start + seconds{1});
}

// Guards against a restarted instance sending requests to a leaving target beyond the allowed time. It took
// the time of its first read of the list for the time at which the target had started to leave (found by the
// soak test, seed 2).
TEST_F(cluster_state_targets, target_first_listed_as_leaving_gets_no_drain_time) {
    m_cluster.put_target({.id = target_id{"t"}, .leaving = true}, 1, start);
    EXPECT_LE(leaving_since(), start - m_settings.drain);
}

} // namespace
} // namespace teaselcross
