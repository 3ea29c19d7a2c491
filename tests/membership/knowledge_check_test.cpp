// Selection of the source from which an instance refreshes its local copy of the store's objects.

#include "membership/knowledge_check.h"

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

TEST(knowledge_check, a_copy_confirmed_by_the_controller_is_not_refreshed) {
    EXPECT_EQ(source_to_ask({.controller_heard = true, .agrees = true}), knowledge_source::nobody);
    EXPECT_EQ(source_to_ask({.controller_heard = true, .agrees = true, .follows_relay = true}),
              knowledge_source::nobody);
}

TEST(knowledge_check, a_difference_is_refreshed_only_without_a_recent_change) {
    EXPECT_EQ(source_to_ask({.controller_heard = true, .learning = true}), knowledge_source::nobody);
    EXPECT_EQ(source_to_ask({.controller_heard = true}), knowledge_source::controller);
}

// Guards against a stale follower (seen on vesilippu-gw-grown, scale-2): controller and relay lost power at
// once, and a follower kept waiting for the relay's next answer while the configuration changed.
TEST(knowledge_check, a_follower_does_not_rely_on_its_relay_while_the_controller_is_silent) {
    EXPECT_EQ(source_to_ask({.follows_relay = true}), knowledge_source::relay);
}

TEST(knowledge_check, the_controller_and_relays_without_one_ask_the_store) {
    EXPECT_EQ(source_to_ask({.controls = true, .controller_heard = true, .agrees = true}),
              knowledge_source::store);
    EXPECT_EQ(source_to_ask({}), knowledge_source::store);
}

} // namespace
} // namespace teaselcross
