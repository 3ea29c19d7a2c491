#include "gateway/quota_client.h"

#include "logging/log.h"
#include "runtime/clock.h"

#include <algorithm>

namespace teaselcross {

namespace asio = boost::asio;

namespace {

constexpr auto check_interval = duration{std::chrono::milliseconds{100}};
/// The same while a request waits for units.
constexpr auto waiting_check_interval = duration{std::chrono::milliseconds{5}};

} // namespace

quota_hold::~quota_hold() {
    if (m_client != nullptr) {
        return_unit(m_client->m_share, m_unit);
    }
}

auto quota_hold::use(instant now) -> bool {
    auto* client = std::exchange(m_client, nullptr);
    return client != nullptr && use_unit(client->m_share, m_unit, now);
}

quota_client::quota_client(const gateway_settings& settings, const cluster_state& cluster,
                           quota_controller controller, std::uint64_t start_time_ms,
                           asio::any_io_executor executor)
    : m_bounds{quota_bounds_of(settings)}, m_cluster{cluster},
      m_controller{std::move(controller)}, m_needed{executor}, m_answered{executor} {
    m_share.timing.window = m_bounds.window;
    m_share.instance = settings.instance;
    m_share.start_time_ms = start_time_ms;
    m_share.started = monotonic_now();
}

auto quota_client::apply_configuration() -> void {
    const auto routes = m_cluster.routes();
    if (routes == m_applied) {
        return;
    }
    m_applied = routes;
    set_totals(m_share, routes->accounts ? quota_totals_of(*routes->accounts, m_bounds) : quota_totals{});
}

auto quota_client::run() -> asio::awaitable<void> {
    while (true) {
        apply_configuration();
        const auto epoch = m_controller.epoch();
        const auto is_new = epoch && *epoch != m_share.epoch;
        if (is_query_due(m_share, is_new, monotonic_now())) {
            co_await query_controller();
            continue;
        }
        const auto pause = m_share.accounts.empty() ? m_share.timing.interval
                           : m_waiting > 0          ? waiting_check_interval
                                                    : check_interval;
        co_await m_needed.wait(pause);
        m_needed.notify(); // Ends the wait that remains registered after a time limit.
    }
}

auto quota_client::query_controller() -> asio::awaitable<void> {
    auto query = make_query(m_share, monotonic_now());
    const auto reply = co_await m_controller.ask(std::move(query));
    const auto was_unanswered = m_share.is_unanswered;
    const auto was_valid = m_share.valid_from.has_value();
    if (!reply || !on_reply(m_share, *reply, monotonic_now())) {
        on_unanswered(m_share);
    }
    if (m_share.is_unanswered != was_unanswered) {
        log::info(was_unanswered ? "quota_controller_answers" : "quota_controller_silent",
                  {{"epoch", m_share.epoch.number}, {"valid", was_valid}});
    }
    m_answered.notify();
}

auto quota_client::take(std::string account, duration limit) -> asio::awaitable<result> {
    apply_configuration();
    auto now = monotonic_now();
    const auto until = now + limit;
    if (!has_limit(m_share, account)) {
        co_return result{.hold = {},
                         .reason = unit_result::taken}; // A later configuration has no limit any more.
    }
    auto got = take_unit(m_share, account, now);
    while (got == unit_result::ask && now < until) {
        ++m_share.accounts[account].waiting;
        ++m_waiting;
        m_needed.notify();
        co_await m_answered.wait(until - now);
        --m_waiting;
        --m_share.accounts[account].waiting;
        now = monotonic_now();
        got = take_unit(m_share, account, now);
    }
    auto taken = result{.hold = {}, .reason = got == unit_result::ask ? refusal_of(m_share, account) : got};
    if (got == unit_result::taken) {
        taken.hold.emplace(*this, quota_unit{.account = account, .generation = m_share.generation});
    }
    co_return taken;
}

auto quota_client::gauges() -> std::vector<gauge> {
    auto values = std::vector<gauge>{};
    auto totals = std::map<std::string, double>{};
    auto used = std::map<std::string, double>{};
    const auto now = monotonic_now();
    for (const auto& [name, account] : m_share.accounts) {
        if (account.total > 0) {
            totals[name] = static_cast<double>(account.total);
            used[name] = static_cast<double>(units_used(m_share, name, now));
        }
    }
    add_account_gauges(values, "quota_units", totals);
    add_account_gauges(values, "quota_units_used", used);
    return values;
}

} // namespace teaselcross
