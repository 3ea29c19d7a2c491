// Key assignment by the controller: sends orders to targets, writes key maps to the store and collects load
// reports.

#include "gateway/controller.h"
#include "gateway/holder_calls.h"
#include "gateway/leaving_messages.h"
#include "gateway/order_log.h"
#include "logging/log.h"
#include "ownership/holder_probe.h"
#include "platform/store.h"
#include "runtime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace teaselcross {

namespace asio = boost::asio;
using json = nlohmann::json;

namespace {

/// At the very first start, targets register over several heartbeats. Keys are assigned once the number of
/// targets has not changed for this long.
constexpr auto first_assignment_quiet_time = duration{std::chrono::milliseconds{1500}};
/// The first assignment is made at the latest this long after the start of the term.
constexpr auto first_assignment_time_limit = duration{std::chrono::milliseconds{5000}};
/// Service time assumed for a target without measurements, to estimate its capacity.
constexpr auto default_service_us = 100'000.0;
/// With so many grants that it may still read after their time limit, a target gets no further one.
constexpr auto max_overdue_grants = std::size_t{32};

} // namespace

/// Applies what another instance was told by targets that are leaving.
auto gateway_controller::apply_leaving(const json& document, instant now) -> void {
    const auto notices = document.value("leaving", json::array()); // Earlier builds send none.
    for (const auto& notice : leaving_notices_from_json(notices)) {
        m_cluster.set_leaving(notice, "instance", now);
    }
}

auto gateway_controller::make_grant_options() const -> range_grantor_options {
    auto options = range_grantor_options{};
    options.grant_term = std::min(options.grant_term, m_settings.max_grant_hold);
    options.renewal_interval =
        std::min(options.renewal_interval, options.grant_term / 4); // So that three renewals may fail.
    return options;
}

auto gateway_controller::load_key_maps() -> asio::awaitable<bool> {
    const auto routes = m_cluster.routes();
    const auto term = m_term;
    for (const auto& [service, policy] : routes->services) {
        if (!policy.keyed) {
            continue;
        }
        const auto& known = m_services[service];
        if (known.loaded && (m_era != m_store.era() || known.grantor.map.revision.era == m_era)) {
            continue; // After a restore, the lease comes before the record.
        }
        auto map = co_await read_key_map(service);
        const auto was_loaded = m_services[service].loaded;
        if (m_term != term || !map || map->revision.era != m_era) {
            if (m_term == term && was_loaded) {
                continue; // Its grants are known, and go on.
            }
            co_return false;
        }
        take_over_keys(service, m_services[service], std::move(*map));
    }
    co_return true;
}

/// Reads the recorded key map of @a service, which is empty if there is none. Returns nothing when the store
/// does not answer or the record cannot be parsed.
auto gateway_controller::read_key_map(const service_id& service) -> asio::awaitable<std::optional<key_map>> {
    auto call = store_call{.kind = store_call_kind::get,
                           .key = std::string{platform::kinds::key_maps} + "/" + service.value()};
    const auto reply = co_await m_store.call_directly(std::move(call));
    if (reply.status == store_status::missing) {
        co_return key_map{.revision = reply.version, .era = reply.era};
    }
    if (reply.status != store_status::ok) {
        co_return std::nullopt;
    }
    auto parsed = key_map_from_json(json::parse(reply.objects.front().value, nullptr, false), reply.version);
    if (!parsed) {
        log::error("key_map_unreadable", {{"service", service}, {"fault", parsed.error()}});
        co_return std::nullopt;
    }
    co_return std::move(*parsed);
}

/// Takes over the record of an earlier controller, or after a restore of the store writes this controller's
/// own record anew.
auto gateway_controller::take_over_keys(const service_id& service, service_control& state, key_map recorded)
    -> void {
    const auto now = monotonic_now();
    const auto version = recorded.revision;
    if (state.loaded && state.grantor.owns_record) {
        rewrite_record(state.grantor, version);
        log::info("key_map_rewritten", {{"service", service}, {"revision", to_string(version)}});
        return;
    }
    state.grantor.options = make_grant_options();
    state.loaded = true;
    const auto copy = m_cluster.keys(service);
    auto inherited = inherit_keys(std::move(recorded), copy.get(), m_era, m_predecessor_unknown);
    if (!inherited.is_lost) {
        take_over(state.grantor, std::move(inherited.map), m_earliest_move, now);
        return;
    }
    if (!m_predecessor_unknown) {
        await_unknown_controllers(now);
    }
    log::warning("key_map_lost", {{"service", service},
                                  {"era", m_era},
                                  {"last_known", to_string(inherited.recorded_at)},
                                  {"ranges", inherited.map.ranges.size()}});
    take_over_lost_record(state.grantor, std::move(inherited.map), m_earliest_move,
                          now + max_remaining_hold(state.grantor.options), now);
}

auto gateway_controller::tick(instant now) -> void {
    for (auto& [service, state] : m_services) {
        if (state.loaded && m_cluster.policy(service).keyed) {
            tick_service(service, state, now);
        }
    }
}

auto gateway_controller::tick_service(const service_id& service, service_control& state, instant now)
    -> void {
    auto& grantor = state.grantor;
    state.last_tick = now;
    refresh_holders(service, state, now);
    const auto leads = holds_lease(m_lease, now);
    if (grantor.map.ranges.empty()) {
        if (state.last_holder_count != grantor.holders.size()) {
            state.last_holder_count = grantor.holders.size();
            state.holder_count_since = now;
        }
        const auto holders_stable = now - state.holder_count_since >= first_assignment_quiet_time ||
                                    now - m_term_start >= first_assignment_time_limit;
        if (leads && holders_stable && assign_initial_ranges(grantor)) {
            const auto copy = m_cluster.keys(service);
            log::info("keys_assigned",
                      {{"service", service},
                       {"era", m_era},
                       {"ranges", grantor.map.ranges.size()},
                       {"record_lost", grantor.record_lost},
                       {"copy", copy == nullptr ? std::string{"none"} : to_string(recorded_at(*copy))}});
        }
    } else if (leads && now >= state.next_balance) {
        state.next_balance = now + m_options.balance_interval;
        balance(service, state, now);
    }
    const auto may_write = leads && grantor.map.revision.era == m_era && m_store.era() == m_era;
    if (may_write && now >= state.next_write) {
        if (auto map = next_write(grantor)) {
            state.next_write = now + m_options.write_interval;
            map->writer = self().value() + "#" + std::to_string(++m_write_count);
            asio::co_spawn(m_executor, write_key_map(service, std::move(*map), m_term), asio::detached);
        }
    }
    for (auto& order : due_commands(grantor, now)) {
        asio::co_spawn(m_executor, execute_order(service, std::move(order), m_term), asio::detached);
    }
}

auto gateway_controller::note_loop_delay(duration delay) -> void {
    for (auto& [service, state] : m_services) {
        on_loop_delay(state.grantor.window, delay);
    }
}

auto gateway_controller::schedule_tick(const service_id& service) -> void {
    auto& state = m_services[service];
    if (!std::exchange(state.is_tick_scheduled, true)) {
        const auto delay = state.last_tick + m_options.min_tick_interval - monotonic_now();
        asio::co_spawn(m_executor, run_scheduled_tick(service, m_term, std::max(delay, duration::zero())),
                       asio::detached);
    }
}

auto gateway_controller::run_scheduled_tick(service_id service, std::uint64_t term, duration delay)
    -> asio::awaitable<void> {
    co_await sleep_for(delay);
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        co_return;
    }
    found->second.is_tick_scheduled = false;
    const auto now = monotonic_now();
    if (m_term == term && m_is_controller && may_send_orders(now)) {
        tick_service(service, found->second, now);
    }
}

auto gateway_controller::refresh_holders(const service_id& service, service_control& state, instant now)
    -> void {
    auto holders = std::map<target_id, key_holder>{};
    for (const auto& [id, known] : m_cluster.targets()) {
        const auto& listed = known->view.listed;
        if (listed.service != service) {
            continue;
        }
        const auto out_of_service = m_cluster.out_of_service_since(listed.data_centre).has_value();
        const auto leaving = listed.leaving || !known->listed || out_of_service;
        const auto speed = m_target_speeds.find(id);
        const auto service_us = speed != m_target_speeds.end() && speed->second.service_us > 0
                                    ? speed->second.service_us
                                    : default_service_us;
        constexpr auto microseconds = 1e6;
        holders[id] = {.incarnation = {.id = id, .start_time_ms = listed.start_time_ms},
                       .eligible = !leaving && !is_cold(known->view, now),
                       .leaving = leaving,
                       .capacity = listed.slots * microseconds / service_us};
    }
    set_holders(state.grantor, std::move(holders));
}

auto gateway_controller::balance(const service_id& service, service_control& state, instant now) -> void {
    auto& grantor = state.grantor;
    for (auto& rates : state.rates) {
        decay(rates, now);
    }
    start_evictions(grantor, range_loads(grantor.map, state.rates.front()), now);
    if (now < m_earliest_move) {
        return;
    }
    for (const auto& rates : state.rates) {
        for (const auto& move : plan_moves(grantor, rates)) {
            log::info("range_moves", {{"service", service},
                                      {"first", move.first},
                                      {"last", move.last},
                                      {"to", move.to.id},
                                      {"rates_over_ms", rates.options.time_constant.count() / 1000}});
            m_measured.count(counter::ranges_moved);
            start_move(grantor, move.first, move.last, move.to);
        }
    }
}

auto gateway_controller::execute_order(service_id service, holder_command order, std::uint64_t term)
    -> asio::awaitable<void> {
    if (order.behind != 0) {
        co_await send_behind_grant(std::move(order));
        co_return;
    }
    order.call = ++m_calls;
    const auto is_grant = order.kind == command_kind::grant; // A late release makes nobody a holder.
    const auto limits = make_grant_options();
    const auto known = m_services.find(service);
    auto address = m_cluster.last_address(order.to);
    const auto decided = monotonic_now();
    auto answer = holder_answer{.sent = decided};
    auto is_begun = false;
    const auto has_room =
        known != m_services.end() &&
        (!is_grant || count_overdue(known->second.grantor.overdue, order.to.id) < max_overdue_grants);
    answer.not_sent = address ? not_sent_reason::too_many_overdue : not_sent_reason::no_address;
    if (address && has_room) {
        auto call = holder_call{.address = std::move(*address),
                                .order = order,
                                .timeout = is_grant ? limits.call_timeout : limits.release_timeout};
        if (is_grant) {
            call.probe = make_probe(known->second.grantor.map, order);
        }
        call.may_begin = [this, term] { return m_term == term && may_send_orders(monotonic_now()); };
        call.on_begin = [this, is_grant, &is_begun] {
            is_begun = true;
            m_grants_in_flight += is_grant ? 1U : 0U;
        };
        call.reading_limit = is_grant ? m_options.overdue_limit : duration{};
        try {
            answer = co_await call_holder(m_order_pool, std::move(call));
        } catch (const std::exception& error) {
            // The range would wait for the outcome of this call for ever.
            answer.result = is_begun ? command_result::unanswered : command_result::not_sent;
            answer.not_sent = is_begun ? not_sent_reason::none : not_sent_reason::unreachable;
            log::error("order_failed",
                       {{"service", service}, {"target", order.to.id}, {"error", error.what()}});
        }
    }
    m_grants_in_flight -= is_grant && is_begun ? 1U : 0U;
    const auto now = monotonic_now();
    m_measured.count(answer.result == command_result::done ? counter::grants_made
                                                           : counter::grants_unanswered);
    if (answer.result == command_result::not_sent) {
        m_measured.count(counter::orders_not_sent);
    }
    log_order(service, order, answer, decided, now);
    const auto found = m_services.find(service);
    if (m_term == term && found != m_services.end()) {
        on_command_finished(found->second.grantor, order, answer.result, answer.handover, answer.sent, now);
        if (answer.overdue && m_is_controller) {
            keep_overdue_connection(
                {.call = order.call, .service = service, .target = order.to.id, .exchange = answer.overdue});
            asio::co_spawn(m_executor,
                           await_overdue_grant(std::move(service), std::move(order), std::move(answer)),
                           asio::detached);
            co_return;
        }
    } else if (m_is_controller && is_grant && answer.result != command_result::not_sent) {
        // An order of an earlier term of this process has ended only now.
        set_earliest_move(std::max(m_earliest_move, now + max_remaining_hold(limits)));
    }
    if (answer.overdue) {
        answer.overdue->abort(); // The term in which it was sent has ended.
    }
}

auto gateway_controller::write_key_map(service_id service, key_map map, std::uint64_t term)
    -> asio::awaitable<void> {
    const auto call =
        store_call{.kind = map.revision.number == 0 ? store_call_kind::create : store_call_kind::update,
                   .key = std::string{platform::kinds::key_maps} + "/" + service.value(),
                   .value = to_json(map).dump(),
                   .expected_version = map.revision};
    const auto is_own_value = [&map](const std::string& value) {
        const auto found = json::parse(value, nullptr, false);
        return found.is_object() && found.value("writer", std::string{}) == map.writer;
    };
    while (m_is_controller && m_term == term) {
        const auto started = monotonic_now();
        const auto reply = co_await m_store.write(call, is_own_value, write_timeout);
        const auto state = m_services.find(service);
        if (m_term != term || state == m_services.end()) {
            co_return;
        }
        if (reply.status == store_status::ok) {
            on_written(state->second.grantor, map, reply.version);
            map.revision = reply.version;
            m_cluster.set_keys(service, map);
            if (m_on_written) {
                m_on_written({.key = call.key, .version = reply.version, .value = call.value}, started);
            }
            tick_service(service, state->second, monotonic_now());
            co_return;
        }
        if (reply.status == store_status::restored) {
            on_write_failed(state->second.grantor);
            co_return;
        }
        if (reply.status == store_status::conflict) {
            // A write of an earlier era may have been carried out late; it says nothing about this era.
            const auto found = co_await read_key_map(service);
            const auto written = m_services.find(service);
            if (m_term != term || written == m_services.end()) {
                co_return;
            }
            if (found && found->era < m_era && found->revision.era == m_era) {
                on_write_failed(written->second.grantor);
                rewrite_record(written->second.grantor, found->revision);
                co_return;
            }
        }
        if (reply.status == store_status::conflict || reply.status == store_status::missing) {
            end_term("another instance has written the key map");
            co_return;
        }
    }
}

auto gateway_controller::make_report() -> json {
    auto keys = json::object();
    for (const auto& [service, counts] : m_router.take_sample().key_requests) {
        auto list = json::array();
        for (const auto& [key, count] : counts) {
            list.push_back({key, count});
        }
        keys[service.value()] = std::move(list);
    }
    auto speeds = json::object();
    for (const auto& [id, known] : m_cluster.targets()) {
        if (known->view.service_us > 0 && m_cluster.policy(known->view.listed.service).keyed) {
            speeds[id.value()] = static_cast<std::int64_t>(known->view.service_us);
        }
    }
    return {{"from", m_settings.instance},
            {"keys", std::move(keys)},
            {"speeds", std::move(speeds)},
            {"leaving", to_json(m_cluster.leaving_notices())}};
}

auto gateway_controller::apply_report(const json& report, instant now) -> void {
    constexpr auto smoothing = 0.1; // Weight of one instance's report on a target's service time.
    for (const auto& [service, counts] : report.at("keys").items()) {
        for (auto& rates : m_services[service_id{service}].rates) {
            decay(rates, now);
            for (const auto& entry : counts) {
                add_requests(rates, entry.at(0).get<shard_key>(), entry.at(1).get<std::uint32_t>());
            }
        }
    }
    apply_leaving(report, now);
    for (const auto& [target, service_us] : report.at("speeds").items()) {
        auto& speed = m_target_speeds[target_id{target}].service_us;
        const auto sample = service_us.get<double>();
        speed = speed > 0 ? speed + (sample - speed) * smoothing : sample;
    }
}

} // namespace teaselcross
