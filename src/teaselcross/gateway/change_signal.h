#pragma once

// Wakes coroutines of one event loop when something has changed.

#include "core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace teaselcross {

/// Belongs to the event loop's thread.
class change_signal {
public:
    explicit change_signal(boost::asio::any_io_executor executor);

    /// Wakes all who wait.
    auto notify() -> void;
    /// Waits for the next notify(), at most for @a limit.
    auto wait(duration limit) -> boost::asio::awaitable<void>;

private:
    boost::asio::any_io_executor m_executor;
    boost::asio::steady_timer m_timer; ///< Never expires; notify() cancels the waits on it.
};

} // namespace teaselcross
