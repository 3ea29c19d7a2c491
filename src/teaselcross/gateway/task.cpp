#include "gateway/task.h"

#include "gateway/store_access.h"
#include "logging/log.h"

namespace teaselcross {

auto run_task(std::string name, task_factory start, duration pause) -> boost::asio::awaitable<void> {
    while (true) {
        auto failure = std::string{};
        try {
            co_await start();
            co_return;
        } catch (const std::exception& error) {
            failure = error.what();
        }
        log::error("task_failed", {{"task", name}, {"error", failure}});
        co_await sleep_for(pause);
    }
}

} // namespace teaselcross
