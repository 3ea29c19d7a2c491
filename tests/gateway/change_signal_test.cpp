#include "gateway/change_signal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

namespace teaselcross {

namespace asio = boost::asio;

namespace {

auto wait_often(change_signal& signal, int count) -> asio::awaitable<void> {
    for (auto n = 0; n < count; ++n) {
        co_await signal.wait(std::chrono::microseconds{1});
    }
}

} // namespace

// Guards against memory that grows with each wait on a signal that is not notified, as with watches of a
// store that always answers.
TEST(change_signal_test, waits_that_have_ended_leave_nothing_behind) {
    auto context = asio::io_context{};
    auto signal = change_signal{context.get_executor()};
    asio::co_spawn(context, wait_often(signal, 1000), asio::detached);
    while (context.run_one_for(std::chrono::milliseconds{200}) > 0) {
    }
    context.restart();
    signal.notify();
    EXPECT_LE(context.poll(), 1U); // Handlers that were still waiting.
}

} // namespace teaselcross
