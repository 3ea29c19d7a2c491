#pragma once

// Keeps an instance's copies of the store's objects confirmed, independently of the relays and watches that
// bring their changes.

#include "gateway/controller.h"
#include "gateway/store_follower.h"
#include "membership/cache_validation.h"

namespace teaselcross {

/// Not thread safe: use it on the event loop's thread only. All referenced objects must outlive it.
class copy_refresh {
public:
    copy_refresh(const gateway_settings& settings, const gateway_controller& own_controller,
                 const std::vector<std::unique_ptr<store_follower>>& copies)
        : m_settings{settings}, m_controller{own_controller}, m_copies{copies} {}

    /// Refreshes a kind when no peer confirms this instance's versions or the controller reports different
    /// ones. Runs for as long as the event loop.
    auto run() -> boost::asio::awaitable<void>;

private:
    auto matches_controller(const store_follower& kind) const -> bool;
    auto choose_refresh_source(const store_follower& kind, instant now) const -> refresh_source;
    auto confirm(store_follower& kind, instant now) -> void;
    auto refresh_kind(store_follower& kind, refresh_source source) -> boost::asio::awaitable<bool>;

    const gateway_settings& m_settings;
    const gateway_controller& m_controller;
    const std::vector<std::unique_ptr<store_follower>>& m_copies;
    /// Since when a copy has not been confirmed, for those that were logged as unconfirmed.
    std::map<std::string, std::optional<instant>> m_unconfirmed_since;
};

} // namespace teaselcross
