#include "runtime/event_loop.h"

#include "logging/log.h"

#include <exception>

namespace teaselcross {

auto run_event_loop(boost::asio::io_context& context) -> void {
    while (true) {
        try {
            context.run();
            return;
        } catch (const std::exception& error) {
            log::error("event_handler_failed", {{"error", error.what()}});
        }
    }
}

} // namespace teaselcross
