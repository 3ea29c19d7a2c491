#include "gateway/controller.h"

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

constexpr auto peer_timeout = duration{std::chrono::milliseconds{400}};
constexpr auto write_patience = duration{std::chrono::seconds{2}};
/// At the very first start the list of targets fills over some heartbeats: keys are given out once it has
/// been quiet for so long,
constexpr auto first_assignment_quiet = duration{std::chrono::milliseconds{1500}};
/// and at the latest then.
constexpr auto first_assignment_latest = duration{std::chrono::milliseconds{5000}};
/// How many instances go for a free lease at once; the others leave it to them for a term.
constexpr auto eager_candidates = std::ptrdiff_t{3};
/// Capacity assumed for a target that nothing is known of, as the time of one request.
constexpr auto usual_service_us = 100'000.0;
constexpr auto largest_peer_body = std::size_t{256} * 1024;

auto name_part(const instance_id& holder) -> std::string {
    return holder.value().substr(0, holder.value().rfind('#'));
}

auto post(const std::string& path, const endpoint& to, std::string body) -> http_request {
    auto request = http_request{http::verb::post, path, 11};
    request.set(http::field::host, to.host);
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

/// How long a grant of an earlier controller may still be in force after it stopped.
auto hold_bound(const grantor_options& options) -> duration {
    const auto stretched = std::chrono::duration_cast<duration>(options.hold * (1.0 + options.clock_error));
    return stretched + options.call_timeout + options.margin;
}

} // namespace

controller::controller(const gateway_settings& options, knowledge& known, store_access& store,
                       request_router& router, metrics& measured, asio::any_io_executor executor,
                       std::uint64_t birth)
    : m_options{options}, m_known{known}, m_store{store}, m_router{router}, m_measured{measured},
      m_executor{executor}, m_birth{birth}, m_order_pool{executor,
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
                   .reset_on_close = true}} {
    m_lease.self = self();
    m_lease.options = m_limits.lease;
}

auto controller::grant_options() const -> grantor_options {
    auto options = grantor_options{};
    options.hold = std::min(options.hold, m_options.longest_hold);
    options.renewal = std::min(options.renewal, options.hold / 4); // So that three renewals may fail.
    return options;
}

auto controller::self() const -> instance_id {
    return instance_id{m_options.instance + "#" + std::to_string(m_birth)};
}

auto controller::run() -> asio::awaitable<void> {
    while (!m_stopping) {
        if (m_controls) {
            co_await control();
        } else {
            co_await report();
            co_await seek();
            co_await pause_for(m_controls ? m_limits.tick : m_limits.report_interval);
        }
    }
}

auto controller::holder_address() const -> std::optional<endpoint> {
    if (!m_lease.seen || m_lease.seen->holder.empty()) {
        return std::nullopt;
    }
    for (const auto& each : m_known.instances()) {
        if (each.name == name_part(m_lease.seen->holder)) {
            return each.internal;
        }
    }
    return std::nullopt;
}

auto controller::report() -> asio::awaitable<void> {
    const auto address = holder_address();
    if (!address || m_lease.seen->holder == m_lease.self) {
        co_return;
    }
    auto request = post(controller_paths::report, *address, own_report().dump());
    auto peer = *address;
    const auto answer = co_await whole_exchange(m_peer_pool, std::move(peer), std::move(request),
                                                peer_timeout, largest_peer_body);
    m_holder_refuses = !answer && answer.error() == exchange_error::refused;
    if (!answer || answer->body().empty()) {
        co_return;
    }
    const auto now = monotonic_now();
    try {
        const auto said = json::parse(answer->body());
        m_confirmed = {.at = now, .digests = said.at("digests").get<std::map<std::string, std::uint64_t>>()};
        if (said.at("leads").get<bool>()) {
            m_last_heard = now; // Otherwise the store does not answer it, and somebody else should lead.
        }
    } catch (const json::exception& fault) {
        log::warning("confirmation_unreadable", {{"fault", fault.what()}});
    }
}

auto controller::read_lease() -> asio::awaitable<bool> {
    auto call = store_call{.kind = store_call_kind::get, .key = platform::kinds::controller_lease};
    const auto reply = co_await m_store.call_directly(std::move(call));
    const auto now = monotonic_now();
    if (reply.status == store_status::missing) {
        on_lease_read(m_lease, std::nullopt, 0, now);
        co_return true;
    }
    if (reply.status != store_status::ok) {
        co_return false;
    }
    try {
        const auto object = lease_object_from_json(json::parse(reply.objects.front().value));
        on_lease_read(m_lease, object, reply.version, now);
    } catch (const json::exception& fault) {
        log::error("lease_unreadable", {{"fault", fault.what()}});
        co_return false;
    }
    co_return true;
}

auto controller::write_lease(lease_write write) -> asio::awaitable<bool> {
    auto call =
        store_call{.kind = write.expected_version == 0 ? store_call_kind::create : store_call_kind::update,
                   .key = platform::kinds::controller_lease,
                   .value = to_json(write.object).dump(),
                   .expected_version = write.expected_version};
    const auto reply = co_await m_store.call_directly(std::move(call));
    const auto now = monotonic_now();
    if (reply.status == store_status::ok) {
        on_lease_written(m_lease, write.object, reply.version, now);
        co_return true;
    }
    on_lease_write_failed(m_lease, now);
    co_return false;
}

auto controller::seek() -> asio::awaitable<void> {
    const auto heard = monotonic_now() - m_last_heard < m_limits.silence;
    const auto known_holder = m_lease.seen && !m_lease.seen->holder.empty() && m_last_heard != instant{};
    if ((heard && known_holder) || m_known.routes()->version == 0) {
        co_return;
    }
    if (!co_await read_lease()) {
        co_return;
    }
    const auto before = m_lease.seen;
    auto ahead = std::ptrdiff_t{0};
    for (const auto& each : m_known.strongest("controller")) {
        if (each.name == m_options.instance) {
            break;
        }
        ++ahead;
    }
    const auto earlier_self = before && name_part(before->holder) == m_options.instance;
    const auto write = next_lease_write(m_lease, ahead < eager_candidates, m_holder_refuses || earlier_self,
                                        monotonic_now());
    if (!write) {
        co_return;
    }
    const auto started = monotonic_now();
    if (co_await write_lease(*write)) {
        m_last_renewal = started;
        co_await begin(before);
    }
}

auto controller::set_moves_from(instant from) -> void {
    m_moves_from = from;
    for (auto& [service, state] : m_services) {
        state.grantor.moves_from = from;
    }
}

auto controller::begin(std::optional<lease_object> before) -> asio::awaitable<void> {
    ++m_term;
    m_services.clear();
    m_next_renewal = monotonic_now() + m_limits.lease.renewal;
    auto resigned = resignation::clean;
    if (before && !before->holder.empty()) {
        const auto earlier_self = name_part(before->holder) == m_options.instance;
        resigned = earlier_self ? resignation::uncertain : co_await ask_to_resign(before->holder);
    }
    const auto now = monotonic_now();
    const auto bound = hold_bound(grant_options());
    if (resigned == resignation::clean) {
        set_moves_from(now);
    } else if (resigned == resignation::uncertain) {
        set_moves_from(now + bound);
    } else {
        set_moves_from(now + m_limits.lease.term + m_limits.afterglow + bound);
        asio::co_spawn(m_executor, settle(before->holder, m_term), asio::detached);
    }
    m_controls = true;
    m_reporters.clear();
    m_won_over.clear();
    for (const auto& each : m_known.instances()) {
        if (each.name != m_options.instance) {
            asio::co_spawn(m_executor, win_over(each, m_term), asio::detached);
        }
    }
    log::info("controller_began", {{"term", m_term},
                                   {"before", before ? before->holder.value() : std::string{"none"}},
                                   {"resigned", name_in(resignation_names, resigned)},
                                   {"moves_in_ms", (m_moves_from - now).count() / 1000}});
}

/// Asks an earlier controller again until it is known to have stopped.
auto controller::settle(instance_id holder, std::uint64_t term) -> asio::awaitable<void> {
    while (m_controls || m_term == term) {
        co_await pause_for(m_limits.report_interval);
        const auto now = monotonic_now();
        if (m_term != term || !m_controls || now + hold_bound(grant_options()) >= m_moves_from) {
            co_return;
        }
        const auto resigned = co_await ask_to_resign(holder);
        if (m_term == term && resigned != resignation::unknown) {
            set_moves_from(std::min(m_moves_from, monotonic_now() + hold_bound(grant_options())));
            co_return;
        }
    }
}

auto controller::is_majority(std::size_t count) const -> bool {
    // One more than half: two instances may know of slightly different fleets.
    return 2 * count > m_known.fleet_size() + 1;
}

auto controller::is_recognised(instant now) const -> bool {
    const auto fresh = std::count_if(m_reporters.begin(), m_reporters.end(), [this, now](const auto& entry) {
        return now - entry.second < m_limits.recognition;
    });
    return is_majority(static_cast<std::size_t>(fresh) + 1);
}

/// Tells @a peer of the new term until it answers. Once most have, no earlier controller is recognised for
/// long.
auto controller::win_over(instance_record peer, std::uint64_t term) -> asio::awaitable<void> {
    while (m_controls && m_term == term && m_lease.seen) {
        auto request = post(controller_paths::recognise, peer.internal, to_json(*m_lease.seen).dump());
        auto address = peer.internal;
        const auto answer = co_await whole_exchange(m_peer_pool, std::move(address), std::move(request),
                                                    peer_timeout, largest_peer_body);
        if (!m_controls || m_term != term) {
            co_return;
        }
        if (answer && answer->result() == http::status::ok) {
            m_won_over.insert(peer.name);
            if (is_majority(m_won_over.size() + 1)) {
                const auto last_report = monotonic_now() + peer_timeout + m_limits.recognition;
                set_moves_from(std::min(m_moves_from, last_report + hold_bound(grant_options())));
            }
            co_return;
        }
        co_await pause_for(m_limits.report_interval);
    }
}

auto controller::on_recognise(const std::string& body) -> std::string {
    try {
        const auto object = lease_object_from_json(json::parse(body));
        if (!m_lease.seen || object.epoch > m_lease.seen->epoch) {
            if (m_controls) {
                end("another instance has the lease");
            }
            on_lease_read(m_lease, object, 0, monotonic_now());
            m_lease.read = false; // Its version in the store is not known.
            m_last_heard = monotonic_now();
        }
    } catch (const json::exception& fault) {
        log::warning("lease_unreadable", {{"fault", fault.what()}});
    }
    return {};
}

auto controller::ask_to_resign(instance_id holder) -> asio::awaitable<resignation> {
    auto address = std::optional<endpoint>{};
    for (const auto& each : m_known.instances()) {
        if (each.name == name_part(holder)) {
            address = each.internal;
        }
    }
    if (!address) {
        co_return resignation::unknown;
    }
    auto request = post(controller_paths::resign, *address, holder.value());
    const auto answer = co_await whole_exchange(m_peer_pool, std::move(*address), std::move(request),
                                                peer_timeout, largest_peer_body);
    if (!answer) {
        co_return resignation::unknown;
    }
    co_return value_in<resignation>(resignation_names, answer->body()).value_or(resignation::unknown);
}

auto controller::certain(instant now) const -> bool {
    if (m_orders_in_flight > 0) {
        return false;
    }
    for (const auto& [service, state] : m_services) {
        if (state.grantor.changed || state.grantor.writing) {
            return false; // The record names holders that have changed since.
        }
        for (const auto& [id, answers] : state.grantor.answers) {
            if (answers.uncertain_until > now) {
                return false;
            }
        }
    }
    return now >= m_moves_from;
}

auto controller::on_resign_request(const std::string& body) -> std::string {
    if (instance_id{body} != m_lease.self) {
        // That process has ended: this one has its place.
        return std::string{name_in(resignation_names, resignation::uncertain)};
    }
    const auto clean = certain(monotonic_now());
    if (m_controls) {
        end("another instance has the lease");
    }
    return std::string{name_in(resignation_names, clean ? resignation::clean : resignation::uncertain)};
}

auto controller::end(const char* reason) -> void {
    if (!m_controls) {
        return;
    }
    log::info("controller_ended", {{"term", m_term}, {"reason", reason}});
    m_controls = false;
    m_last_heard = {};
    m_lease.held_until.reset();
}

auto controller::may_order(instant now) const -> bool {
    return m_controls &&
           (holds_lease(m_lease, now) ||
            (now < m_last_renewal + m_limits.lease.term + m_limits.afterglow && is_recognised(now)));
}

auto controller::renew() -> asio::awaitable<void> {
    m_renewing = true;
    const auto term = m_term;
    auto readable = m_lease.read;
    if (!readable) {
        readable = co_await read_lease();
    }
    const auto lost = m_lease.read && m_lease.seen && m_lease.seen->holder != m_lease.self;
    if (lost && m_term == term) {
        end("another instance has the lease");
    }
    if (readable && m_controls && m_term == term && m_lease.seen) {
        // The lease may have run out while the store was away; it is still ours when nobody has taken it.
        auto object = *m_lease.seen;
        ++object.renewals;
        m_lease.write_pending = true;
        const auto started = monotonic_now();
        m_lease.write_started = started;
        auto write = lease_write{.object = object, .expected_version = m_lease.seen_version};
        if (co_await write_lease(std::move(write)) && m_term == term) {
            m_last_renewal = started;
        }
    }
    m_renewing = false;
}

auto controller::load_maps() -> asio::awaitable<bool> {
    const auto routes = m_known.routes();
    const auto term = m_term;
    for (const auto& [service, policy] : routes->services) {
        if (!policy.keyed || m_services[service].loaded) {
            continue;
        }
        auto call = store_call{.kind = store_call_kind::get,
                               .key = std::string{platform::kinds::key_maps} + "/" + service.value()};
        const auto reply = co_await m_store.call_directly(std::move(call));
        if (m_term != term || (reply.status != store_status::ok && reply.status != store_status::missing)) {
            co_return false;
        }
        auto map = key_map{};
        if (reply.status == store_status::ok) {
            auto parsed =
                key_map_from_json(json::parse(reply.objects.front().value, nullptr, false), reply.version);
            if (!parsed) {
                log::error("key_map_unreadable", {{"service", service}, {"fault", parsed.error()}});
                co_return false;
            }
            map = std::move(*parsed);
        }
        auto& state = m_services[service];
        state.grantor.options = grant_options();
        take_over(state.grantor, std::move(map), m_moves_from, monotonic_now());
        state.loaded = true;
    }
    co_return true;
}

auto controller::control() -> asio::awaitable<void> {
    m_began = monotonic_now();
    auto next_sample = m_began;
    while (m_controls && !m_stopping) {
        const auto now = monotonic_now();
        if (now >= m_next_renewal && !m_renewing) {
            m_next_renewal = now + m_limits.lease.renewal;
            asio::co_spawn(m_executor, renew(), asio::detached);
        }
        if (now >= next_sample) {
            next_sample = now + m_limits.report_interval;
            take_report(own_report(), now);
        }
        // Reports come a moment after a term has begun.
        const auto ordering = may_order(now) || now - m_last_renewal <= m_limits.lease.term;
        if (ordering != m_ordering) {
            m_ordering = ordering;
            log::info(ordering ? "orders_resumed" : "orders_suspended",
                      {{"term", m_term}, {"last_renewal_ms", (now - m_last_renewal).count() / 1000}});
        }
        // While the store is away the lease may still be free to renew afterwards: then this process knows
        // best what it has granted, and goes on without waiting for anything.
        auto loaded = false;
        if (ordering) {
            loaded = co_await load_maps();
        }
        if (loaded) {
            tick(monotonic_now());
        }
        co_await pause_for(m_limits.tick);
    }
}

auto controller::tick(instant now) -> void {
    for (auto& [service, state] : m_services) {
        if (state.loaded && m_known.policy(service).keyed) {
            tick_service(service, state, now);
        }
    }
}

auto controller::tick_service(const service_id& service, service_control& state, instant now) -> void {
    auto& grantor = state.grantor;
    refresh_holders(service, state, now);
    const auto leads = holds_lease(m_lease, now);
    if (grantor.map.ranges.empty()) {
        if (state.holders_seen != grantor.holders.size()) {
            state.holders_seen = grantor.holders.size();
            state.holders_since = now;
        }
        const auto settled =
            now - state.holders_since >= first_assignment_quiet || now - m_began >= first_assignment_latest;
        if (leads && settled && assign_first(grantor)) {
            log::info("keys_assigned", {{"service", service}, {"ranges", grantor.map.ranges.size()}});
        }
    } else if (leads && now >= state.next_balance) {
        state.next_balance = now + m_limits.balance_interval;
        balance(service, state, now);
    }
    if (leads && now >= state.next_write) {
        if (auto map = next_write(grantor)) {
            state.next_write = now + m_limits.write_interval;
            map->writer = self().value() + "#" + std::to_string(++m_writes);
            asio::co_spawn(m_executor, record(service, std::move(*map), m_term), asio::detached);
        }
    }
    for (auto& order : due_orders(grantor, now)) {
        asio::co_spawn(m_executor, carry_out(service, std::move(order), m_term), asio::detached);
    }
}

auto controller::refresh_holders(const service_id& service, service_control& state, instant now) -> void {
    auto holders = std::map<target_id, key_holder>{};
    for (const auto& [id, known] : m_known.targets()) {
        const auto& listed = known->view.listed;
        if (listed.service != service) {
            continue;
        }
        const auto out = m_known.taken_out_since(listed.data_centre).has_value();
        const auto leaving = listed.leaving || !known->listed || out;
        const auto speed = m_speeds.find(id);
        const auto service_us = speed != m_speeds.end() && speed->second.service_us > 0
                                    ? speed->second.service_us
                                    : usual_service_us;
        constexpr auto microseconds = 1e6;
        holders[id] = {.life = {.id = id, .birth = listed.birth},
                       .eligible = !leaving && !is_cold(known->view, now),
                       .leaving = leaving,
                       .weight = listed.slots * microseconds / service_us};
    }
    set_holders(state.grantor, std::move(holders));
}

auto controller::balance(const service_id& service, service_control& state, instant now) -> void {
    auto& grantor = state.grantor;
    for (auto& rates : state.rates) {
        fade(rates, now);
    }
    evict_holders(grantor, range_loads(grantor.map, state.rates.front()), now);
    if (now < m_moves_from) {
        return;
    }
    for (const auto& rates : state.rates) {
        for (const auto& move : plan_moves(grantor, rates)) {
            log::info("range_moves", {{"service", service},
                                      {"first", move.first},
                                      {"last", move.last},
                                      {"to", move.to.id},
                                      {"rates_over_ms", rates.options.memory.count() / 1000}});
            m_measured.count(counter::ranges_moved);
            start_move(grantor, move.first, move.last, move.to);
        }
    }
}

auto controller::carry_out(service_id service, key_order order, std::uint64_t term) -> asio::awaitable<void> {
    ++m_orders_in_flight;
    const auto target = m_known.target(order.to.id);
    auto result = order_result::not_sent;
    auto handover = std::string{};
    auto sent = monotonic_now();
    const auto limits = grant_options();
    const auto timeout = order.kind == order_kind::grant ? limits.call_timeout : limits.release_timeout;
    if (target != nullptr) {
        auto peer = endpoint{.host = target->view.listed.host, .port = target->view.listed.port};
        const auto request = platform::make_order(order, peer.host);
        auto opened = co_await open_exchange(m_order_pool, std::move(peer), duration::max());
        // Opening may have taken long, and the right to give orders may have ended meanwhile.
        sent = monotonic_now();
        if (opened && m_term == term && may_order(sent)) {
            result = order_result::unanswered;
            const auto read_limits = exchange_limits{.answer_timeout = timeout, .stall_timeout = timeout};
            if (co_await send_request(*opened, request, timeout) &&
                co_await receive_answer(*opened, false, read_limits)) {
                auto response = http_response{opened->header()};
                result = platform::read_order_answer(order, response, handover);
                end_exchange(m_order_pool, std::move(*opened));
            } else {
                abort_exchange(*opened);
            }
        }
    }
    --m_orders_in_flight;
    const auto now = monotonic_now();
    m_measured.count(result == order_result::done ? counter::grants_made : counter::grants_unanswered);
    if (result != order_result::done || order.kind == order_kind::release) {
        log::info("key_order", {{"kind", name_in(order_kind_names, order.kind)},
                                {"service", service},
                                {"target", order.to.id},
                                {"first", order.first},
                                {"last", order.last},
                                {"fence", order.fence},
                                {"result", name_in(order_result_names, result)},
                                {"ms", (now - sent).count() / 1000}});
    }
    const auto found = m_services.find(service);
    if (m_term == term && found != m_services.end()) {
        on_order_ended(found->second.grantor, order, result, handover, sent, now);
    }
}

auto controller::record(service_id service, key_map map, std::uint64_t term) -> asio::awaitable<void> {
    const auto call =
        store_call{.kind = map.revision == 0 ? store_call_kind::create : store_call_kind::update,
                   .key = std::string{platform::kinds::key_maps} + "/" + service.value(),
                   .value = to_json(map).dump(),
                   .expected_version = map.revision};
    const auto same = [&map](const std::string& value) {
        const auto found = json::parse(value, nullptr, false);
        return found.is_object() && found.value("writer", std::string{}) == map.writer;
    };
    while (m_controls && m_term == term) {
        const auto reply = co_await m_store.write(call, same, write_patience);
        const auto state = m_services.find(service);
        if (m_term != term || state == m_services.end()) {
            co_return;
        }
        if (reply.status == store_status::ok) {
            on_written(state->second.grantor, map, reply.version);
            map.revision = reply.version;
            m_known.set_keys(service, map);
            tick_service(service, state->second, monotonic_now());
            co_return;
        }
        if (reply.status == store_status::conflict || reply.status == store_status::missing) {
            end("another instance has written the record");
            co_return;
        }
    }
}

auto controller::own_report() -> json {
    auto keys = json::object();
    for (const auto& [service, counts] : m_router.take_sample().key_requests) {
        auto list = json::array();
        for (const auto& [key, count] : counts) {
            list.push_back({key, count});
        }
        keys[service.value()] = std::move(list);
    }
    auto speeds = json::object();
    for (const auto& [id, known] : m_known.targets()) {
        if (known->view.service_us > 0 && m_known.policy(known->view.listed.service).keyed) {
            speeds[id.value()] = static_cast<std::int64_t>(known->view.service_us);
        }
    }
    return {{"from", m_options.instance}, {"keys", std::move(keys)}, {"speeds", std::move(speeds)}};
}

auto controller::take_report(const json& report, instant now) -> void {
    constexpr auto smoothing = 0.1; // Weight of one instance's word on a target's speed.
    for (const auto& [service, counts] : report.at("keys").items()) {
        for (auto& rates : m_services[service_id{service}].rates) {
            fade(rates, now);
            for (const auto& entry : counts) {
                add_requests(rates, entry.at(0).get<shard_key>(), entry.at(1).get<std::uint32_t>());
            }
        }
    }
    for (const auto& [target, service_us] : report.at("speeds").items()) {
        auto& speed = m_speeds[target_id{target}].service_us;
        const auto sample = service_us.get<double>();
        speed = speed > 0 ? speed + (sample - speed) * smoothing : sample;
    }
}

auto controller::on_report(const std::string& body) -> std::string {
    if (!m_controls) {
        return {};
    }
    try {
        const auto report = json::parse(body);
        m_reporters[report.at("from").get<std::string>()] = monotonic_now();
        take_report(report, monotonic_now());
    } catch (const json::exception& fault) {
        log::warning("report_unreadable", {{"fault", fault.what()}});
    }
    const auto digests = m_digests ? m_digests() : std::map<std::string, std::uint64_t>{};
    return json{{"leads", holds_lease(m_lease, monotonic_now())}, {"digests", digests}}.dump();
}

auto controller::stop() -> asio::awaitable<void> {
    m_stopping = true;
    if (!m_controls) {
        co_return;
    }
    const auto until = monotonic_now() + write_patience / 2;
    const auto held = m_lease;
    end("stopping");
    while (m_orders_in_flight > 0 && monotonic_now() < until) {
        co_await pause_for(m_limits.tick);
    }
    if (!certain(monotonic_now()) || !held.seen) {
        co_return; // The successor asks, and learns that it has to wait.
    }
    auto object = *held.seen;
    object.holder = {};
    ++object.renewals;
    auto write = lease_write{.object = object, .expected_version = m_lease.seen_version};
    const auto done = co_await write_lease(std::move(write));
    log::info("lease_released", {{"done", done}});
}

} // namespace teaselcross
