// In which order instances campaign for a lease that nobody holds.

#include "membership/campaign_order.h"

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

using std::chrono::milliseconds;

constexpr auto options =
    campaign_options{.first_deferral = milliseconds{2400}, .group_interval = milliseconds{400}};

TEST(campaign_order, the_first_candidates_do_not_wait) {
    EXPECT_EQ(campaign_deferral(options, 0, 8), duration::zero());
    EXPECT_EQ(campaign_deferral(options, 2, 8), duration::zero());
    EXPECT_EQ(campaign_deferral(options, 3, 8), options.first_deferral);
}

// Guards against a controller that has a fifth of the processor time of others that could control: they
// waited for longer than it.
TEST(campaign_order, weak_instances_wait_for_all_strong_ones) {
    constexpr auto strong = std::size_t{8};
    for (auto weak = strong; weak < 82; ++weak) {
        for (auto rank = std::size_t{0}; rank < strong; ++rank) {
            EXPECT_LT(campaign_deferral(options, rank, strong), campaign_deferral(options, weak, strong));
        }
    }
}

TEST(campaign_order, nobody_waits_for_long_in_a_large_fleet) {
    const auto longest = options.first_deferral + 16 * options.group_interval;
    for (auto rank = std::size_t{0}; rank < 7264; ++rank) {
        EXPECT_LE(campaign_deferral(options, rank, 7264), longest);
        EXPECT_LE(campaign_deferral(options, rank, 8), longest);
        EXPECT_LE(campaign_deferral(options, rank, 0), longest);
    }
}

} // namespace
} // namespace teaselcross
