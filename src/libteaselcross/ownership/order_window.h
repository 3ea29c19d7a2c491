#pragma once

// Bounds the orders that a controller has in flight, so that hundreds of targets which cannot be given
// orders, or a takeover of all of them, leave room for the other work of the process.
//
// The limit follows the delay of the event loop by additive increase and multiplicative decrease (Chiu and
// Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance", 1989). A target that
// answers no orders gets one at a time until it answers again.

#include "ownership/holder_command.h"

#include <cstddef>
#include <map>

namespace teaselcross {

struct order_window_options {
    std::size_t min_in_flight = 32; ///< The limit at its lowest: all ranges are still granted in time.
    std::size_t max_in_flight = 128;
    /// A target is in doubt that has not answered any order for so long since the first one it did not
    /// answer.
    duration doubt_after = std::chrono::milliseconds{300};
    /// From the end of an order to a target in doubt to the next one, for the first few and from then on. A
    /// process that goes on after a suspension has to be told soon which keys it no longer holds.
    duration retry_delay = std::chrono::milliseconds{120};
    duration max_retry_delay = std::chrono::milliseconds{250};
    /// An event loop whose timers are later than this is short of processor time.
    duration late_loop = std::chrono::milliseconds{60};
};

/// The orders to one target.
struct target_orders {
    std::size_t in_flight = 0;
    std::size_t in_doubt = 0;   ///< Of these, those that were sent while it was in doubt: one at the most.
    std::uint32_t failures = 0; ///< Orders without an answer since the last one that was answered.
    instant failing_since{};    ///< With failures: the first of them.
    instant next_at{};          ///< With failures: no order before if it is in doubt.
};

struct order_window {
    order_window_options options;
    std::size_t limit = 64;    ///< Of orders in flight to targets in doubt, and as many to others.
    std::size_t in_flight = 0; ///< To all targets.
    std::size_t in_doubt = 0;  ///< Of these, those that were sent to targets in doubt.
    duration loop_delay{};     ///< As reported last.
    std::size_t held_back = 0; ///< Orders that found no room so far.
    std::map<target_id, target_orders> targets; ///< With orders in flight, or that did not answer.
};

/// Counts an order to @a target as in flight if there is room for it. @a is_urgent: the target would lose its
/// keys otherwise, so that only doubts about it count. Returns whether the order may be sent; then its end is
/// to be reported with end_order().
auto begin_order(order_window& window, const target_id& target, bool is_urgent, instant now) -> bool;

/// Records the result of an order for which begin_order() found room.
auto end_order(order_window& window, const target_id& target, command_result result, instant now) -> void;

/// Records that @a target has answered an order otherwise, so that there is no more doubt about it.
auto on_target_answered(order_window& window, const target_id& target) -> void;

/// Adapts the limit to how late a timer of the event loop was. To be called at regular intervals.
auto on_loop_delay(order_window& window, duration delay) -> void;

/// Whether the event loop is short of processor time, so that a call may have failed for that reason.
auto is_short_of_time(const order_window& window) -> bool;

} // namespace teaselcross
