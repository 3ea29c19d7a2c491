// How a connection is closed while its last responses are still on their way, and the bound for what is on
// its way on all connections.

#include "http/server.h"

#include "http/server_session.h"
#include "logging/log.h"
#include "runtime/clock.h"

#include <algorithm>

namespace teaselcross {

namespace asio = boost::asio;

namespace {

/// How long the client may take to close its side once the last response has arrived.
constexpr auto close_time = duration{std::chrono::milliseconds{500}};
/// Interval of the checks whether a response has arrived, of which the system gives no notice. It grows with
/// the number of connections, so that their checks together take a bounded part of the processor.
constexpr auto min_check_interval = duration{std::chrono::milliseconds{50}};
constexpr auto max_check_interval = duration{std::chrono::milliseconds{500}};
constexpr auto check_interval_per_connection = duration{std::chrono::microseconds{500}};
/// Least time between two measurements of all connections.
constexpr auto measurement_interval = duration{std::chrono::milliseconds{50}};
/// Bounds how long a client that goes on sending delays the end of the process.
constexpr auto max_last_reads = 64;

} // namespace

/// Ends the connection for writing and closes it when the last responses have arrived: one that is closed
/// with unread input is reset, and the client loses what the system has not sent by then.
auto http_server::close_gracefully(std::shared_ptr<session> client_session) -> asio::awaitable<void> {
    auto& link = *client_session->link;
    link.end_writing();
    link.buffer.clear();
    link.buffer.shrink_to_fit();
    client_session->lingers = true;
    const auto lingering = counted{m_lingering};
    co_await linger(client_session);
    link.close();
    link.stream.close();
}

/// Waits until the client has what was written, at its own pace, and has closed its side. Reads no request:
/// those that were not read are known to the client as not processed.
auto http_server::linger(std::shared_ptr<session> client_session) -> asio::awaitable<void> {
    auto& link = *client_session->link;
    const auto discards = client_session->discards_input;
    const auto until = monotonic_now() + m_options.linger_limit;
    const auto idle_limit = discards ? m_options.request_limit : close_time;
    auto underway_at = monotonic_now();
    while (!link.is_broken() && monotonic_now() < until) {
        const auto bytes = link.unacknowledged_bytes();
        const auto is_underway = bytes ? *bytes > 0 : client_session->has_input;
        const auto has_finished =
            link.has_client_finished() || (client_session->has_input && link.is_closed_by_client());
        underway_at = is_underway ? monotonic_now() : underway_at;
        const auto idle_end = underway_at + idle_limit;
        if ((has_finished && bytes.value_or(0) == 0) || monotonic_now() >= idle_end) {
            co_return;
        }
        if (discards && client_session->has_input) {
            client_session->has_input = !link.discard_input(); // At the end of the input, it stays readable.
        }
        // With everything arrived, the close by the client is the next event, of which the system gives
        // notice unless there is other input.
        const auto waits_for_close = !is_underway && !discards && !client_session->has_input;
        co_await wait_for_input(client_session,
                                waits_for_close ? idle_end - monotonic_now() : linger_check_interval());
    }
}

auto http_server::linger_check_interval() const -> duration {
    return std::clamp(check_interval_per_connection * static_cast<duration::rep>(*m_lingering),
                      min_check_interval, max_check_interval);
}

/// Closes one connection that has ended and whose responses have all arrived, in favour of a new one. Returns
/// false if there is none.
auto http_server::release_settled() -> bool {
    for (const auto& each : open_sessions()) {
        auto& link = *each->link;
        if (each->lingers && link.stream.socket().is_open() && link.unacknowledged_bytes() == 0U) {
            link.close();
            link.stream.close();
            return true;
        }
    }
    return false;
}

/// Whether the bytes that have not arrived at clients leave no room for further responses. What is written
/// counts until the next measurement, which is made only when the limit may have been reached.
auto http_server::is_undelivered_full() -> bool {
    const auto is_full = [this] { return m_undelivered + *m_written > m_options.undelivered_limit; };
    const auto now = monotonic_now();
    if (is_full() && now >= m_next_measurement) {
        m_next_measurement = now + measurement_interval;
        measure_undelivered(now);
    }
    return is_full();
}

/// Measures the bytes that have not arrived at clients. Beyond the limit, resets connections whose clients
/// have stopped waiting for the responses on them.
auto http_server::measure_undelivered(instant now) -> void {
    *m_written = 0;
    m_undelivered = 0;
    auto given_up = std::vector<std::shared_ptr<session>>{};
    for (auto& each : open_sessions()) {
        const auto bytes = each->link->unacknowledged_bytes().value_or(0);
        m_undelivered += bytes;
        if (bytes > 0 && each->link->in_progress() == 0 && each->link->is_given_up(now)) {
            given_up.push_back(std::move(each));
        }
    }
    for (const auto& each : given_up) {
        if (m_undelivered <= m_options.undelivered_limit) {
            break;
        }
        const auto bytes = each->link->unacknowledged_bytes().value_or(0);
        log::info("unread_response_dropped",
                  {{"port", m_options.port}, {"client", each->link->remote}, {"undelivered", bytes}});
        m_undelivered -= std::min(bytes, m_undelivered);
        each->link->reset();
    }
}

auto http_server::hand_over_to_system() -> void {
    for (const auto& each : open_sessions()) {
        auto& link = *each->link;
        if (!link.stream.socket().is_open()) {
            continue;
        }
        link.end_writing();
        for (auto reads = 0; reads < max_last_reads && link.discard_input(); ++reads) {
        }
        link.close();
        link.stream.close();
    }
}

} // namespace teaselcross
