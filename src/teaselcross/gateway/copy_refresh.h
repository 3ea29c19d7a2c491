#pragma once

// Keeps an instance's copies of the store's objects confirmed, independently of the relays and watches that
// bring their changes.

#include "gateway/controller.h"
#include "gateway/copy_exchange.h"
#include "gateway/store_follower.h"
#include "membership/cache_validation.h"

namespace teaselcross {

/// Not thread safe: use it on the event loop's thread only. All referenced objects must outlive it.
class copy_refresh {
public:
    copy_refresh(const gateway_settings& settings, const cluster_state& cluster,
                 const gateway_controller& own_controller, copy_exchange& exchange)
        : m_settings{settings}, m_cluster{cluster}, m_controller{own_controller}, m_exchange{exchange} {}

    /// Refreshes the copy of one kind when no peer confirms its versions, the controller reports different
    /// ones, or another instance has had a later copy for too long. Runs for as long as the event loop.
    auto run(store_follower& kind) -> boost::asio::awaitable<void>;

private:
    auto fetch_later_copy(store_follower& kind) -> boost::asio::awaitable<void>;
    auto is_unconfirmed(const store_follower& kind) const -> bool;
    /// Whether this instance is one of the few of its data centre that read the store beside their relay.
    auto may_read_store() const -> bool;
    auto matches_controller(const store_follower& kind) const -> bool;
    auto choose_refresh_source(const store_follower& kind, instant now) const -> refresh_source;
    auto confirm(store_follower& kind, instant now) -> void;
    auto refresh_kind(store_follower& kind, refresh_source source, bool is_relay_late)
        -> boost::asio::awaitable<bool>;

    const gateway_settings& m_settings;
    const cluster_state& m_cluster;
    const gateway_controller& m_controller;
    copy_exchange& m_exchange;
    /// Since when a copy has not been confirmed, for those that were logged as unconfirmed.
    std::map<std::string, std::optional<instant>> m_unconfirmed_since;
};

} // namespace teaselcross
