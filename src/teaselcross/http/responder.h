#pragma once

// The server's side of a client connection on which several requests may be in progress at once.
//
// HTTP/1.1 returns the responses in the order of the requests. Each request has a responder, which writes its
// response after those of all requests that were received before it.

#include "http/exchange.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teaselcross {

class responder;

/// A client connection. Not thread safe: use it on the event loop's thread only.
struct client_link {
    /// Adds the size of what is written to @a written, which may be null.
    explicit client_link(boost::asio::ip::tcp::socket socket, std::shared_ptr<std::size_t> written = nullptr);

    /// Whether no further request will be read.
    auto is_read_to_end() const -> bool { return reading_ended || disconnected || closed; }
    auto in_progress() const -> std::size_t { return responders.size(); }
    /// Records that the client has disconnected, and tells the requests in progress.
    auto on_disconnected() -> void;
    /// Whether the client has closed its side, also if nobody has noticed yet. False if there is input to be
    /// read first.
    auto is_closed_by_client() -> bool;
    /// Whether the client has closed its side, also behind input that was not read.
    auto has_client_finished() -> bool;
    /// Whether the connection is of no more use: it was closed here, or has failed.
    auto is_broken() -> bool;
    /// Bytes that were written and that the client's system has not acknowledged; nothing if the system does
    /// not tell.
    auto unacknowledged_bytes() -> std::optional<std::size_t>;
    /// Reads input that has arrived, and drops it. Returns false if there was none.
    auto discard_input() -> bool;

    /// Ends the responses: those that have not been written are dropped, and the requests in progress are
    /// told. What was written still reaches the client for as long as the reader of requests keeps the
    /// socket.
    auto close() -> void;
    /// Ends the sending side, behind what was written.
    auto end_writing() -> void;
    /// Counts @a bytes that were written.
    auto count_written(std::size_t bytes) -> void;
    /// Whether the client has stopped waiting for the responses at @a now.
    auto is_given_up(instant now) const -> bool { return wanted_until && now >= *wanted_until; }
    /// Closes the connection with a TCP reset, as when the process is killed.
    auto reset() -> void;
    /// Wakes the coroutine that reads requests.
    auto wake_reader() -> void;

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::string remote; ///< The client's IP address.
    std::shared_ptr<std::size_t> written;
    /// When the client stops waiting for the latest of the responses; nothing if that is not known.
    std::optional<instant> wanted_until;
    boost::asio::steady_timer reader_wakeup;
    std::uint64_t next_number = 0;    ///< Of the next request to be read.
    std::uint64_t current_number = 0; ///< Of the request whose response is the next to be written.
    bool reading_ended = false; ///< The response to the last request that was read closes the connection.
    /// No request is read while another is in progress, and the response to the last one closes the
    /// connection.
    bool closing = false;
    bool disconnected = false;
    bool closed = false;                ///< Nothing more is written.
    std::vector<responder*> responders; ///< Of the requests in progress.
};

/// Writes the response to one request. Not thread safe: use it on the event loop's thread only.
class responder {
public:
    explicit responder(std::shared_ptr<client_link> link);
    responder(const responder&) = delete;
    auto operator=(const responder&) -> responder& = delete;
    ~responder();

    /// Waits until the responses to all earlier requests of the connection have been written. Returns false
    /// if the connection was closed first.
    auto wait_turn() -> boost::asio::awaitable<bool>;
    /// Completes when the client disconnects or the connection is closed, and never otherwise.
    auto wait_for_disconnect() -> boost::asio::awaitable<void>;

    auto is_disconnected() const -> bool { return m_link->disconnected || m_link->closed; }
    /// Looks at the connection, in case that the client has disconnected and the event loop is late.
    auto check_connection() -> void;
    auto remote() const -> const std::string& { return m_link->remote; }
    /// Tells when the client stops waiting for the response; instant::max() if that is not known.
    auto expect_until(instant until) -> void;
    /// Whether the response was written, completely or in part.
    auto has_responded() const -> bool { return m_responded; }

private:
    friend struct client_link;
    friend class disconnect_watch;
    friend auto write_answer(responder& to, http_response answer) -> boost::asio::awaitable<bool>;
    friend auto stream_answer(responder& to, open_answer& answer, struct stream_limits limits)
        -> boost::asio::awaitable<bool>;

    auto begin_response() -> bool;
    auto end_response(bool complete) -> void;
    auto notify_disconnected() -> void;

    std::shared_ptr<client_link> m_link;
    std::uint64_t m_number;
    bool m_responded = false;
    bool m_finished = false; ///< The response was written completely.
    bool m_closes_connection = false;
    std::function<void()> m_on_disconnect;
    /// Both expire when something is waited for; they are created only then.
    std::unique_ptr<boost::asio::steady_timer> m_turn;
    std::unique_ptr<boost::asio::steady_timer> m_disconnect;
};

/// Detects that the client disconnects while its request is being handled.
class disconnect_watch {
public:
    /// Calls @a on_disconnect once, when the client of @a request disconnects, or at once if it already has.
    /// @a request and all that @a on_disconnect refers to must outlive the watch. One watch at a time.
    disconnect_watch(responder& request, std::function<void()> on_disconnect);
    disconnect_watch(const disconnect_watch&) = delete;
    auto operator=(const disconnect_watch&) -> disconnect_watch& = delete;
    ~disconnect_watch() { m_request.m_on_disconnect = nullptr; }

private:
    responder& m_request;
};

/// Writes a complete response, in turn. Returns false if the connection broke.
auto write_answer(responder& to, http_response answer) -> boost::asio::awaitable<bool>;

struct stream_limits {
    duration stall_timeout{};                 ///< Between two parts of the body.
    duration total_timeout = duration::max(); ///< For the whole body, which may be without end.
};

/// Writes a response, in turn, with the header of @a answer, and streams the part of the body that has not
/// been read yet. Gives the memory of the part that has been read back to its budget. Returns false if either
/// connection broke or a limit was reached; the client has then received a detectably truncated response or
/// none.
auto stream_answer(responder& to, open_answer& answer, stream_limits limits) -> boost::asio::awaitable<bool>;

} // namespace teaselcross
