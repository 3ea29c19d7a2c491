#pragma once

// Turns the store's objects into what an instance believes: targets, configuration, data centres that are
// taken out, and owners of keys.

#include "gateway/knowledge.h"
#include "gateway/store_access.h"
#include "gateway/store_follower.h"

#include <functional>
#include <map>
#include <string>

namespace teaselcross {

/// Belongs to the event loop's thread, like all that it refers to, which must outlive it.
class knowledge_feed {
public:
    knowledge_feed(const gateway_settings& options, knowledge& known, const store_access& store);

    /// Sets who hears of the limits of a configuration that has come into force.
    auto set_limits_listener(std::function<void(const caller_limits&)> listener) -> void {
        m_on_limits = std::move(listener);
    }

    // What to do with objects of each kind. The results refer to this feed.
    auto target_events() -> follower_events;
    auto route_events() -> follower_events;
    auto taken_out_events() -> follower_events;
    auto key_map_events() -> follower_events;

private:
    auto take_target(const store_object& object) -> void;
    auto take_routes(const store_object& object) -> void;
    auto take_keys(const store_object& object) -> void;
    auto take_key_changes(const store_object& object, std::uint64_t base) -> bool;
    auto return_grace() const -> std::optional<duration>;

    const gateway_settings& m_options;
    knowledge& m_known;
    const store_access& m_store;
    std::function<void(const caller_limits&)> m_on_limits;
    std::map<std::string, std::string>
        m_faulty; ///< Entries that cannot be read, so that each is logged once.
};

/// The changes between two key maps as the store keeps them, or nothing when one cannot be read. Thread safe.
auto key_map_difference(const std::string& before, const std::string& after) -> std::optional<std::string>;

} // namespace teaselcross
