#pragma once

// Communication between instances: registration and discovery, relayed store reads, and requests to the
// controller.

#include "gateway/controller.h"
#include "gateway/copy_exchange.h"
#include "gateway/load_sharing.h"
#include "gateway/quota_service.h"
#include "gateway/request_router.h"
#include "gateway/store_follower.h"

namespace teaselcross {

/// Serves requests of other instances on the internal port, by path.
class peer_service {
public:
    peer_service(const gateway_settings& settings, store_access& store, gateway_controller& own_controller,
                 quota_service& quotas, load_sharing& sharing, metrics& measured);

    /// Serves the objects of @a follower to other instances; it must outlive this object.
    auto add_follower(store_follower& follower) -> void { m_followers[follower.kind()] = &follower; }
    /// Sets what handles the states of other instances' copies; it must outlive this object.
    auto set_copy_exchange(copy_exchange& exchange) -> void { m_exchange = &exchange; }

    /// Handles one request on the internal port; to be passed to http_server as its handler.
    auto handle(responder& link, http_request request) -> boost::asio::awaitable<bool>;

private:
    auto relay(responder& link, const http_request& request) -> boost::asio::awaitable<bool>;

    const gateway_settings& m_settings;
    store_access& m_store;
    gateway_controller& m_controller;
    quota_service& m_quotas;
    load_sharing& m_sharing;
    metrics& m_measured;
    std::map<std::string, store_follower*> m_followers; ///< By kind.
    copy_exchange* m_exchange = nullptr;
};

/// Decodes the record of an instance in the store. Logs why a record cannot be used, and returns nothing.
auto parse_instance_record(const store_object& object) -> std::optional<instance_record>;

/// Writes this instance's own record over any that an earlier process of the same name left.
auto register_self(const gateway_settings& settings, store_access& store, std::uint64_t start_time_ms)
    -> boost::asio::awaitable<void>;

/// Registers this instance in the store and lists the others, which are followed afterwards; when there are
/// few, it waits briefly and lists them again.
auto register_and_list_instances(const gateway_settings& settings, cluster_state& cluster,
                                 store_access& store, std::uint64_t start_time_ms)
    -> boost::asio::awaitable<void>;

} // namespace teaselcross
