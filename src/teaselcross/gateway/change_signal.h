#pragma once

// Wakes coroutines that wait on the same event loop for a change.

#include "core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace teaselcross {

/// Not thread safe: use it on the event loop's thread only.
class change_signal {
public:
    explicit change_signal(boost::asio::any_io_executor executor);

    /// Wakes all waiting coroutines.
    auto notify() -> void;
    /// Waits for the next notify(), for at most @a limit.
    auto wait(duration limit) -> boost::asio::awaitable<void>;

private:
    boost::asio::any_io_executor m_executor;
    boost::asio::steady_timer m_timer; ///< Never expires; notify() cancels the waits on it.
};

} // namespace teaselcross
