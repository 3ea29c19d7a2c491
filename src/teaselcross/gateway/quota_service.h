#pragma once

// The controller's side of quotas: answers instances' queries from the ledger of its term.

#include "gateway/controller.h"
#include "gateway/quota_messages.h"
#include "quota/quota_ledger.h"

namespace teaselcross {

/// Keeps the ledger while this instance is the controller. Not thread safe: use it on the event loop's
/// thread only.
class quota_service {
public:
    /// The bounds of @a settings are read once. The references must outlive this object.
    quota_service(const gateway_settings& settings, const cluster_state& cluster,
                  const gateway_controller& own_controller);

    /// Answers the query @a body. Returns an empty string if this instance is not the controller, may not
    /// send orders, or has handled a later query.
    auto on_query(const std::string& body) -> std::string;
    /// The same for a query of this instance.
    auto answer(const quota_query& query) -> std::optional<quota_reply>;

    /// Units in the pool and out at instances: the largest accounts and the sum of the rest. Empty unless
    /// this instance is the controller.
    auto gauges() const -> std::vector<gauge>;

private:
    auto update_ledger(const controller_term& term, instant now) -> void;

    quota_bounds m_bounds;
    const cluster_state& m_cluster;
    const gateway_controller& m_controller;
    std::optional<quota_ledger> m_ledger;
    std::uint64_t m_term = 0;                     ///< The controller's term that the ledger belongs to.
    std::shared_ptr<const route_table> m_applied; ///< The configuration in the ledger.
    instant m_next_reclaim{};
};

/// The bounds of quotas in @a settings.
auto quota_bounds_of(const gateway_settings& settings) -> quota_bounds;

/// Appends gauges called @a name of the ten largest of @a values, by account, and of the sum of the rest.
auto add_account_gauges(std::vector<gauge>& to, const std::string& name,
                        const std::map<std::string, double>& values) -> void;

} // namespace teaselcross
