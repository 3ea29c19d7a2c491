#pragma once

// A connection of http_server, for the server's own source files.

#include "http/server.h"
#include "runtime/clock.h"

#include <cstddef>
#include <memory>
#include <utility>

namespace teaselcross {

/// Counts something for as long as it lives.
class counted {
public:
    explicit counted(std::shared_ptr<std::size_t> count) : m_count{std::move(count)} { ++*m_count; }
    counted(const counted&) = delete;
    auto operator=(const counted&) -> counted& = delete;
    ~counted() { --*m_count; }

private:
    std::shared_ptr<std::size_t> m_count;
};

/// A client connection with what its reader waits for.
struct http_server::session {
    session(boost::asio::ip::tcp::socket socket, std::shared_ptr<std::size_t> connections,
            std::shared_ptr<std::size_t> written)
        : link{std::make_shared<client_link>(std::move(socket), std::move(written))}, open{std::move(
                                                                                          connections)} {}

    std::shared_ptr<client_link> link;
    counted open;
    bool watching = false;       ///< The socket is watched for input.
    bool has_input = false;      ///< The socket has input, or was closed by the client.
    bool has_served = false;     ///< A request has been read.
    bool runs_alone = false;     ///< A request is in progress beside which no other one may run.
    bool discards_input = false; ///< What still arrives belongs to a request that was answered unread.
    bool lingers = false;        ///< Waits for its last responses to arrive; reads no request any more.
    std::size_t bytes_in_progress = 0;
    instant idle_since = monotonic_now();
};

} // namespace teaselcross
