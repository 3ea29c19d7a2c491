#pragma once

// Instances among themselves: who there is, relayed reads of the store, and reports to the controller.

#include "gateway/controller.h"
#include "gateway/request_router.h"
#include "gateway/store_access.h"

namespace teaselcross {

/// What a peer asks this instance for, by path.
class peer_service {
public:
    peer_service(const gateway_settings& options, knowledge& known, store_access& store, controller& control,
                 metrics& measured);

    /// Handles one request on the internal port; for http_server.
    auto handle(server_connection& link, http_request request) -> boost::asio::awaitable<bool>;

private:
    auto relay(server_connection& link, const http_request& request) -> boost::asio::awaitable<bool>;

    const gateway_settings& m_options;
    knowledge& m_known;
    store_access& m_store;
    controller& m_control;
    metrics& m_measured;
};

/// Registers this instance in the store and keeps the list of the others up to date.
auto keep_instances(const gateway_settings& options, knowledge& known, store_access& store, std::uint64_t birth)
    -> boost::asio::awaitable<void>;

} // namespace teaselcross
