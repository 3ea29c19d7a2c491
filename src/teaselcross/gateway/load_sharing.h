#pragma once

// Shares load reports of targets with the other instances of the data centre, through the instance among
// them that is the exchange.

#include "admission/load_exchange.h"
#include "gateway/cluster_state.h"
#include "gateway/load_messages.h"
#include "metrics/metrics.h"

#include <string_view>

namespace teaselcross {

/// Path of the messages to the exchange on the internal port.
constexpr auto load_exchange_path = std::string_view{"/load/exchange"};

/// Returns the instances that share reports with the one called @a own, itself included, with the preferred
/// exchange first; none if they are too few. A large data centre is divided into groups, since one exchange
/// serves a limited number of instances.
auto sharing_group(const std::vector<instance_record>& instances, const std::string& own,
                   const data_centre_id& data_centre) -> std::vector<instance_record>;

/// Not thread safe: use it on the event loop's thread only.
class load_sharing {
public:
    load_sharing(const gateway_settings& settings, cluster_state& cluster, metrics& measured,
                 boost::asio::any_io_executor executor);

    /// Exchanges reports until the event loop ends.
    auto run() -> boost::asio::awaitable<void>;

    /// Records a report that a target sent to this instance at @a now.
    auto on_own_report(const target_view& view, const load_report& report, bool rejected, instant now)
        -> void;
    /// Records that a request was sent to a target.
    auto on_request(instant now) -> void { m_last_request = now; }

    /// Handles a message of another instance. Returns the answer, empty if the message is unreadable.
    auto answer(const std::string& body) -> std::string;

    /// Adds gauges of the instances that exchange reports here and of the reports that are kept for them.
    auto add_gauges(std::vector<gauge>& values) const -> void;

private:
    auto is_due(instant now) const -> bool;
    auto update_group(instant now) -> void;
    auto share() -> boost::asio::awaitable<void>;
    auto share_with(const instance_record& exchange, const std::vector<shared_report>& heard)
        -> boost::asio::awaitable<bool>;
    auto merge(const std::vector<shared_report>& reports, instant now) -> void;

    const gateway_settings& m_settings;
    cluster_state& m_cluster;
    metrics& m_measured;
    connection_pool m_pool;
    load_outbox m_outbox;
    load_exchange m_exchange;
    std::vector<instance_record> m_group;
    std::unordered_map<std::uint64_t, std::shared_ptr<known_target>> m_targets; ///< By target_hash().
    std::map<std::string, instant> m_avoid_until; ///< Instances that did not answer as the exchange.
    std::string m_current;                        ///< The instance that last answered as the exchange.
    instant m_last_request{};
    instant m_last_share{};
    instant m_next_update{};
};

} // namespace teaselcross
