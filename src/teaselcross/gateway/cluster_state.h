#pragma once

// An instance's view of the cluster: configuration, targets, key owners and other instances.

#include "admission/target_view.h"
#include "gateway/change_signal.h"
#include "gateway/gateway_settings.h"
#include "keyspace/key_map.h"
#include "routing/route_table.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace teaselcross {

/// An instance as it registered itself in the store.
struct instance_record {
    std::string name;
    data_centre_id data_centre;
    endpoint internal;
    double cpu_share = 0;            ///< CPU capacity, in cores.
    std::uint64_t start_time_ms = 0; ///< Start time of its process in milliseconds since the Unix epoch.
};

/// Orders instances by preference for work on behalf of others: by CPU capacity, and among equals in an order
/// that differs by purpose.
class instance_ranking {
public:
    explicit instance_ranking(std::string_view purpose);
    /// Whether @a left is preferred.
    auto operator()(const instance_record& left, const instance_record& right) const -> bool;

private:
    std::uint64_t m_item;
};

/// A target with what the gateway records about it besides its load.
struct known_target {
    target_view view;
    /// When this instance learnt that the target is leaving or was removed.
    std::optional<instant> leaving_since;
    /// The earliest time at which its leaving or removal may have been acknowledged, if leaving_since is set.
    instant leaving_not_before{};
    bool listed = true; ///< False after it has been removed from the platform's list.
    /// Set when the entry expired during a store outage; the target is removed if it is still missing then.
    std::optional<instant> missing_until;
    instant missing_not_before{}; ///< The last time at which it was listed, if missing_until is set.
    store_revision revision;      ///< Revision of the target's entry in the store.
};

/// A target that said itself that it is leaving, in an answer to a request.
struct leaving_notice {
    target_id target;
    std::uint64_t start_time_ms = 0; ///< Of the process that is leaving; a later process is not.

    auto operator==(const leaving_notice&) const -> bool = default;
};

/// The cluster as known to this instance. Not thread safe: use it on the event loop's thread only.
class cluster_state {
public:
    cluster_state(const gateway_settings& settings, boost::asio::any_io_executor executor);

    auto routes() const -> std::shared_ptr<const route_table> { return m_routes; }
    /// Applies @a table if it is newer than the current one. Returns whether it was applied.
    auto set_routes(route_table table) -> bool;

    /// Records that an answer was of @a era of the store. After a restore, entries that are missing, and
    /// entries that contradict what is known of a target, are not acted on for the outage grace: the platform
    /// and the targets write theirs again.
    auto note_era(std::uint64_t era, instant now) -> void;

    /// Adds or updates a target. Ignores entries that are older than the known one. @a not_before is the last
    /// time at which the entry was not in the store; instant{} if there is none, instant::max() if it is new.
    auto put_target(const listed_target& listed, const store_revision& revision, instant now,
                    instant not_before = instant::max()) -> void;
    /// Handles the removal of a target from the list. With a @a grace period it stays in use meanwhile and is
    /// kept unchanged if it is listed again. @a not_before is the last time at which it was listed, as for
    /// put_target().
    auto remove_target(const target_id& id, std::optional<duration> grace, instant now,
                       instant not_before = instant::max()) -> void;
    /// Removes targets and applies other changes whose grace period is over, and discards targets that were
    /// removed some time ago.
    auto remove_expired(instant now) -> void;

    /// Records that a target said that it is leaving. That holds for its process, whatever the list says
    /// afterwards. @a source is for the log.
    auto set_leaving(const leaving_notice& notice, std::string_view source, instant now) -> void;
    /// The targets that said that they are leaving and are still known, for other instances.
    auto leaving_notices() const -> std::vector<leaving_notice>;

    auto target(const target_id& id) const -> std::shared_ptr<known_target>;
    /// The address of the process @a incarnation, also for ten minutes after it was removed from the list.
    /// Nothing if another process of the target is known, or another target is listed there.
    auto last_address(const target_incarnation& incarnation) const -> std::optional<endpoint>;
    auto targets() const -> const std::map<target_id, std::shared_ptr<known_target>>& { return m_targets; }
    /// Targets of @a service that may get requests without a key: not leaving and not in a data centre that
    /// is out of service.
    auto candidates(const service_id& service) -> const std::vector<target_view*>&;
    auto policy(const service_id& service) const -> service_policy;

    /// The earliest time at which the data centre may have been taken out of service; nothing while it is in
    /// service.
    auto out_of_service_since(const data_centre_id& data_centre) const -> std::optional<instant>;
    /// Applies the entry of @a revision in the store that takes a data centre out of service. @a not_before
    /// is the last time at which there was no such entry; instant{} if there is none, as after a start: the
    /// entry may then be of any age, and the time that targets have left counts as over.
    auto take_out_of_service(const data_centre_id& data_centre, const store_revision& revision,
                             instant not_before, instant now) -> void;
    auto return_to_service(const data_centre_id& data_centre, instant now) -> void;

    auto keys(const service_id& service) const -> std::shared_ptr<const key_map>;
    /// Applies @a map if it is newer than the known one.
    auto set_keys(const service_id& service, key_map map) -> void;
    /// Waits until a key map, a target, a data centre or the configuration changes, for at most @a limit.
    auto wait_for_change(duration limit) -> boost::asio::awaitable<void> { return m_change.wait(limit); }

    auto instances() const -> const std::vector<instance_record>& { return m_instances; }
    auto set_instances(std::vector<instance_record> instances) -> void { m_instances = std::move(instances); }
    /// Adds or replaces one instance.
    auto put_instance(instance_record instance) -> void;
    auto remove_instance(const std::string& name, instant now) -> void;
    /// Number of instances that are preferred to this one for @a purpose.
    auto rank_of_this_instance(std::string_view purpose) const -> std::size_t;
    /// Number of instances with at least half of the CPU capacity of the strongest.
    auto strong_instances() const -> std::size_t;
    /// Number of instances that share the limits, this one included; never 0.
    auto fleet_size() const -> std::size_t;
    /// Number of instances of which a majority is needed to act without the store. After a restore, instances
    /// register again one by one, so for a minute it is no lower than before. Nothing while this process may
    /// not have heard of all, because the store had been restored when it first answered.
    auto quorum_fleet(instant now) const -> std::optional<std::size_t>;
    /// The rate at which this instance may send to the cold target @a id; @a rate is what its service
    /// sustains when cold.
    auto cold_share_of(const target_id& id, double rate) const -> cold_rate_limit;

private:
    /// The latest description of a target that was removed or was leaving.
    struct departed_target {
        listed_target listed;
        instant since{};
    };
    /// Whether a description is later than what is known of the target, or earlier. One of a process that was
    /// replaced is never true again: keys granted to it would reach the process that replaced it.
    enum class description_age { present, earlier, earlier_process };
    struct listed_entry {
        listed_target listed;
        store_revision revision;
        instant not_before{};
    };

    auto notify_change() -> void;
    auto begin_leaving(known_target& known, instant not_before, instant now) -> void;
    auto is_within_restore_grace(instant now) const -> bool { return now < m_restore_grace_end; }
    auto compare_description(const listed_target& listed) const -> description_age;
    auto apply_held_back(instant now) -> void;

    const gateway_settings& m_settings;
    std::shared_ptr<const route_table> m_routes = std::make_shared<route_table>();
    std::map<target_id, std::shared_ptr<known_target>> m_targets;
    std::map<service_id, std::vector<target_view*>> m_candidates;
    bool m_candidates_valid = false;
    /// Targets that said that they are leaving, with the start of their process and since when it is known.
    std::map<target_id, std::pair<std::uint64_t, instant>> m_leaving;
    std::map<data_centre_id, instant> m_out_of_service;
    std::uint64_t m_era = 0; ///< The highest era of the store that was noted.
    instant m_restore_grace_end{};
    std::size_t m_fleet_before_restore = 0; ///< 0 if this process has not heard of the fleet of before.
    instant m_registration_end{};           ///< Until then instances may not have registered again.
    std::map<target_id, departed_target> m_departed;
    // Changes that wait for the end of the grace after a restore.
    std::map<target_id, listed_entry> m_held_back_targets;
    std::set<data_centre_id> m_held_back_returns;
    std::set<std::string> m_held_back_removals; ///< Names of instances.
    std::map<service_id, std::shared_ptr<const key_map>> m_keys;
    std::vector<instance_record> m_instances;
    change_signal m_change;
};

/// Whether a configuration is known, and the owners of the keys of each keyed service.
auto can_route(const cluster_state& cluster) -> bool;

} // namespace teaselcross
