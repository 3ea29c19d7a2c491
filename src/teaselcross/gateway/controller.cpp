#include "gateway/controller.h"

#include "gateway/leaving_messages.h"
#include "gateway/peer_request.h"
#include "logging/log.h"
#include "platform/messages.h"
#include "platform/store.h"
#include "runtime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using json = nlohmann::json;

namespace {

/// Ticks that are later than this are logged: the process had no processor time, or the machine was
/// suspended.
constexpr auto late_tick = duration{std::chrono::milliseconds{250}};

} // namespace

gateway_controller::gateway_controller(const gateway_settings& settings, cluster_state& cluster,
                                       store_access& store, request_router& router, metrics& measured,
                                       asio::any_io_executor executor, std::uint64_t start_time_ms)
    : m_settings{settings}, m_cluster{cluster}, m_store{store}, m_router{router}, m_measured{measured},
      m_executor{executor}, m_start_time_ms{start_time_ms},
      m_order_pool{executor,
                   {.connect_timeout = std::chrono::milliseconds{250},
                    .idle_limit = std::chrono::seconds{6},
                    .user_timeout = std::chrono::milliseconds{800},
                    .idle_per_peer = 4,
                    .reset_on_close = true}},
      m_peer_pool{executor,
                  {.connect_timeout = peer_timeout,
                   .idle_limit = std::chrono::seconds{20},
                   .user_timeout = std::chrono::milliseconds{800},
                   .idle_per_peer = 2,
                   .reset_on_close = true}},
      m_overdue{max_overdue_connections(settings.file_limit)} {
    m_lease.self = self();
    m_lease.options = m_options.lease;
}

auto gateway_controller::self() const -> instance_id {
    return instance_id{m_settings.instance + "#" + std::to_string(m_start_time_ms)};
}

auto gateway_controller::run() -> asio::awaitable<void> {
    while (!m_stopping) {
        if (m_is_controller) {
            co_await control();
        } else {
            co_await send_report();
            co_await campaign();
            co_await sleep_for(m_is_controller ? m_options.tick_interval : m_options.report_interval);
        }
    }
}

auto gateway_controller::holder() const -> std::optional<instance_record> {
    if (!m_lease.last_known || m_lease.last_known->holder.empty()) {
        return std::nullopt;
    }
    for (const auto& each : m_cluster.instances()) {
        if (each.name == instance_of(m_lease.last_known->holder)) {
            return each;
        }
    }
    return std::nullopt;
}

auto gateway_controller::holder_address() const -> std::optional<endpoint> {
    const auto found = holder();
    return found ? std::optional{found->internal} : std::nullopt;
}

auto gateway_controller::key_map_writer() const -> std::optional<instance_record> {
    const auto found = holder();
    if (found && found->name == m_settings.instance) {
        return m_is_controller && holds_lease(m_lease, monotonic_now()) ? found : std::nullopt;
    }
    const auto answers = monotonic_now() - m_last_holder_answer < m_options.holder_timeout;
    return answers ? found : std::nullopt;
}

auto gateway_controller::send_report() -> asio::awaitable<void> {
    const auto address = holder_address();
    if (!address || m_lease.last_known->holder == m_lease.self) {
        co_return;
    }
    const auto asked_at = monotonic_now();
    const auto asked = m_lease.last_known->holder;
    auto report = make_report();
    report["stamp"] = {{"of", m_stamp.controller.value()}, {"at", m_stamp.at.time_since_epoch().count()}};
    auto request = make_peer_request(controller_paths::report, *address, report.dump());
    auto peer = *address;
    const auto answer = co_await perform_exchange(m_peer_pool, std::move(peer), std::move(request),
                                                  peer_timeout, max_peer_body_bytes);
    const auto has_refused = !answer && answer.error() == exchange_error::refused;
    on_holder_called(m_lease, asked, has_refused);
    if (!answer || answer->body().empty()) {
        co_return;
    }
    const auto now = monotonic_now();
    try {
        const auto answer_fields = json::parse(answer->body());
        m_last_confirmation = {
            .asked_at = asked_at, .received_at = now, .copies = copy_states_from_json(answer_fields)};
        apply_leaving(answer_fields, now);
        m_stamp = {.controller = asked,
                   .at = instant{duration{answer_fields.value("stamp", std::int64_t{0})}}};
        if (answer_fields.at("leads").get<bool>()) {
            // Otherwise the store does not answer the controller, and another instance should take over.
            m_last_holder_answer = now;
        }
    } catch (const json::exception& fault) {
        log::warning("confirmation_unreadable", {{"fault", fault.what()}});
    }
}

auto gateway_controller::control() -> asio::awaitable<void> {
    m_term_start = monotonic_now();
    auto next_sample = m_term_start;
    auto next_tick = m_term_start;
    while (m_is_controller && !m_stopping) {
        const auto now = monotonic_now();
        if (now - next_tick > late_tick) {
            log::warning("controller_late", {{"term", m_term}, {"ms", (now - next_tick).count() / 1000}});
        }
        if (now >= m_next_renewal && !m_renewing) {
            m_next_renewal = now + m_options.lease.renewal_interval;
            asio::co_spawn(m_executor, renew_lease(), asio::detached);
        }
        if (now >= next_sample) {
            next_sample = now + m_options.report_interval;
            apply_report(make_report(), now);
            announce_to_others();
        }
        // The first reports arrive shortly after the start of a term.
        const auto orders_enabled = may_send_orders(now) || now - m_last_renewal <= m_options.lease.term;
        if (orders_enabled != m_orders_enabled) {
            m_orders_enabled = orders_enabled;
            log::info(orders_enabled ? "orders_resumed" : "orders_suspended",
                      {{"term", m_term}, {"last_renewal_ms", (now - m_last_renewal).count() / 1000}});
        }
        // No orders while the store is unavailable and the lease has run out. If the lease can still be
        // renewed afterwards, this process has the latest state of its grants and continues without waiting.
        auto loaded = false;
        if (orders_enabled) {
            loaded = co_await load_key_maps();
        }
        if (loaded) {
            tick(monotonic_now());
            settle_lease(monotonic_now());
        }
        next_tick = monotonic_now() + m_options.tick_interval;
        co_await sleep_for(m_options.tick_interval);
    }
}

auto gateway_controller::on_report(const std::string& body) -> std::string {
    if (!m_is_controller) {
        return {};
    }
    try {
        const auto report = json::parse(body);
        const auto now = monotonic_now();
        if (report.contains("stamp")) { // Earlier builds send none.
            const auto& stamp = report.at("stamp");
            record_report(m_reports, report.at("from").get<std::string>(),
                          {.controller = instance_id{stamp.at("of").get<std::string>()},
                           .at = instant{duration{stamp.at("at").get<std::int64_t>()}}},
                          self(), now);
        }
        apply_report(report, now);
    } catch (const json::exception& fault) {
        log::warning("report_unreadable", {{"fault", fault.what()}});
    }
    auto answer = to_json(m_copy_source ? m_copy_source() : copy_states{});
    answer["stamp"] = monotonic_now().time_since_epoch().count();
    answer["leads"] = holds_lease(m_lease, monotonic_now());
    answer["leaving"] = to_json(m_cluster.leaving_notices());
    return answer.dump();
}

auto gateway_controller::stop() -> asio::awaitable<void> {
    m_stopping = true;
    if (!m_is_controller) {
        co_return;
    }
    const auto until = monotonic_now() + write_timeout / 2;
    end_term("stopping");
    while (m_grants_in_flight > 0 && monotonic_now() < until) {
        co_await sleep_for(m_options.tick_interval);
    }
    const auto is_own = m_lease.last_known && m_lease.last_known->holder == self() && !m_lease.is_lost;
    if (!is_own || !is_grant_state_certain(monotonic_now())) {
        co_return; // The successor will request a resignation and learn that it has to wait.
    }
    auto object = *m_lease.last_known;
    object.holder = {};
    object.is_settled = true;
    ++object.renewals;
    auto write = lease_write{.object = object, .expected_version = m_lease.last_known_version};
    const auto done = co_await write_lease(std::move(write));
    log::info("lease_released", {{"done", done}});
}

} // namespace teaselcross
