// How a connection is closed while its last responses are still on their way.

#include "http/server.h"

#include "http/server_session.h"
#include "logging/log.h"
#include "runtime/clock.h"

namespace teaselcross {

namespace asio = boost::asio;

namespace {

/// How long the client may take to close its side once the last response has arrived.
constexpr auto close_time = duration{std::chrono::milliseconds{500}};
constexpr auto linger_check_interval = duration{std::chrono::milliseconds{50}};

} // namespace

/// Ends the connection for writing and closes it when the last responses have arrived: one that is closed
/// with unread input is reset, and the client loses what the system has not sent by then.
auto http_server::close_gracefully(std::shared_ptr<session> client_session) -> asio::awaitable<void> {
    auto& link = *client_session->link;
    link.end_writing();
    link.buffer.clear();
    link.buffer.shrink_to_fit();
    client_session->unacknowledged = link.unacknowledged_bytes().value_or(0);
    m_lingering.push_back(client_session);
    limit_lingering();
    co_await linger(client_session);
    std::erase_if(m_lingering, [&](const auto& each) { return each.lock() == client_session; });
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
        if ((has_finished && bytes.value_or(0) == 0) || monotonic_now() - underway_at >= idle_limit) {
            co_return;
        }
        client_session->unacknowledged = bytes.value_or(0);
        if (discards && client_session->has_input) {
            client_session->has_input = !link.discard_input(); // At the end of the input, it stays readable.
        }
        co_await wait_for_input(client_session, linger_check_interval);
    }
}

/// Closes the connections that have lingered longest while there are too many, or too many bytes of them.
auto http_server::limit_lingering() -> void {
    auto bytes = std::size_t{0};
    for (const auto& each : m_lingering) {
        const auto found = each.lock();
        bytes += found ? found->unacknowledged : 0;
    }
    while (m_lingering.size() > m_options.lingering_connections || bytes > m_options.lingering_bytes) {
        const auto oldest = m_lingering.front().lock();
        m_lingering.pop_front();
        if (oldest) {
            log::warning("lingering_limit", {{"port", m_options.port},
                                             {"client", oldest->link->remote},
                                             {"unacknowledged", oldest->unacknowledged}});
            bytes -= oldest->unacknowledged;
            oldest->link->reset();
        }
    }
}

} // namespace teaselcross
