// The connections of overdue grants: their number has a bound that leaves files for the callers' connections.

#include "gateway/overdue_connections.h"

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

auto connection_of(std::uint64_t call, const std::string& target) -> overdue_connection {
    return {.call = call, .service = service_id{"s"}, .target = target_id{target}};
}

// Guards against callers that are refused because grants without an answer use up the files: each target is
// silent, and none of them alone has many connections.
TEST(overdue_connections_test, all_targets_together_leave_most_files_to_callers) {
    constexpr auto file_limit = std::size_t{4100};
    auto connections = overdue_connections{max_overdue_connections(file_limit)};
    for (auto call = std::uint64_t{1}; call <= 20'000; ++call) {
        connections.add(connection_of(call, "target-" + std::to_string(call % 500)));
    }
    EXPECT_LE(connections.size(), file_limit / 10);
    EXPECT_EQ(connections.size(), connections.limit());
}

TEST(overdue_connections_test, oldest_connection_is_given_up_at_the_limit) {
    auto connections = overdue_connections{2};
    EXPECT_FALSE(connections.add(connection_of(1, "a")));
    EXPECT_FALSE(connections.add(connection_of(2, "b")));
    const auto given_up = connections.add(connection_of(3, "b"));
    ASSERT_TRUE(given_up);
    EXPECT_EQ(given_up->call, 1U);
    EXPECT_EQ(connections.size(), 2U);
    EXPECT_FALSE(connections.remove(1));
    EXPECT_TRUE(connections.remove(2));
    EXPECT_EQ(connections.remove_all().size(), 1U);
    EXPECT_EQ(connections.size(), 0U);
}

} // namespace
} // namespace teaselcross
