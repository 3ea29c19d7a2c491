#pragma once

// The controller: the one instance, elected by a lease, that assigns keys to targets, sends them grants and
// records the owners in the store.

#include "balance/range_balance.h"
#include "gateway/cluster_state.h"
#include "gateway/holder_calls.h"
#include "gateway/overdue_connections.h"
#include "gateway/replica_messages.h"
#include "gateway/request_router.h"
#include "gateway/store_access.h"
#include "ownership/lease.h"
#include "ownership/report_times.h"
#include "ownership/takeover.h"
#include "runtime/clock.h"

#include <array>
#include <set>

namespace teaselcross {

/// Paths of requests to and from the controller on the internal port.
namespace controller_paths {
constexpr auto report = "/controller/report";
constexpr auto resign = "/controller/resign";
constexpr auto announce = "/controller/recognise";
} // namespace controller_paths

/// How long a write whose answer was lost is repeated.
constexpr auto write_timeout = duration{std::chrono::seconds{2}};

struct controller_options {
    /// Short enough for a successor to renew grants before they expire.
    lease_options lease{.term = std::chrono::milliseconds{1200},
                        .renewal_interval = std::chrono::milliseconds{400}};
    /// How long a controller whose lease expired because the store does not answer may go on renewing grants,
    /// provided that a majority of instances report to it. A successor must first be acknowledged by a
    /// majority, or wait.
    duration lease_overrun = std::chrono::seconds{10};
    /// How long the stamp that an instance returned with a report counts towards the majority.
    duration report_validity = std::chrono::milliseconds{1200};
    duration tick_interval = std::chrono::milliseconds{40};
    /// Between two ticks of a service that answers of targets ask for.
    duration min_tick_interval = std::chrono::milliseconds{10};
    duration report_interval = std::chrono::milliseconds{400};
    duration balance_interval = std::chrono::milliseconds{400};
    /// Changes within this time are written together.
    duration write_interval = std::chrono::milliseconds{40};
    /// How long the answer to a grant is awaited in all. A target that was suspended may answer long after
    /// the time limit of the call.
    duration overdue_limit = std::chrono::seconds{20};
    /// When reports stay unanswered for this long, an instance reads the lease.
    duration holder_timeout = std::chrono::milliseconds{700};
};

/// State of a previous controller, as known to its successor.
enum class resignation {
    unknown,   ///< It did not answer and may still renew grants.
    uncertain, ///< It has stopped, but a grant that it sent may still take effect.
    clean,     ///< It has stopped, and all its grants were answered.
};
constexpr enum_table<resignation, 3> resignation_names{"unknown", "uncertain", "clean"};

/// The term of a controller, as other duties of its instance need to know it.
struct controller_term {
    std::uint64_t number = 0; ///< Differs for each term of the process.
    std::uint64_t era = 0;    ///< Of the store in which the lease was last written.
    std::uint64_t epoch = 0;  ///< Of the lease.
    bool is_first = false;    ///< There was no controller before.
    bool may_send_orders = false;
    bool holds_lease = false; ///< No later controller has begun.
    instant earlier_ended{};  ///< From when on no earlier controller may send orders.
};

class gateway_controller {
public:
    gateway_controller(const gateway_settings& settings, cluster_state& cluster, store_access& store,
                       request_router& router, metrics& measured, boost::asio::any_io_executor executor,
                       std::uint64_t start_time_ms);

    /// Campaigns for the lease, acts as controller while holding it, and otherwise reports to the holder.
    /// Returns after stop().
    auto run() -> boost::asio::awaitable<void>;
    /// Releases the lease for a planned stop, after the orders in flight have ended.
    auto stop() -> boost::asio::awaitable<void>;

    /// Handles a peer's report. Returns an empty string when this instance is not the controller.
    auto on_report(const std::string& body) -> std::string;
    /// Handles the request of a successor to stop. The answer, a name from resignation_names, tells whether
    /// all orders were answered.
    auto on_resign_request(const std::string& body) -> std::string;

    /// Handles the announcement of a new lease holder. After the answer this instance no longer reports to a
    /// controller of an earlier epoch. The answer is the number of instances of which this one has heard, if
    /// it can be sure of it.
    auto on_controller_announcement(const std::string& body) -> std::string;

    auto is_controller() const -> bool { return m_is_controller; }
    /// The term of this instance at @a now, if it is the controller.
    auto term(instant now) const -> std::optional<controller_term>;
    /// The lease as last known.
    auto known_lease() const -> const std::optional<lease_object>& { return m_lease.last_known; }
    /// The connections that are kept for answers to grants beyond their time limit.
    auto overdue() const -> const overdue_connections& { return m_overdue; }
    /// The lease holder, if known.
    auto holder() const -> std::optional<instance_record>;
    /// The instance that writes the key maps: the lease holder while it is known to hold the lease.
    auto key_map_writer() const -> std::optional<instance_record>;
    /// Sets the function that is called with each key map that this instance has written, as an object of the
    /// store, and the time before the write.
    auto set_write_listener(std::function<void(const store_object&, instant)> listener) -> void {
        m_on_written = std::move(listener);
    }
    /// Address of the lease holder, if known.
    auto holder_address() const -> std::optional<endpoint>;

    /// The controller's latest answer to a report.
    struct confirmation {
        instant asked_at{};
        instant received_at{};
        copy_states copies; ///< The controller's copies of the store's objects.
    };
    auto last_confirmation() const -> const confirmation& { return m_last_confirmation; }
    /// Paces the orders to targets by how late a timer of the event loop was.
    auto note_loop_delay(duration delay) -> void;
    /// Sets the function that returns the states sent to other instances while this one is the controller.
    auto set_copy_source(std::function<copy_states()> source) -> void { m_copy_source = std::move(source); }

private:
    struct service_control {
        range_grantor grantor;
        /// Two time spans: a short one for hot keys, and a long one for holders that are slower than others.
        std::array<key_rates, 2> rates{key_rates{.options = hotspot_options},
                                       key_rates{.options = sustained_load_options}};
        instant next_balance{};
        instant next_write{};
        instant last_tick{};
        bool is_tick_scheduled = false; ///< A tick before the next regular one.
        bool loaded = false;
        std::size_t last_holder_count = 0; ///< Used before the first assignment only.
        instant holder_count_since{};
    };
    struct target_speed {
        double service_us = 0;
    };

    auto self() const -> instance_id;
    auto make_grant_options() const -> range_grantor_options;
    auto campaign() -> boost::asio::awaitable<void>;
    auto read_lease() -> boost::asio::awaitable<bool>;
    auto write_lease(lease_write write) -> boost::asio::awaitable<bool>;
    /// Starts a term after @a before held the lease. @a is_lost: the store was restored and has no lease of
    /// its present era, so other controllers may have followed @a before.
    auto begin_term(std::optional<lease_object> before, bool is_lost) -> boost::asio::awaitable<void>;
    auto retry_resignation_request(instance_id holder, std::uint64_t term) -> boost::asio::awaitable<void>;
    auto announce_to_all() -> void;
    auto announce_to_others() -> void;
    auto announce_to(instance_record peer, std::uint64_t term, std::uint64_t era)
        -> boost::asio::awaitable<void>;
    auto has_majority_reports(instant now) const -> bool;
    auto is_majority(std::size_t count) const -> bool;
    auto request_resignation(instance_id holder) -> boost::asio::awaitable<resignation>;
    auto set_earliest_move(instant from) -> void;
    /// Lets no key move before any other controller has lost the right to send orders and its grants have
    /// expired.
    auto await_unknown_controllers(instant now) -> void;
    auto is_grant_state_certain(instant now) const -> bool;
    /// Notes that no grant of an earlier controller is unknown any more, once that is so, and lets the lease
    /// say it.
    auto settle_lease(instant now) -> void;
    auto end_term(const char* reason) -> void;
    auto take_over_keys(const service_id& service, service_control& state, key_map recorded) -> void;
    auto read_key_map(const service_id& service) -> boost::asio::awaitable<std::optional<key_map>>;
    auto control() -> boost::asio::awaitable<void>;
    auto may_send_orders(instant now) const -> bool;
    auto load_key_maps() -> boost::asio::awaitable<bool>;
    auto tick(instant now) -> void;
    auto tick_service(const service_id& service, service_control& state, instant now) -> void;
    /// Ticks @a service soon, once for all calls until then.
    auto schedule_tick(const service_id& service) -> void;
    auto run_scheduled_tick(service_id service, std::uint64_t term, duration delay)
        -> boost::asio::awaitable<void>;
    auto refresh_holders(const service_id& service, service_control& state, instant now) -> void;
    auto balance(const service_id& service, service_control& state, instant now) -> void;
    auto execute_order(service_id service, holder_command order, std::uint64_t term)
        -> boost::asio::awaitable<void>;
    /// Keeps the connection of a grant that is overdue, and gives up the oldest one if there are too many.
    auto keep_overdue_connection(overdue_connection kept) -> void;
    auto send_behind_grant(holder_command release) -> boost::asio::awaitable<void>;
    auto await_overdue_grant(service_id service, holder_command order, holder_answer answer)
        -> boost::asio::awaitable<void>;
    auto abort_overdue_grants() -> void;
    auto write_key_map(service_id service, key_map map, std::uint64_t term) -> boost::asio::awaitable<void>;
    auto renew_lease() -> boost::asio::awaitable<void>;
    auto send_report() -> boost::asio::awaitable<void>;
    auto apply_report(const nlohmann::json& report, instant now) -> void;
    auto apply_leaving(const nlohmann::json& document, instant now) -> void;
    auto make_report() -> nlohmann::json;

    const gateway_settings& m_settings;
    controller_options m_options;
    cluster_state& m_cluster;
    store_access& m_store;
    request_router& m_router;
    metrics& m_measured;
    boost::asio::any_io_executor m_executor;
    std::uint64_t m_start_time_ms;
    connection_pool m_order_pool;
    connection_pool m_peer_pool;
    lease_candidate m_lease;
    bool m_is_controller = false;
    bool m_orders_enabled = true; ///< False while the lease cannot be renewed.
    bool m_stopping = false;
    /// The store may have lost leases and records of controllers before the current term.
    bool m_predecessor_unknown = false;
    bool m_is_first_term = false; ///< There was no controller before.
    std::uint64_t m_era = 0;  ///< Era of the store in which the lease of the current term was last written.
    std::uint64_t m_term = 0; ///< Number of terms that this process started; identifies the current one.
    std::uint32_t m_grants_in_flight = 0;
    std::uint64_t m_calls = 0;          ///< Orders so far, to identify each.
    std::uint64_t m_overdue_closed = 0; ///< Connections of overdue grants that were given up, so far.
    instant m_next_overdue_log{};
    overdue_connections m_overdue;           ///< Of grants of the current term.
    instant m_last_renewal{};                ///< Start of the last successful write of the lease.
    report_times m_reports;                  ///< Of the instances that report to this one.
    report_stamp m_stamp;                    ///< Of the holder's last answer to this instance.
    std::set<std::string> m_announced_to;    ///< Instances that are asked to acknowledge the lease.
    std::set<std::string> m_acknowledged_by; ///< Instances that no longer report to an earlier controller.
    std::size_t m_acknowledged_fleet = 0;    ///< The largest fleet of which one of them has heard.
    /// From when no earlier controller can have grants in force, once a majority has acknowledged this term.
    std::optional<instant> m_acknowledged_bound;
    instant m_earliest_move{};
    instant m_term_start{};         ///< Start of the current term.
    instant m_last_holder_answer{}; ///< When the lease holder last answered a report.
    instant m_next_renewal{};
    bool m_renewing = false;
    std::uint64_t m_write_count = 0;
    std::map<service_id, service_control> m_services;
    std::map<target_id, target_speed> m_target_speeds;
    confirmation m_last_confirmation;
    std::function<copy_states()> m_copy_source;
    std::function<void(const store_object&, instant)> m_on_written;
    instant m_without_holder_since = monotonic_now(); ///< Since when no holder is known to this instance.
};

} // namespace teaselcross
