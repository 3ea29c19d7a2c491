#include "gateway/controller.h"

#include "gateway/leaving_messages.h"
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
/// Number of instances that campaign for a free lease at once; the others defer to them for one lease term.
constexpr auto max_active_candidates = std::size_t{3};
/// The other instances read the lease in this many groups, one after the other.
constexpr auto deferral_steps = std::size_t{8};
constexpr auto max_peer_body_bytes = std::size_t{256} * 1024;

auto instance_name(const instance_id& holder) -> std::string {
    return holder.value().substr(0, holder.value().rfind('#'));
}

auto post(const std::string& path, const endpoint& to, std::string body) -> http_request {
    auto request = http_request{http::verb::post, path, 11};
    request.set(http::field::host, to.host);
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

/// How long a grant of a previous controller may remain in force after that controller stopped.
auto max_remaining_hold(const range_grantor_options& options) -> duration {
    const auto stretched =
        std::chrono::duration_cast<duration>(options.grant_term * (1.0 + options.clock_drift));
    return stretched + options.call_timeout + options.margin;
}

} // namespace

controller::controller(const gateway_settings& settings, cluster_state& cluster, store_access& store,
                       request_router& router, metrics& measured, asio::any_io_executor executor,
                       std::uint64_t start_time_ms)
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
                   .reset_on_close = true}} {
    m_lease.self = self();
    m_lease.options = m_options.lease;
}

auto controller::self() const -> instance_id {
    return instance_id{m_settings.instance + "#" + std::to_string(m_start_time_ms)};
}

auto controller::run() -> asio::awaitable<void> {
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

auto controller::holder() const -> std::optional<instance_record> {
    if (!m_lease.last_known || m_lease.last_known->holder.empty()) {
        return std::nullopt;
    }
    for (const auto& each : m_cluster.instances()) {
        if (each.name == instance_name(m_lease.last_known->holder)) {
            return each;
        }
    }
    return std::nullopt;
}

auto controller::holder_address() const -> std::optional<endpoint> {
    const auto found = holder();
    return found ? std::optional{found->internal} : std::nullopt;
}

auto controller::key_map_writer() const -> std::optional<instance_record> {
    const auto found = holder();
    if (found && found->name == m_settings.instance) {
        return m_is_controller && holds_lease(m_lease, monotonic_now()) ? found : std::nullopt;
    }
    const auto answers = monotonic_now() - m_last_holder_answer < m_options.holder_timeout;
    return answers ? found : std::nullopt;
}

auto controller::send_report() -> asio::awaitable<void> {
    const auto address = holder_address();
    if (!address || m_lease.last_known->holder == m_lease.self) {
        co_return;
    }
    const auto asked_at = monotonic_now();
    auto request = post(controller_paths::report, *address, make_report().dump());
    auto peer = *address;
    const auto answer = co_await perform_exchange(m_peer_pool, std::move(peer), std::move(request),
                                                  peer_timeout, max_peer_body_bytes);
    m_holder_refused_connection = !answer && answer.error() == exchange_error::refused;
    if (!answer || answer->body().empty()) {
        co_return;
    }
    const auto now = monotonic_now();
    try {
        const auto answer_fields = json::parse(answer->body());
        m_last_confirmation = {
            .asked_at = asked_at, .received_at = now, .copies = copy_states_from_json(answer_fields)};
        apply_leaving(answer_fields, now);
        if (answer_fields.at("leads").get<bool>()) {
            // Otherwise the store does not answer the controller, and another instance should take over.
            m_last_holder_answer = now;
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
        on_lease_read(m_lease, std::nullopt, {}, now);
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
    auto call = store_call{.kind = write.expected_version.number == 0 ? store_call_kind::create
                                                                      : store_call_kind::update,
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

auto controller::campaign() -> asio::awaitable<void> {
    const auto holder_answers = monotonic_now() - m_last_holder_answer < m_options.holder_timeout;
    const auto known_holder =
        m_lease.last_known && !m_lease.last_known->holder.empty() && m_last_holder_answer != instant{};
    if ((holder_answers && known_holder) || m_cluster.routes()->version == 0) {
        m_without_holder_since = monotonic_now();
        co_return;
    }
    // The first candidates read the lease at once; a new holder announces itself to all others, which read it
    // only when that takes too long.
    const auto rank = m_cluster.rank_of_this_instance("controller");
    const auto deferral = m_options.lease.term * 2 + m_options.report_interval * (rank % deferral_steps);
    if (rank >= max_active_candidates && monotonic_now() - m_without_holder_since < deferral) {
        co_return;
    }
    const auto was_read = co_await read_lease();
    if (!was_read) {
        co_return;
    }
    const auto before = m_lease.last_known;
    const auto was_this_instance = before && instance_name(before->holder) == m_settings.instance;
    const auto write = next_lease_write(m_lease, rank < max_active_candidates,
                                        m_holder_refused_connection || was_this_instance, monotonic_now());
    if (!write) {
        co_return;
    }
    const auto started = monotonic_now();
    if (co_await write_lease(*write)) {
        m_last_renewal = started;
        co_await begin_term(before);
    }
}

auto controller::set_earliest_move(instant from) -> void {
    m_earliest_move = from;
    for (auto& [service, state] : m_services) {
        state.grantor.moves_allowed_from = from;
    }
}

auto controller::begin_term(std::optional<lease_object> before) -> asio::awaitable<void> {
    ++m_term;
    m_services.clear();
    m_next_renewal = monotonic_now() + m_options.lease.renewal_interval;
    auto resigned = resignation::clean;
    if (before && !before->holder.empty()) {
        const auto was_this_instance = instance_name(before->holder) == m_settings.instance;
        resigned = was_this_instance ? resignation::uncertain : co_await request_resignation(before->holder);
    }
    const auto now = monotonic_now();
    const auto max_hold = max_remaining_hold(make_grant_options());
    if (resigned == resignation::clean) {
        set_earliest_move(now);
    } else if (resigned == resignation::uncertain) {
        set_earliest_move(now + max_hold);
    } else {
        set_earliest_move(now + m_options.lease.term + m_options.lease_overrun + max_hold);
        asio::co_spawn(m_executor, retry_resignation_request(before->holder, m_term), asio::detached);
    }
    m_is_controller = true;
    m_last_reports.clear();
    m_acknowledged_by.clear();
    for (const auto& each : m_cluster.instances()) {
        if (each.name != m_settings.instance) {
            asio::co_spawn(m_executor, announce_to(each, m_term), asio::detached);
        }
    }
    log::info("controller_began", {{"term", m_term},
                                   {"before", before ? before->holder.value() : std::string{"none"}},
                                   {"resigned", name_in(resignation_names, resigned)},
                                   {"moves_in_ms", (m_earliest_move - now).count() / 1000}});
}

/// Repeats the resignation request until the previous controller is known to have stopped.
auto controller::retry_resignation_request(instance_id holder, std::uint64_t term) -> asio::awaitable<void> {
    while (m_is_controller || m_term == term) {
        co_await sleep_for(m_options.report_interval);
        const auto now = monotonic_now();
        if (m_term != term || !m_is_controller ||
            now + max_remaining_hold(make_grant_options()) >= m_earliest_move) {
            co_return;
        }
        const auto resigned = co_await request_resignation(holder);
        if (m_term == term && resigned != resignation::unknown) {
            set_earliest_move(
                std::min(m_earliest_move, monotonic_now() + max_remaining_hold(make_grant_options())));
            co_return;
        }
    }
}

auto controller::is_majority(std::size_t count) const -> bool {
    // One more than a simple majority, because two instances may know slightly different fleets.
    return 2 * count > m_cluster.fleet_size() + 1;
}

auto controller::has_majority_reports(instant now) const -> bool {
    const auto fresh =
        std::count_if(m_last_reports.begin(), m_last_reports.end(), [this, now](const auto& entry) {
            return now - entry.second < m_options.report_validity;
        });
    return is_majority(static_cast<std::size_t>(fresh) + 1);
}

/// Announces the new term to @a peer until it answers. Once a majority has acknowledged it, reports to any
/// earlier controller run out soon.
auto controller::announce_to(instance_record peer, std::uint64_t term) -> asio::awaitable<void> {
    while (m_is_controller && m_term == term && m_lease.last_known) {
        auto request = post(controller_paths::announce, peer.internal, to_json(*m_lease.last_known).dump());
        auto address = peer.internal;
        const auto answer = co_await perform_exchange(m_peer_pool, std::move(address), std::move(request),
                                                      peer_timeout, max_peer_body_bytes);
        if (!m_is_controller || m_term != term) {
            co_return;
        }
        if (answer && answer->result() == http::status::ok) {
            m_acknowledged_by.insert(peer.name);
            if (is_majority(m_acknowledged_by.size() + 1)) {
                const auto last_report = monotonic_now() + peer_timeout + m_options.report_validity;
                set_earliest_move(
                    std::min(m_earliest_move, last_report + max_remaining_hold(make_grant_options())));
            }
            co_return;
        }
        co_await sleep_for(m_options.report_interval);
    }
}

auto controller::on_controller_announcement(const std::string& body) -> std::string {
    try {
        const auto object = lease_object_from_json(json::parse(body));
        if (!m_lease.last_known || object.epoch > m_lease.last_known->epoch) {
            if (m_is_controller) {
                end_term("another instance has the lease");
            }
            on_lease_read(m_lease, object, {}, monotonic_now());
            m_lease.is_up_to_date = false; // Its version in the store is unknown.
            m_last_holder_answer = monotonic_now();
        }
    } catch (const json::exception& fault) {
        log::warning("lease_unreadable", {{"fault", fault.what()}});
    }
    return {};
}

auto controller::request_resignation(instance_id holder) -> asio::awaitable<resignation> {
    auto address = std::optional<endpoint>{};
    for (const auto& each : m_cluster.instances()) {
        if (each.name == instance_name(holder)) {
            address = each.internal;
        }
    }
    if (!address) {
        co_return resignation::unknown;
    }
    auto request = post(controller_paths::resign, *address, holder.value());
    const auto answer = co_await perform_exchange(m_peer_pool, std::move(*address), std::move(request),
                                                  peer_timeout, max_peer_body_bytes);
    if (!answer) {
        co_return resignation::unknown;
    }
    co_return value_in<resignation>(resignation_names, answer->body()).value_or(resignation::unknown);
}

auto controller::is_grant_state_certain(instant now) const -> bool {
    if (m_orders_in_flight > 0) {
        return false;
    }
    for (const auto& [service, state] : m_services) {
        if (state.grantor.changed || state.grantor.writing) {
            return false; // The stored key map names holders that have changed since.
        }
        for (const auto& [id, answers] : state.grantor.responses) {
            if (answers.uncertain_until > now) {
                return false;
            }
        }
    }
    return now >= m_earliest_move;
}

auto controller::on_resign_request(const std::string& body) -> std::string {
    if (instance_id{body} != m_lease.self) {
        // The request names an earlier process of this instance, which has ended.
        return std::string{name_in(resignation_names, resignation::uncertain)};
    }
    const auto clean = is_grant_state_certain(monotonic_now());
    if (m_is_controller) {
        end_term("another instance has the lease");
    }
    return std::string{name_in(resignation_names, clean ? resignation::clean : resignation::uncertain)};
}

auto controller::end_term(const char* reason) -> void {
    if (!m_is_controller) {
        return;
    }
    log::info("controller_ended", {{"term", m_term}, {"reason", reason}});
    m_is_controller = false;
    m_last_holder_answer = {};
    m_lease.held_until.reset();
}

auto controller::may_send_orders(instant now) const -> bool {
    return m_is_controller && (holds_lease(m_lease, now) ||
                               (now < m_last_renewal + m_options.lease.term + m_options.lease_overrun &&
                                has_majority_reports(now)));
}

auto controller::renew_lease() -> asio::awaitable<void> {
    m_renewing = true;
    const auto term = m_term;
    auto readable = m_lease.is_up_to_date;
    if (!readable) {
        readable = co_await read_lease();
    }
    const auto lost =
        m_lease.is_up_to_date && m_lease.last_known && m_lease.last_known->holder != m_lease.self;
    if (lost && m_term == term) {
        end_term("another instance has the lease");
    }
    if (readable && m_is_controller && m_term == term && m_lease.last_known) {
        // The lease may have expired while the store was unavailable; it can still be renewed when no other
        // instance has acquired it.
        auto object = *m_lease.last_known;
        ++object.renewals;
        m_lease.write_pending = true;
        const auto started = monotonic_now();
        m_lease.write_started_at = started;
        auto write = lease_write{.object = object, .expected_version = m_lease.last_known_version};
        if (co_await write_lease(std::move(write)) && m_term == term) {
            m_last_renewal = started;
        }
    }
    m_renewing = false;
}

auto controller::control() -> asio::awaitable<void> {
    m_term_start = monotonic_now();
    auto next_sample = m_term_start;
    while (m_is_controller && !m_stopping) {
        const auto now = monotonic_now();
        if (now >= m_next_renewal && !m_renewing) {
            m_next_renewal = now + m_options.lease.renewal_interval;
            asio::co_spawn(m_executor, renew_lease(), asio::detached);
        }
        if (now >= next_sample) {
            next_sample = now + m_options.report_interval;
            apply_report(make_report(), now);
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
        }
        co_await sleep_for(m_options.tick_interval);
    }
}

auto controller::on_report(const std::string& body) -> std::string {
    if (!m_is_controller) {
        return {};
    }
    try {
        const auto report = json::parse(body);
        m_last_reports[report.at("from").get<std::string>()] = monotonic_now();
        apply_report(report, monotonic_now());
    } catch (const json::exception& fault) {
        log::warning("report_unreadable", {{"fault", fault.what()}});
    }
    auto answer = to_json(m_copy_source ? m_copy_source() : copy_states{});
    answer["leads"] = holds_lease(m_lease, monotonic_now());
    answer["leaving"] = to_json(m_cluster.leaving_notices());
    return answer.dump();
}

auto controller::stop() -> asio::awaitable<void> {
    m_stopping = true;
    if (!m_is_controller) {
        co_return;
    }
    const auto until = monotonic_now() + write_timeout / 2;
    const auto held = m_lease;
    end_term("stopping");
    while (m_orders_in_flight > 0 && monotonic_now() < until) {
        co_await sleep_for(m_options.tick_interval);
    }
    if (!is_grant_state_certain(monotonic_now()) || !held.last_known) {
        co_return; // The successor will request a resignation and learn that it has to wait.
    }
    auto object = *held.last_known;
    object.holder = {};
    ++object.renewals;
    auto write = lease_write{.object = object, .expected_version = m_lease.last_known_version};
    const auto done = co_await write_lease(std::move(write));
    log::info("lease_released", {{"done", done}});
}

} // namespace teaselcross
