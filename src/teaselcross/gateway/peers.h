#pragma once

// Instances among themselves: who there is, relayed reads of the store, and reports to the controller.

#include "gateway/controller.h"
#include "gateway/request_router.h"
#include "gateway/store_follower.h"

namespace teaselcross {

/// What a peer asks this instance for, by path.
class peer_service {
public:
    peer_service(const gateway_settings& settings, store_access& store, controller& own_controller,
                 metrics& measured);

    /// Lets others follow what @a follower knows; it must outlive this.
    auto add_follower(store_follower& follower) -> void { m_followers[follower.kind()] = &follower; }

    /// Handles one request on the internal port; for http_server.
    auto handle(server_connection& link, http_request request) -> boost::asio::awaitable<bool>;

private:
    auto relay(server_connection& link, const http_request& request) -> boost::asio::awaitable<bool>;

    const gateway_settings& m_settings;
    store_access& m_store;
    controller& m_controller;
    metrics& m_measured;
    std::map<std::string, store_follower*> m_followers; ///< By kind.
};

/// Registers this instance in the store and lists the others; waits a moment for them when it is the first.
auto register_and_list_instances(const gateway_settings& settings, cluster_state& cluster,
                                 store_access& store, std::uint64_t start_time_ms)
    -> boost::asio::awaitable<void>;
/// Keeps the list of instances up to date for as long as the event loop runs.
auto poll_instances(cluster_state& cluster, store_access& store) -> boost::asio::awaitable<void>;

} // namespace teaselcross
