// Orders that get no answer and are carried out up to 12 s later, after newer ones were answered: no key has
// two holders, whatever else happens meanwhile.

#include "support/order_world.h"

#include <gtest/gtest.h>

namespace teaselcross::test {
namespace {

constexpr auto seeds = std::uint64_t{60};

auto expect_one_holder(const order_world_options& options) -> void {
    for (auto seed = std::uint64_t{1}; seed <= seeds; ++seed) {
        EXPECT_EQ(run_order_world(options, seed), "") << "seed " << seed;
    }
}

// Guards against a second holder when a grant is carried out after later calls were answered: an answer to a
// later call says nothing about it.
TEST(late_orders_test, keys_that_move_have_one_holder) {
    expect_one_holder({});
}

// Guards against a second holder when a release of an earlier holding is carried out after a newer grant.
TEST(late_orders_test, releases_under_earlier_fences_leave_one_holder) {
    expect_one_holder({.late_share = 0.5, .old_release_takes_keys = true});
}

// Guards against a second holder when a target restarts between an order and its being carried out.
TEST(late_orders_test, restarted_targets_leave_one_holder) {
    expect_one_holder({.may_restart_targets = true});
}

// Guards against a second holder when the controller that sent the late orders is replaced.
TEST(late_orders_test, replaced_controllers_leave_one_holder) {
    expect_one_holder({.may_replace_controller = true, .may_restart_targets = true});
}

// Guards against a second holder when the store comes back from an older copy of the record.
TEST(late_orders_test, lost_records_leave_one_holder) {
    expect_one_holder({.may_replace_controller = true, .may_lose_record = true});
}

// Guards against a second holder when connections of overdue grants are given up.
TEST(late_orders_test, connections_that_are_given_up_leave_one_holder) {
    expect_one_holder({.late_share = 0.5, .may_restart_targets = true, .may_close_connections = true});
}

} // namespace
} // namespace teaselcross::test
