// What an instance believes of targets that come, leave and come back.

#include "gateway/knowledge.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

using std::chrono::seconds;

constexpr auto start = instant{seconds{100}};

class knowledge_of_targets : public testing::Test {
protected:
    auto leaving_since() const -> std::optional<instant> {
        return m_known.target(target_id{"t"})->leaving_since;
    }

    boost::asio::io_context m_context;
    gateway_settings m_options;
    knowledge m_known{m_options, m_context.get_executor()};
};

TEST_F(knowledge_of_targets, one_that_begins_to_leave_has_the_whole_time) {
    m_known.put_target({.id = target_id{"t"}}, 1, start);
    m_known.put_target({.id = target_id{"t"}, .leaving = true}, 2, start + seconds{1});
    EXPECT_EQ(leaving_since(), start + seconds{1});
}

// Found by the soak (seed 2): a restarted instance took the time at which it first read the list for the
// time at which the target had begun to leave, and sent it requests for longer than the bound.
TEST_F(knowledge_of_targets, one_that_is_seen_leaving_at_first_has_no_time_left) {
    m_known.put_target({.id = target_id{"t"}, .leaving = true}, 1, start);
    EXPECT_LE(leaving_since(), start - m_options.drain);
}

} // namespace
} // namespace teaselcross
