// Grants of the controller whose answers are awaited beyond their time limit.

#include "gateway/controller.h"
#include "gateway/order_log.h"
#include "logging/log.h"
#include "runtime/clock.h"

namespace teaselcross {

namespace asio = boost::asio;

namespace {

/// Between two lines about connections that were closed because there were too many.
constexpr auto overdue_log_interval = duration{std::chrono::seconds{1}};

} // namespace

auto gateway_controller::keep_overdue_connection(overdue_connection kept) -> void {
    const auto oldest = m_overdue.add(std::move(kept));
    if (!oldest) {
        return;
    }
    ++m_overdue_closed;
    const auto now = monotonic_now();
    if (now >= m_next_overdue_log) {
        m_next_overdue_log = now + overdue_log_interval;
        log::warning("overdue_connections_closed", {{"service", oldest->service},
                                                    {"target", oldest->target},
                                                    {"closed", m_overdue_closed},
                                                    {"limit", m_overdue.limit()}});
    }
    on_overdue_connection_closed(m_services[oldest->service].grantor, oldest->call);
    oldest->exchange->abort();
}

/// Sends a release on the connection of the overdue grant that it follows.
auto gateway_controller::send_behind_grant(holder_command release) -> asio::awaitable<void> {
    auto exchange = m_overdue.find(release.behind);
    if (exchange != nullptr && may_send_orders(monotonic_now())) {
        co_await grant_exchange::send_behind(std::move(exchange), std::move(release),
                                             make_grant_options().release_timeout);
    }
}

/// Waits for the answer to a grant whose time limit has passed, and for those to the releases behind it,
/// until the term ends.
auto gateway_controller::await_overdue_grant(service_id service, holder_command order, holder_answer answer)
    -> asio::awaitable<void> {
    const auto exchange = std::move(answer.overdue);
    const auto term = m_term;
    co_await exchange->wait(answer.sent + 2 * m_options.overdue_limit);
    const auto result = exchange->result();
    // A connection that was given up may have brought the answer just before.
    const auto was_kept = m_overdue.remove(order.call);
    const auto is_awaited =
        (was_kept || result != command_result::unanswered) && m_term == term && m_is_controller;
    log_overdue_answer(service, order, result, answer.sent, monotonic_now(), is_awaited);
    if (is_awaited) {
        auto& state = m_services[service];
        on_overdue_answer(state.grantor, order.call, result, monotonic_now());
        schedule_tick(service); // A former holder is asked soon.
    }
    while (m_term == term && m_is_controller) {
        const auto asked_at = monotonic_now();
        const auto released = co_await exchange->read_release(make_grant_options().release_timeout);
        if (!released) {
            break;
        }
        const auto ended = holder_answer{.result = released->result, .sent = asked_at};
        log_order(service, released->release, ended, asked_at, monotonic_now());
        const auto found = m_services.find(service);
        const auto is_done = released->result == command_result::done;
        if (is_done && m_term == term && found != m_services.end()) {
            on_release_behind_answered(found->second.grantor, released->release, released->handover);
        }
    }
    exchange->release_to(m_order_pool);
}

auto gateway_controller::abort_overdue_grants() -> void {
    for (const auto& each : m_overdue.remove_all()) {
        each.exchange->abort();
    }
}

} // namespace teaselcross
