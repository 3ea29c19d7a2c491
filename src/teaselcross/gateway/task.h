#pragma once

// Long-running coroutines that survive unexpected errors.

#include "core/time.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace teaselcross {

/// Starts a new run of a task.
using task_factory = std::function<boost::asio::awaitable<void>()>;

/// Runs a task. When it ends by an exception, such as one for a message that no decoder expected, the
/// exception is logged and the task is started again after @a pause, so that one bad message neither ends the
/// process nor, unnoticed, one of its duties. Completes when the task returns. @a start and all that it
/// refers to must outlive the task; it runs on the executor of the caller.
auto run_task(std::string name, task_factory start, duration pause = std::chrono::milliseconds{200})
    -> boost::asio::awaitable<void>;

} // namespace teaselcross
