// Callers that retry after a refusal are distinguished from new callers by their remaining time.

#include "admission/retry_detection.h"

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto start = instant{seconds{100}};

TEST(retry_detection, a_caller_with_less_time_left_than_others_is_a_retry) {
    auto memory = patience_window{};
    EXPECT_FALSE(detect_retry(memory, milliseconds{800}, {}, start));
    EXPECT_TRUE(detect_retry(memory, milliseconds{640}, {}, start + milliseconds{1}));
    EXPECT_FALSE(detect_retry(memory, milliseconds{800}, {}, start + milliseconds{2}));
}

TEST(retry_detection, a_caller_that_retries_at_once_is_not_preferred) {
    auto memory = patience_window{};
    EXPECT_FALSE(detect_retry(memory, milliseconds{800}, {}, start));
    EXPECT_FALSE(detect_retry(memory, milliseconds{790}, {}, start));
}

TEST(retry_detection, a_long_timeout_of_one_caller_expires) {
    auto memory = patience_window{};
    EXPECT_FALSE(detect_retry(memory, seconds{30}, {}, start));
    EXPECT_TRUE(detect_retry(memory, milliseconds{800}, {}, start + seconds{1}));
    EXPECT_TRUE(detect_retry(memory, milliseconds{800}, {}, start + seconds{11}));
    EXPECT_FALSE(detect_retry(memory, milliseconds{800}, {}, start + seconds{21}));
}

} // namespace
} // namespace teaselcross
