#pragma once

// What an instance on the platform believes: configuration, targets, owners of keys, and other instances.

#include "admission/target_view.h"
#include "gateway/change_signal.h"
#include "gateway/gateway_settings.h"
#include "keyspace/key_map.h"
#include "routing/route_table.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace teaselcross {

/// Another instance, or this one, as it registered itself.
struct instance_record {
    std::string name;
    data_centre_id data_centre;
    endpoint internal;
    double processor = 0;    ///< Its share of a core.
    std::uint64_t birth = 0; ///< Milliseconds since the Unix epoch at which its process started.
};

/// A target with what the gateway remembers beside its load.
struct known_target {
    target_view view;
    std::optional<instant> leaving_since; ///< When it was learnt that it leaves or has gone.
    bool listed = true;                   ///< False once it has gone from the platform's list.
    std::optional<instant> missing_until; ///< Lapsed in an outage of the store; gone for good after that.
    std::uint64_t revision = 0;           ///< Of the store's entry.
};

/// Everything that one instance believes. Belongs to the event loop's thread.
class knowledge {
public:
    knowledge(const gateway_settings& options, boost::asio::any_io_executor executor);

    auto routes() const -> std::shared_ptr<const route_table> { return m_routes; }
    /// Takes @a table unless it is older than the one in force. Returns whether it was taken.
    auto set_routes(route_table table) -> bool;

    /// A target was listed anew or has changed. Entries older than the one known are ignored.
    auto put_target(const listed_target& listed, std::uint64_t revision, instant now) -> void;
    /// A target has gone from the list; within @a grace it may come back unharmed.
    auto drop_target(const target_id& id, std::optional<duration> grace, instant now) -> void;
    /// The whole list was read: targets that it lacks have gone.
    auto keep_only(const std::vector<target_id>& listed, std::optional<duration> grace, instant now) -> void;
    /// Forgets targets that went long ago.
    auto sweep(instant now) -> void;

    auto target(const target_id& id) const -> std::shared_ptr<known_target>;
    auto targets() const -> const std::map<target_id, std::shared_ptr<known_target>>& { return m_targets; }
    /// Targets of @a service that may get requests without a key: neither leaving nor taken out.
    auto candidates(const service_id& service) -> const std::vector<target_view*>&;
    auto policy(const service_id& service) const -> service_policy;

    /// Since when a data centre is taken out, if it is.
    auto taken_out_since(const data_centre_id& data_centre) const -> std::optional<instant>;
    auto take_out(const data_centre_id& data_centre, instant now) -> void;
    auto bring_back(const data_centre_id& data_centre, instant now) -> void;
    auto taken_out() const -> const std::map<data_centre_id, instant>& { return m_taken_out; }

    auto keys(const service_id& service) const -> std::shared_ptr<const key_map>;
    /// Takes @a map unless it is older than the one known.
    auto set_keys(const service_id& service, key_map map) -> void;
    /// Waits until some key map or target changes, at most for @a limit.
    auto keys_changed(duration limit) -> boost::asio::awaitable<void> { return m_change.wait(limit); }

    auto instances() const -> const std::vector<instance_record>& { return m_instances; }
    auto set_instances(std::vector<instance_record> instances) -> void { m_instances = std::move(instances); }
    /// The instances that should do work for others, the strongest first; the order of equals differs by @a
    /// purpose.
    auto strongest(std::string_view purpose) const -> std::vector<instance_record>;
    /// Instances that share limits, this one included; never 0.
    auto fleet_size() const -> std::size_t;
    /// What this instance may send to the cold target @a id, whose service bears @a rate when cold.
    auto cold_share_of(const target_id& id, double rate) const -> cold_rate_limit;

private:
    auto announce() -> void;

    const gateway_settings& m_options;
    std::shared_ptr<const route_table> m_routes = std::make_shared<route_table>();
    std::map<target_id, std::shared_ptr<known_target>> m_targets;
    std::map<service_id, std::vector<target_view*>> m_candidates;
    bool m_candidates_valid = false;
    std::map<data_centre_id, instant> m_taken_out;
    std::map<service_id, std::shared_ptr<const key_map>> m_keys;
    std::vector<instance_record> m_instances;
    change_signal m_change;
};

} // namespace teaselcross
