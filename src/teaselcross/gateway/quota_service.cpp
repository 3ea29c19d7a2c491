#include "gateway/quota_service.h"

#include "logging/log.h"
#include "runtime/clock.h"

#include <algorithm>

namespace teaselcross {

namespace {

constexpr auto reclaim_interval = duration{std::chrono::milliseconds{100}};
constexpr auto most_account_gauges = std::ptrdiff_t{10};

auto names_of(const std::vector<instance_record>& instances) -> std::set<std::string> {
    auto names = std::set<std::string>{};
    for (const auto& each : instances) {
        names.insert(each.name);
    }
    return names;
}

} // namespace

auto quota_bounds_of(const gateway_settings& settings) -> quota_bounds {
    return {
        .window = settings.quota_window, .overage = settings.quota_overage, .slack = settings.quota_slack};
}

auto add_account_gauges(std::vector<gauge>& to, const std::string& name,
                        const std::map<std::string, double>& values) -> void {
    auto sorted = std::vector<std::pair<std::string, double>>{values.begin(), values.end()};
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto& left, const auto& right) { return left.second > right.second; });
    auto rest = 0.0;
    for (std::ptrdiff_t index = 0; index < std::ssize(sorted); ++index) {
        auto& [account, value] = sorted[static_cast<std::size_t>(index)];
        if (index < most_account_gauges) {
            to.push_back({.name = name, .kind = account, .value = value});
        } else {
            rest += value;
        }
    }
    if (std::ssize(sorted) > most_account_gauges) {
        to.push_back({.name = name, .kind = "(rest)", .value = rest});
    }
}

quota_service::quota_service(const gateway_settings& settings, const cluster_state& cluster,
                             const gateway_controller& own_controller)
    : m_bounds{quota_bounds_of(settings)}, m_cluster{cluster}, m_controller{own_controller} {}

auto quota_service::update_ledger(const controller_term& term, instant now) -> void {
    const auto epoch = quota_epoch{.era = term.era, .number = term.epoch};
    if (!m_ledger || m_term != term.number || m_ledger->epoch != epoch) {
        const auto is_first = term.is_first && m_term != term.number;
        m_ledger = begin_ledger({.window = m_bounds.window}, epoch, is_first, now);
        m_term = term.number;
        m_applied.reset();
        log::info("quota_term_began",
                  {{"term", term.number}, {"era", term.era}, {"epoch", term.epoch}, {"settled", is_first}});
    }
    if (const auto routes = m_cluster.routes(); routes != m_applied) {
        m_applied = routes;
        set_totals(*m_ledger,
                   routes->accounts ? quota_totals_of(*routes->accounts, m_bounds) : quota_totals{});
    }
    m_ledger->fleet = m_cluster.fleet_size();
    if (now < m_next_reclaim) {
        return;
    }
    m_next_reclaim = now + reclaim_interval;
    auto takeover =
        quota_takeover{.earlier_ended = term.earlier_ended, .instances = {}, .holds_lease = term.holds_lease};
    const auto& instances = m_cluster.instances();
    const auto fleet = m_cluster.quorum_fleet(now);
    if (!m_ledger->is_settled && fleet && instances.size() >= *fleet) {
        takeover.instances = names_of(instances);
    }
    const auto was_settled = m_ledger->is_settled;
    reclaim_units(*m_ledger, takeover, now);
    if (m_ledger->is_settled && !was_settled) {
        log::info("quota_settled",
                  {{"term", term.number}, {"after_ms", (now - m_ledger->began).count() / 1000}});
    }
}

auto quota_service::answer(const quota_query& query) -> std::optional<quota_reply> {
    const auto now = monotonic_now();
    const auto term = m_controller.term(now);
    if (!term || !term->may_send_orders) {
        return std::nullopt;
    }
    update_ledger(*term, now);
    return teaselcross::on_query(*m_ledger, query, true, now);
}

auto quota_service::on_query(const std::string& body) -> std::string {
    const auto query = decode_quota_query(body);
    if (!query) {
        log::warning("quota_query_unreadable", {{"bytes", body.size()}});
        return {};
    }
    const auto reply = answer(*query);
    return reply ? encode(*reply) : std::string{};
}

auto quota_service::gauges() const -> std::vector<gauge> {
    auto values = std::vector<gauge>{};
    if (!m_ledger || !m_controller.is_controller()) {
        return values;
    }
    auto pool = std::map<std::string, double>{};
    auto out = std::map<std::string, double>{};
    for (const auto& [name, account] : m_ledger->accounts) {
        pool[name] = static_cast<double>(account.pool);
        out[name] = static_cast<double>(units_out(*m_ledger, name));
    }
    add_account_gauges(values, "quota_pool_units", pool);
    add_account_gauges(values, "quota_units_out", out);
    return values;
}

} // namespace teaselcross
