#include "http/responder.h"

#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr auto write_timeout = std::chrono::seconds{30};

/// What poll() reports at once about the end of a connection.
auto poll_events(asio::ip::tcp::socket& socket) -> int {
    auto polled = pollfd{.fd = socket.native_handle(), .events = POLLRDHUP, .revents = 0};
    return ::poll(&polled, 1, 0) == 1 ? polled.revents : 0;
}

/// Waits on @a timer, which is created if needed, until it is cancelled.
auto wait_on(std::unique_ptr<asio::steady_timer>& timer, const asio::any_io_executor& executor)
    -> asio::awaitable<void> {
    if (timer == nullptr) {
        timer = std::make_unique<asio::steady_timer>(executor, asio::steady_timer::time_point::max());
    }
    co_await timer->async_wait(as_result);
}

auto cancel(const std::unique_ptr<asio::steady_timer>& timer) -> void {
    if (timer != nullptr) {
        timer->cancel();
    }
}

} // namespace

client_link::client_link(asio::ip::tcp::socket socket, std::shared_ptr<std::size_t> written_bytes)
    : stream{std::move(socket)}, written{std::move(written_bytes)},
      reader_wakeup{stream.get_executor(), asio::steady_timer::time_point::max()} {}

auto client_link::on_disconnected() -> void {
    if (disconnected) {
        return;
    }
    disconnected = true;
    for (auto* each : std::vector<responder*>{responders}) {
        each->notify_disconnected();
    }
}

auto client_link::is_closed_by_client() -> bool {
    auto byte = char{};
    const auto received = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

auto client_link::has_client_finished() -> bool {
    return (poll_events(stream.socket()) & (POLLRDHUP | POLLHUP)) != 0;
}

auto client_link::is_broken() -> bool {
    return disconnected || !stream.socket().is_open() ||
           (poll_events(stream.socket()) & (POLLERR | POLLNVAL)) != 0;
}

auto client_link::unacknowledged_bytes() -> std::optional<std::size_t> {
    auto bytes = int{0};
    const auto result = ::ioctl(stream.socket().native_handle(), SIOCOUTQ, &bytes);
    return result == 0 && bytes >= 0 ? std::optional{static_cast<std::size_t>(bytes)} : std::nullopt;
}

auto client_link::discard_input() -> bool {
    constexpr auto max_reads = 16; // The event loop has other work.
    auto discarded = std::array<char, 4096>{};
    const auto socket = stream.socket().native_handle();
    auto reads = 0;
    for (; reads < max_reads; ++reads) {
        const auto received = ::recv(socket, discarded.data(), discarded.size(), MSG_DONTWAIT);
        if (received <= 0) {
            break;
        }
    }
    return reads > 0;
}

auto client_link::end_writing() -> void {
    auto ignored = boost::system::error_code{};
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

auto client_link::count_written(std::size_t bytes) -> void {
    if (written != nullptr) {
        *written += bytes;
    }
}

auto client_link::reset() -> void {
    auto ignored = boost::system::error_code{};
    stream.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
    stream.close();
    close();
    wake_reader();
}

auto client_link::close() -> void {
    if (closed) {
        return;
    }
    closed = true;
    stream.cancel();
    end_writing();
    for (auto* each : std::vector<responder*>{responders}) {
        each->notify_disconnected();
        cancel(each->m_turn);
    }
    wake_reader();
}

auto client_link::wake_reader() -> void {
    reader_wakeup.cancel();
}

responder::responder(std::shared_ptr<client_link> link)
    : m_link{std::move(link)}, m_number{m_link->next_number++} {
    m_link->responders.push_back(this);
}

responder::~responder() {
    std::erase(m_link->responders, this);
    if (!m_finished) {
        m_link->close(); // The responses behind this one cannot be told from it.
    }
    m_link->wake_reader();
}

auto responder::notify_disconnected() -> void {
    cancel(m_disconnect);
    if (m_on_disconnect) {
        std::exchange(m_on_disconnect, nullptr)();
    }
}

auto responder::expect_until(instant until) -> void {
    auto& wanted_until = m_link->wanted_until;
    wanted_until = std::max(wanted_until.value_or(until), until);
}

auto responder::check_connection() -> void {
    if (!is_disconnected() && m_link->is_closed_by_client()) {
        m_link->on_disconnected();
    }
}

auto responder::wait_turn() -> asio::awaitable<bool> {
    while (!m_link->closed && m_link->current_number != m_number) {
        co_await wait_on(m_turn, m_link->stream.get_executor());
    }
    co_return !m_link->closed;
}

auto responder::wait_for_disconnect() -> asio::awaitable<void> {
    while (!is_disconnected()) {
        co_await wait_on(m_disconnect, m_link->stream.get_executor());
    }
}

/// Decides, when the response begins, whether the connection stays open after it. Only the response to the
/// last request that was read closes it, so that no request that was passed on loses its response.
auto responder::begin_response() -> bool {
    m_responded = true;
    const auto is_last = m_number + 1 == m_link->next_number;
    m_closes_connection = is_last && (m_link->is_read_to_end() || m_link->closing);
    m_link->reading_ended = m_link->reading_ended || m_closes_connection;
    return !m_closes_connection;
}

auto responder::end_response(bool complete) -> void {
    if (!complete) {
        m_link->close();
        return;
    }
    m_finished = true;
    ++m_link->current_number;
    for (const auto* each : m_link->responders) {
        if (each->m_number == m_link->current_number) {
            cancel(each->m_turn);
        }
    }
}

disconnect_watch::disconnect_watch(responder& request, std::function<void()> on_disconnect)
    : m_request{request} {
    if (request.is_disconnected()) {
        on_disconnect();
    } else {
        request.m_on_disconnect = std::move(on_disconnect);
    }
}

auto write_answer(responder& to, http_response answer) -> asio::awaitable<bool> {
    const auto is_turn = co_await to.wait_turn();
    if (!is_turn) {
        co_return false;
    }
    answer.keep_alive(to.begin_response());
    auto& stream = to.m_link->stream;
    stream.expires_after(write_timeout);
    const auto [error, size] = co_await http::async_write(stream, answer, as_result);
    to.m_link->count_written(size);
    stream.expires_never();
    to.end_response(!error);
    co_return !error;
}

auto stream_answer(responder& to, open_answer& answer, stream_limits limits) -> asio::awaitable<bool> {
    const auto started = monotonic_now();
    const auto is_turn = co_await to.wait_turn();
    if (!is_turn) {
        co_return false;
    }
    auto& stream = to.m_link->stream;
    auto message = http::response<http::buffer_body>{answer.header()};
    message.keep_alive(to.begin_response());
    if (!message.has_content_length()) {
        message.chunked(true);
    }
    auto serializer = http::response_serializer<http::buffer_body>{message};
    stream.expires_after(write_timeout);
    const auto [header_error, header_size] = co_await http::async_write_header(stream, serializer, as_result);
    to.m_link->count_written(header_size);
    auto part = std::exchange(answer.body, {});
    auto broken = static_cast<bool>(header_error);
    while (!broken) {
        message.body().data = part.empty() ? nullptr : part.data();
        message.body().size = part.size();
        message.body().more = !answer.complete;
        if (!part.empty() || answer.complete) {
            stream.expires_after(write_timeout);
            const auto [error, size] = co_await http::async_write(stream, serializer, as_result);
            to.m_link->count_written(size);
            broken = error && error != http::error::need_buffer;
        }
        if (broken || answer.complete) {
            break;
        }
        const auto left = limits.total_timeout - (monotonic_now() - started);
        if (left <= duration::zero()) {
            broken = true;
            break;
        }
        part = std::string{}; // Frees its memory; it was sent.
        answer.reserved.release();
        auto next = co_await read_part(answer, std::min(limits.stall_timeout, left));
        if (!next) {
            broken = true;
            break;
        }
        part = std::move(*next);
    }
    stream.expires_never();
    to.end_response(!broken);
    co_return !broken;
}

} // namespace teaselcross
