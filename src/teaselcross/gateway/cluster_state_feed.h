#pragma once

// Turns the store's objects into what an instance believes: targets, configuration, data centres that are
// taken out, and owners of keys.

#include "gateway/cluster_state.h"
#include "gateway/store_access.h"
#include "gateway/store_follower.h"

#include <functional>
#include <map>
#include <string>

namespace teaselcross {

/// Belongs to the event loop's thread, like all that it refers to, which must outlive it.
class cluster_state_feed {
public:
    cluster_state_feed(const gateway_settings& settings, cluster_state& cluster, const store_access& store);

    /// Sets who hears of the limits of a configuration that has come into force.
    auto set_limits_listener(std::function<void(const caller_limits&)> listener) -> void {
        m_on_limits = std::move(listener);
    }

    // What to do with objects of each kind. The results refer to this feed.
    auto target_events() -> follower_events;
    auto route_events() -> follower_events;
    auto out_of_service_events() -> follower_events;
    auto key_map_events() -> follower_events;

private:
    auto apply_target(const store_object& object) -> void;
    auto apply_routes(const store_object& object) -> void;
    auto apply_key_map(const store_object& object) -> void;
    auto apply_key_map_changes(const store_object& object, std::uint64_t base) -> bool;
    auto outage_grace() const -> std::optional<duration>;

    const gateway_settings& m_settings;
    cluster_state& m_cluster;
    const store_access& m_store;
    std::function<void(const caller_limits&)> m_on_limits;
    std::map<std::string, std::string>
        m_reported_faults; ///< Entries that cannot be read, so that each is logged once.
};

/// The changes between two key maps as the store keeps them, or nothing when one cannot be read. Thread safe.
auto key_map_difference(const std::string& before, const std::string& after) -> std::optional<std::string>;

} // namespace teaselcross
