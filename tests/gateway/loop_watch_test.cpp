// When an event loop was late, one line says by how much and with what.

#include "gateway/loop_watch.h"

#include "logging/log.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace teaselcross {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto logged() -> std::vector<std::string>& {
    static auto lines = std::vector<std::string>{};
    return lines;
}

class loop_watch_test : public testing::Test {
protected:
    loop_watch_test() {
        log::set_sink([](auto, const auto& text) { logged().push_back(text); }, log::level::info);
        logged().clear();
    }
    ~loop_watch_test() override { log::set_sink(nullptr, log::level::info); }

    loop_watch m_watch;
    instant m_start = instant{} + seconds{100};
};

TEST_F(loop_watch_test, says_nothing_while_the_loop_is_in_time) {
    for (auto second = 0; second < 10; ++second) {
        m_watch.note(milliseconds{90}, {.requests = 100}, m_start + seconds{second});
    }
    EXPECT_TRUE(logged().empty());
}

TEST_F(loop_watch_test, tells_the_longest_delay_and_the_work_of_that_time) {
    m_watch.note({}, {.requests = 10, .orders = 5}, m_start);
    m_watch.note(milliseconds{700}, {.requests = 20, .orders = 6}, m_start + milliseconds{300});
    m_watch.note(milliseconds{200}, {.requests = 20, .orders = 8}, m_start + milliseconds{600});
    EXPECT_TRUE(logged().empty()) << "more than one line in a second";
    m_watch.note({}, {.requests = 30, .orders = 9, .orders_not_sent = 2, .copied_bytes = 4096},
                 m_start + milliseconds{1'250});
    ASSERT_EQ(logged().size(), 1U);
    for (const auto* part : {"event_loop_late", "ms=700", "within_ms=1250", "requests=20", "orders=4",
                             "not_sent=2", "copied_bytes=4096"}) {
        EXPECT_NE(logged().front().find(part), std::string::npos) << part << " in " << logged().front();
    }
    m_watch.note({}, {.requests = 40}, m_start + seconds{3});
    EXPECT_EQ(logged().size(), 1U) << "the delay was told twice";
}

} // namespace
} // namespace teaselcross
