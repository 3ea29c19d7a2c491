#pragma once

// The last seconds of an instance that was told to stop: callers' requests are answered before it ends.

#include "gateway/request_router.h"
#include "http/server.h"

namespace teaselcross {

/// The moments at which a stop goes on.
struct stop_schedule {
    instant stop_accepting{}; ///< Until then connections and requests are accepted as before.
    instant give_up{};        ///< Requests that still wait for their target are answered without its answer.
    instant end{};            ///< The process ends, whatever is in progress.
};

/// The schedule of a stop that was ordered at @a ordered, @a grace before the process is killed.
auto make_stop_schedule(instant ordered, duration grace) -> stop_schedule;

/// Serves callers until all requests are answered and all connections closed, or @a schedule ends. Both
/// references must be valid until then. Must run on the event loop's thread.
/// @pre callers.close_after_next_answer() has been called.
auto stop_serving(http_server& callers, request_router& router, stop_schedule schedule)
    -> boost::asio::awaitable<void>;

} // namespace teaselcross
