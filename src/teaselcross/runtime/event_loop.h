#pragma once

// Runs an event loop that outlives unexpected exceptions.

#include <boost/asio/io_context.hpp>

namespace teaselcross {

/// Runs @a context until it is stopped or has no more work. An exception that leaves a handler is logged, and
/// the other handlers go on. The operation that threw is destroyed with the coroutine that awaits it, which
/// releases what the coroutine owns. One thread may run a context.
auto run_event_loop(boost::asio::io_context& context) -> void;

} // namespace teaselcross
