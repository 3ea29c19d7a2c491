#pragma once

// One instance at a time decides who owns which keys, orders it at the targets, and records it in the store.

#include "balance/range_balance.h"
#include "gateway/knowledge.h"
#include "gateway/request_router.h"
#include "gateway/store_access.h"
#include "ownership/lease.h"

#include <array>
#include <set>

namespace teaselcross {

/// Paths of calls to the controller on the internal port.
namespace controller_paths {
constexpr auto report = "/controller/report";
constexpr auto resign = "/controller/resign";
constexpr auto recognise = "/controller/recognise";
} // namespace controller_paths

/// Writes whose answer was lost are repeated for so long.
constexpr auto write_patience = duration{std::chrono::seconds{2}};

struct controller_options {
    /// Short enough for a successor to renew grants before they run out.
    lease_options lease{.term = std::chrono::milliseconds{1200}, .renewal = std::chrono::milliseconds{400}};
    /// A controller whose lease ran out, because the store does not answer it, goes on renewing grants while
    /// most instances report to it, and no longer than this. A successor first wins most instances over, or
    /// waits.
    duration afterglow = std::chrono::seconds{10};
    /// A report counts for so long.
    duration recognition = std::chrono::milliseconds{1200};
    duration tick = std::chrono::milliseconds{40};
    duration report_interval = std::chrono::milliseconds{400};
    duration balance_interval = std::chrono::milliseconds{400};
    duration write_interval =
        std::chrono::milliseconds{40}; ///< Changes that come together are written together.
    /// Reports that stay unanswered for so long make an instance look at the lease.
    duration silence = std::chrono::milliseconds{700};
};

/// What is known of an earlier controller.
enum class resignation {
    unknown,   ///< It has not answered; it may still renew grants.
    uncertain, ///< It has stopped, but a grant that it sent may take effect yet.
    clean,     ///< It has stopped, and all its grants were answered.
};
constexpr enum_table<resignation, 3> resignation_names{"unknown", "uncertain", "clean"};

class controller {
public:
    controller(const gateway_settings& options, knowledge& known, store_access& store, request_router& router,
               metrics& measured, boost::asio::any_io_executor executor, std::uint64_t birth);

    /// Seeks the lease, controls while it holds it, and reports to the holder otherwise. Ends after stop().
    auto run() -> boost::asio::awaitable<void>;
    /// Gives the lease up for a planned stop, after the orders in flight have ended.
    auto stop() -> boost::asio::awaitable<void>;

    /// A peer's report, or an empty answer when this instance does not control.
    auto on_report(const std::string& body) -> std::string;
    /// A successor asks this instance to stop. The answer tells whether its orders have all been answered.
    auto on_resign_request(const std::string& body) -> std::string;

    /// A successor says that it holds the lease now. From its answer on, this instance reports to nobody
    /// older.
    auto on_recognise(const std::string& body) -> std::string;

    auto controls() const -> bool { return m_controls; }
    /// Where the instance that holds the lease can be reached, as far as is known.
    auto holder_address() const -> std::optional<endpoint>;

    /// What the controller said last of what it knows.
    struct confirmation {
        instant at{};
        std::map<std::string, std::uint64_t> digests; ///< By kind of object.
    };
    auto confirmed() const -> const confirmation& { return m_confirmed; }
    /// Sets where the digests come from that this instance tells as controller.
    auto set_digests(std::function<std::map<std::string, std::uint64_t>()> digests) -> void {
        m_digests = std::move(digests);
    }

private:
    struct service_control {
        range_grantor grantor;
        /// Over a moment, for hot keys, and over a while, for holders that are slower than others.
        std::array<key_rates, 2> rates{key_rates{.options = sudden_heat}, key_rates{.options = lasting_load}};
        instant next_balance{};
        instant next_write{};
        bool loaded = false;
        std::size_t holders_seen = 0; ///< Before the first assignment.
        instant holders_since{};
    };
    struct target_speed {
        double service_us = 0;
    };

    auto self() const -> instance_id;
    auto grant_options() const -> range_grantor_options;
    auto seek() -> boost::asio::awaitable<void>;
    auto read_lease() -> boost::asio::awaitable<bool>;
    auto write_lease(lease_write write) -> boost::asio::awaitable<bool>;
    auto begin(std::optional<lease_object> before) -> boost::asio::awaitable<void>;
    auto settle(instance_id holder, std::uint64_t term) -> boost::asio::awaitable<void>;
    auto win_over(instance_record peer, std::uint64_t term) -> boost::asio::awaitable<void>;
    auto is_recognised(instant now) const -> bool;
    auto is_majority(std::size_t count) const -> bool;
    auto ask_to_resign(instance_id holder) -> boost::asio::awaitable<resignation>;
    auto set_moves_from(instant from) -> void;
    auto certain(instant now) const -> bool;
    auto end(const char* reason) -> void;
    auto control() -> boost::asio::awaitable<void>;
    auto may_order(instant now) const -> bool;
    auto load_maps() -> boost::asio::awaitable<bool>;
    auto tick(instant now) -> void;
    auto tick_service(const service_id& service, service_control& state, instant now) -> void;
    auto refresh_holders(const service_id& service, service_control& state, instant now) -> void;
    auto balance(const service_id& service, service_control& state, instant now) -> void;
    auto carry_out(service_id service, holder_command order, std::uint64_t term)
        -> boost::asio::awaitable<void>;
    auto record(service_id service, key_map map, std::uint64_t term) -> boost::asio::awaitable<void>;
    auto renew() -> boost::asio::awaitable<void>;
    auto report() -> boost::asio::awaitable<void>;
    auto take_report(const nlohmann::json& report, instant now) -> void;
    auto own_report() -> nlohmann::json;

    const gateway_settings& m_options;
    controller_options m_limits;
    knowledge& m_known;
    store_access& m_store;
    request_router& m_router;
    metrics& m_measured;
    boost::asio::any_io_executor m_executor;
    std::uint64_t m_birth;
    connection_pool m_order_pool;
    connection_pool m_peer_pool;
    lease_candidate m_lease;
    bool m_controls = false;
    bool m_ordering = true; ///< Whether orders may be given now; false while the lease cannot be renewed.
    bool m_stopping = false;
    std::uint64_t m_term = 0; ///< Counts the times that this process took control.
    std::uint32_t m_orders_in_flight = 0;
    instant m_last_renewal{};                   ///< Start of the last write of the lease that took effect.
    std::map<std::string, instant> m_reporters; ///< When each instance last reported to this one.
    std::set<std::string> m_won_over;           ///< Instances that report to nobody older any more.
    instant m_moves_from{};
    instant m_began{};      ///< When the present term began.
    instant m_last_heard{}; ///< When the holder of the lease last answered a report.
    bool m_holder_refuses = false;
    instant m_next_renewal{};
    bool m_renewing = false;
    std::uint64_t m_writes = 0;
    std::map<service_id, service_control> m_services;
    std::map<target_id, target_speed> m_speeds;
    confirmation m_confirmed;
    std::function<std::map<std::string, std::uint64_t>()> m_digests;
};

} // namespace teaselcross
