// A long-running duty meets an error that nobody expected: it goes on, and the process does too.

#include "gateway/task.h"

#include "support/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

using std::chrono::milliseconds;

TEST(task, is_started_again_after_an_exception) {
    auto context = boost::asio::io_context{1};
    auto runs = 0;
    auto done = false;
    const auto start = [&]() -> boost::asio::awaitable<void> {
        if (++runs < 3) {
            throw std::runtime_error{"a message that no decoder expected"};
        }
        done = true;
        co_return;
    };
    boost::asio::co_spawn(context, run_task("duty", start, milliseconds{1}), boost::asio::detached);
    EXPECT_TRUE(run_until(context, [&] { return done; }));
    EXPECT_EQ(runs, 3);
}

} // namespace
} // namespace teaselcross
