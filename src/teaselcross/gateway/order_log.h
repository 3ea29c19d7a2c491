#pragma once

// Log lines of the orders that a controller sends to targets.

#include "gateway/holder_calls.h"

namespace teaselcross {

/// Logs an order, but for renewals that were answered in time. A first grant names the earlier holder, and
/// how long ago that one last acknowledged a grant; -1 if it did not. @a decided is when the order was
/// decided on: probe and connection come before it is sent. Thread safe.
auto log_order(const service_id& service, const holder_command& order, const holder_answer& answer,
               instant decided, instant now) -> void;

/// Logs the answer to a grant that came after the time limit of the call, or that there will be none.
/// @a is_awaited: the term in which it was sent goes on, and its connection was not given up. Thread safe.
auto log_overdue_answer(const service_id& service, const holder_command& order, command_result result,
                        instant sent, instant now, bool is_awaited) -> void;

} // namespace teaselcross
