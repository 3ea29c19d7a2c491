// Selection of the source from which an instance refreshes its local copy of the store's objects.

#include "membership/cache_validation.h"

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

TEST(cache_validation, a_copy_confirmed_by_the_controller_is_not_refreshed) {
    EXPECT_EQ(select_refresh_source({.controller_answered_recently = true, .matches_controller = true}),
              refresh_source::none);
    EXPECT_EQ(select_refresh_source(
                  {.controller_answered_recently = true, .matches_controller = true, .follows_relay = true}),
              refresh_source::none);
}

TEST(cache_validation, a_difference_is_refreshed_only_without_a_recent_change) {
    EXPECT_EQ(select_refresh_source({.controller_answered_recently = true, .changed_recently = true}),
              refresh_source::none);
    EXPECT_EQ(select_refresh_source({.controller_answered_recently = true}), refresh_source::controller);
}

// Guards against a stale follower (seen on vesilippu-gw-grown, scale-2): controller and relay lost power at
// once, and a follower kept waiting for the relay's next answer while the configuration changed.
TEST(cache_validation, a_follower_does_not_rely_on_its_relay_while_the_controller_is_silent) {
    EXPECT_EQ(select_refresh_source({.follows_relay = true}), refresh_source::relay);
}

TEST(cache_validation, the_controller_and_relays_without_one_ask_the_store) {
    EXPECT_EQ(select_refresh_source(
                  {.is_controller = true, .controller_answered_recently = true, .matches_controller = true}),
              refresh_source::store);
    EXPECT_EQ(select_refresh_source({}), refresh_source::store);
}

// Guards against a change that is not in force in time: relay and controller were one late instance, and its
// followers agreed with it on a copy that nobody had confirmed for ten seconds.
TEST(cache_validation, an_old_copy_is_refreshed_although_the_controller_has_the_same) {
    EXPECT_EQ(select_refresh_source({.controller_answered_recently = true,
                                     .matches_controller = true,
                                     .is_unconfirmed = true,
                                     .follows_relay = true}),
              refresh_source::relay);
    EXPECT_EQ(select_refresh_source(
                  {.controller_answered_recently = true, .matches_controller = true, .is_unconfirmed = true}),
              refresh_source::store);
    EXPECT_EQ(select_refresh_source({.controller_answered_recently = true,
                                     .changed_recently = true,
                                     .is_unconfirmed = true,
                                     .follows_relay = true}),
              refresh_source::controller);
}

} // namespace
} // namespace teaselcross
