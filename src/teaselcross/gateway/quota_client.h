#pragma once

// An instance's side of quotas: units for requests, and the queries that move units to and from the
// controller.

#include "gateway/change_signal.h"
#include "gateway/quota_service.h"
#include "quota/quota_share.h"

#include <functional>
#include <utility>

namespace teaselcross {

class quota_client;

/// A unit that was taken for one request. It is returned when this object ends before it was used, and must
/// not outlive the client.
class quota_hold {
public:
    quota_hold(quota_client& client, quota_unit unit) : m_client{&client}, m_unit{std::move(unit)} {}
    quota_hold(quota_hold&& other) noexcept
        : m_client{std::exchange(other.m_client, nullptr)}, m_unit{std::move(other.m_unit)} {}
    quota_hold(const quota_hold&) = delete;
    auto operator=(const quota_hold&) -> quota_hold& = delete;
    auto operator=(quota_hold&&) -> quota_hold& = delete;
    ~quota_hold();

    /// Counts a send at @a now. Returns false if the unit is no longer valid and nothing may be sent.
    auto use(instant now) -> bool;

private:
    quota_client* m_client; ///< Null once the unit was used.
    quota_unit m_unit;
};

/// What the client needs of the controller.
struct quota_controller {
    /// Epoch of the controller that this instance knows of, if any.
    std::function<std::optional<quota_epoch>()> epoch;
    /// Sends a query to the controller and returns its reply, or nothing if there is none in time.
    std::function<boost::asio::awaitable<std::optional<quota_reply>>(quota_query)> ask;
};

/// Not thread safe: use it on the event loop's thread only.
class quota_client {
public:
    /// The bounds of @a settings are read once. @a cluster must outlive this object.
    quota_client(const gateway_settings& settings, const cluster_state& cluster, quota_controller controller,
                 std::uint64_t start_time_ms, boost::asio::any_io_executor executor);

    /// Queries the controller while accounts have limits. Does not end.
    auto run() -> boost::asio::awaitable<void>;

    /// Whether requests of @a account, which may be null, need units.
    auto is_limited(const client_account* account) const -> bool {
        return account != nullptr && teaselcross::is_limited(account->quota);
    }

    /// What came of a request for a unit: the unit, or why there is none.
    struct result {
        std::optional<quota_hold> hold;
        unit_result reason = unit_result::unknown;
    };
    /// Takes a unit of @a account, waiting for the controller for at most @a limit.
    auto take(std::string account, duration limit) -> boost::asio::awaitable<result>;

    /// The quota in units, and the units in use at this instance, by account.
    auto gauges() -> std::vector<gauge>;

private:
    friend class quota_hold;

    auto apply_configuration() -> void;
    auto query_controller() -> boost::asio::awaitable<void>;

    quota_bounds m_bounds;
    const cluster_state& m_cluster;
    quota_controller m_controller;
    quota_share m_share;
    std::shared_ptr<const route_table> m_applied; ///< The configuration in the share.
    change_signal m_needed;                       ///< A request waits for units.
    change_signal m_answered;                     ///< The controller replied, or did not.
    std::size_t m_waiting = 0;
};

} // namespace teaselcross
