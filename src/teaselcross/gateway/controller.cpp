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
/// How many instances go for a free lease at once; the others leave it to them for a term.
constexpr auto eager_candidates = std::ptrdiff_t{3};
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
    const auto answer = co_await perform_exchange(m_peer_pool, std::move(peer), std::move(request),
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
        const auto answer = co_await perform_exchange(m_peer_pool, std::move(address), std::move(request),
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
    const auto answer = co_await perform_exchange(m_peer_pool, std::move(*address), std::move(request),
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
