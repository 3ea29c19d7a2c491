#pragma once

// Calls of the controller to the targets that hold keys.

#include "http/exchange.h"
#include "ownership/holder_command.h"

#include <functional>
#include <optional>

namespace teaselcross {

struct holder_answer {
    command_result result = command_result::not_sent;
    std::string handover; ///< Of a release that was acknowledged.
    instant sent{};       ///< When the order was sent, or was to be sent.
};

struct holder_call {
    endpoint address;
    holder_command order;
    /// Sent before the order, which is not sent unless it is answered. It must have no effect.
    std::optional<holder_command> probe;
    duration timeout{};              ///< For the probe, and for the order once it is sent.
    std::function<bool()> may_begin; ///< Whether the order may be sent, asked right before.
};

/// Sends an order to a target and reads the answer. An order that was not answered in time is aborted; the
/// target may have carried it out, or may do so later. Not thread safe, like @a pool, which must outlive the
/// call.
auto call_holder(connection_pool& pool, holder_call call) -> boost::asio::awaitable<holder_answer>;

} // namespace teaselcross
