// Operations run at most once: exhaustive exploration of message losses at every step, with a caller that
// repeats its request at once, late, or concurrently through several entries.

#include "support/delivery_world.h"

#include <gtest/gtest.h>

#include <iostream>

namespace teaselcross::test {

namespace {

auto explore_and_print(const char* name, const delivery_options& options) -> std::string {
    const auto result = explore(options);
    std::cout << "repeats " << name << ": " << result.states << " states\n";
    return result.broken;
}

} // namespace

TEST(repeats, identities_chosen_by_callers_run_at_most_once) {
    EXPECT_EQ(explore_and_print("chosen", {}), "");
}

TEST(repeats, issued_identities_run_at_most_once) {
    EXPECT_EQ(explore_and_print("issued", {.issued_identity = true}), "");
    EXPECT_EQ(explore_and_print("issued_by_entry", {.issued_identity = true, .issued_by_entry = true}), "");
}

TEST(repeats, records_that_were_handed_over_are_used) {
    EXPECT_EQ(explore_and_print("chosen_handed_over", {.handed_over = true}), "");
    EXPECT_EQ(explore_and_print("issued_handed_over", {.issued_identity = true, .handed_over = true}), "");
    EXPECT_EQ(explore_and_print("by_entry_handed_over",
                                {.issued_identity = true, .issued_by_entry = true, .handed_over = true}),
              "");
}

TEST(repeats, planted_defects_are_found) {
    EXPECT_NE(
        explore({.issued_identity = true, .planted = delivery_mutation::successor_trusts_memory}).broken, "");
    EXPECT_NE(explore({.planted = delivery_mutation::intent_not_checked}).broken, "");
    EXPECT_NE(explore({.planted = delivery_mutation::lost_is_not_run}).broken, "");
    EXPECT_NE(explore({.planted = delivery_mutation::sent_again}).broken, "");
}

} // namespace teaselcross::test
