#include "ownership/order_window.h"

#include <algorithm>

namespace teaselcross {

namespace {

constexpr auto increase = std::size_t{8};
constexpr auto decrease = std::size_t{2}; ///< Divisor.
constexpr auto quick_retries = std::uint32_t{3};

auto is_in_doubt(const order_window_options& options, const target_orders& orders, instant now) -> bool {
    return orders.failures > 0 && now >= orders.failing_since + options.doubt_after;
}

auto is_answer(command_result result) -> bool {
    return result == command_result::done || result == command_result::refused;
}

} // namespace

auto begin_order(order_window& window, const target_id& target, bool is_urgent, instant now) -> bool {
    const auto found = window.targets.find(target);
    const auto is_doubtful = found != window.targets.end() && is_in_doubt(window.options, found->second, now);
    const auto has_place = is_doubtful ? found->second.in_flight == 0 && now >= found->second.next_at &&
                                             window.in_doubt < window.limit
                                       : is_urgent || window.in_flight - window.in_doubt < window.limit;
    if (!has_place) {
        ++window.held_back;
        return false;
    }
    auto& orders = window.targets[target];
    ++window.in_flight;
    ++orders.in_flight;
    if (is_doubtful) {
        ++window.in_doubt;
        ++orders.in_doubt;
    }
    return true;
}

auto end_order(order_window& window, const target_id& target, command_result result, instant now) -> void {
    const auto found = window.targets.find(target);
    if (found == window.targets.end() || found->second.in_flight == 0) {
        return;
    }
    auto& orders = found->second;
    --window.in_flight;
    --orders.in_flight;
    window.in_doubt -= orders.in_doubt;
    orders.in_doubt = 0;
    if (is_answer(result)) {
        on_target_answered(window, target);
        return;
    }
    if (orders.failures++ == 0) {
        orders.failing_since = now;
    }
    orders.next_at = now + (orders.failures <= quick_retries ? window.options.retry_delay
                                                             : window.options.max_retry_delay);
}

auto on_target_answered(order_window& window, const target_id& target) -> void {
    const auto found = window.targets.find(target);
    if (found == window.targets.end()) {
        return;
    }
    found->second.failures = 0;
    if (found->second.in_flight == 0) {
        window.targets.erase(found);
    }
}

auto on_loop_delay(order_window& window, duration delay) -> void {
    const auto& options = window.options;
    window.loop_delay = delay;
    window.limit = is_short_of_time(window) ? std::max(options.min_in_flight, window.limit / decrease)
                                            : std::min(options.max_in_flight, window.limit + increase);
}

auto is_short_of_time(const order_window& window) -> bool {
    return window.loop_delay > window.options.late_loop;
}

} // namespace teaselcross
