#pragma once

// An HTTP server on an ephemeral loopback port whose answers a test decides.

#include "http/exchange.h"

#include <functional>

namespace teaselcross {

/// Returns the body of the answer to a request. An empty body stands for an instance that cannot answer.
using peer_script = std::function<std::string(const http_request&)>;

/// Not thread safe: use it on the event loop's thread only. It must outlive the event loop's run.
class loopback_peer {
public:
    /// Starts accepting. Throws boost::system::system_error if no port can be opened.
    loopback_peer(boost::asio::any_io_executor executor, peer_script script);

    auto address() const -> endpoint;

private:
    auto accept() -> boost::asio::awaitable<void>;
    auto serve(boost::beast::tcp_stream stream) -> boost::asio::awaitable<void>;

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::acceptor m_acceptor;
    peer_script m_script;
};

} // namespace teaselcross
