#pragma once

// Translates objects of the store into the instance's cluster state: targets, configuration, data centres out
// of service and key owners.

#include "gateway/cluster_state.h"
#include "gateway/store_access.h"
#include "gateway/store_follower.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace teaselcross {

/// Not thread safe: use it on the event loop's thread only. All referenced objects must outlive it.
class cluster_state_feed {
public:
    cluster_state_feed(const gateway_settings& settings, cluster_state& cluster, const store_access& store);

    /// Sets the function that is called with the limits of each newly applied configuration.
    auto set_limits_listener(std::function<void(const caller_limits&)> listener) -> void {
        m_on_limits = std::move(listener);
    }

    // Callbacks for the objects of each kind. They refer to this feed, which must outlive them.
    auto target_events() -> follower_events;
    auto route_events() -> follower_events;
    auto out_of_service_events() -> follower_events;
    auto key_map_events() -> follower_events;
    auto instance_events() -> follower_events;

private:
    auto apply_target(const store_object& object, instant not_before) -> void;
    struct versioned_document;

    auto apply_routes(const store_object& object) -> void;
    auto apply_routes_difference(const store_object& object, const store_revision& base) -> bool;
    auto apply_routes_document() -> void;
    auto stored_routes(const std::string& key) const -> std::optional<store_object>;
    auto apply_key_map(const store_object& object) -> void;
    auto apply_key_map_changes(const store_object& object, const store_revision& base) -> bool;
    auto stored_key_map(const std::string& key) const -> std::optional<store_object>;

    const gateway_settings& m_settings;
    cluster_state& m_cluster;
    const store_access& m_store;
    std::function<void(const caller_limits&)> m_on_limits;
    /// To which differences apply; null if there is none that can be read.
    std::shared_ptr<versioned_document> m_routes_document;
    /// Latest parse error by object key, so that each error is logged only once.
    std::map<std::string, std::string> m_reported_faults;
};

/// Computes the difference between two configurations in stored form, as a JSON Patch (RFC 6902). Returns
/// nothing when one of them cannot be parsed. Thread safe.
auto routes_difference(const std::string& before, const std::string& after) -> std::optional<std::string>;

/// Computes the changes between two key maps in stored form. Returns nothing when one of them cannot be
/// parsed. Thread safe.
auto key_map_difference(const std::string& before, const std::string& after) -> std::optional<std::string>;

} // namespace teaselcross
