// Election of the controller: acquires, renews and releases the lease, and finds out what its predecessors
// may still do.

#include "gateway/controller.h"
#include "gateway/peer_request.h"
#include "logging/log.h"
#include "membership/campaign_order.h"
#include "platform/store.h"
#include "runtime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using json = nlohmann::json;

namespace {

/// The answer to the announcement of a holder when a later one is known.
constexpr auto announcement_refused = "later holder known";

/// The number of instances in an acknowledgement; 0 if it has none.
auto read_fleet(std::string_view text) -> std::size_t {
    auto fleet = std::size_t{0};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), fleet);
    return error == std::errc{} && end == text.data() + text.size() ? fleet : 0;
}

} // namespace

auto gateway_controller::read_lease() -> asio::awaitable<bool> {
    auto call = store_call{.kind = store_call_kind::get, .key = platform::kinds::controller_lease};
    const auto reply = co_await m_store.call_directly(std::move(call));
    const auto now = monotonic_now();
    if (reply.status == store_status::missing) {
        on_lease_read(m_lease, std::nullopt, reply.version, now);
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

auto gateway_controller::write_lease(lease_write write) -> asio::awaitable<bool> {
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

auto gateway_controller::campaign() -> asio::awaitable<void> {
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
    const auto options = campaign_options{.first_deferral = m_options.lease.term * 2,
                                          .group_interval = m_options.report_interval};
    const auto deferral = campaign_deferral(options, rank, m_cluster.strong_instances());
    if (monotonic_now() - m_without_holder_since < deferral) {
        co_return;
    }
    const auto was_read = co_await read_lease();
    if (!was_read) {
        co_return;
    }
    const auto before = m_lease.last_known;
    const auto is_lost = m_lease.is_lost;
    m_lease.is_settled = false; // Also if a renewal of the term before is acknowledged only now.
    const auto was_this_instance = before && instance_of(before->holder) == m_settings.instance;
    const auto write =
        next_lease_write(m_lease, rank < options.active_candidates, was_this_instance, monotonic_now());
    if (!write) {
        co_return;
    }
    const auto started = monotonic_now();
    if (co_await write_lease(*write)) {
        m_last_renewal = started;
        co_await begin_term(before, is_lost);
    }
}

auto gateway_controller::set_earliest_move(instant from) -> void {
    m_earliest_move = from;
    m_lease.is_settled = m_lease.is_settled && from <= monotonic_now();
    for (auto& [service, state] : m_services) {
        state.grantor.moves_allowed_from = from;
    }
}

auto gateway_controller::await_unknown_controllers(instant now) -> void {
    const auto limit =
        now + m_options.lease.term + m_options.lease_overrun + max_remaining_hold(make_grant_options());
    const auto bound = std::min(limit, m_acknowledged_bound.value_or(limit));
    m_predecessor_unknown = true;
    set_earliest_move(std::max(m_earliest_move, bound));
}

auto gateway_controller::begin_term(std::optional<lease_object> before, bool is_lost)
    -> asio::awaitable<void> {
    ++m_term;
    m_services.clear();
    m_next_renewal = monotonic_now() + m_options.lease.renewal_interval;
    m_era = m_lease.last_known ? m_lease.last_known->era : 0;
    m_predecessor_unknown =
        has_unknown_predecessors({.before = before,
                                  .is_lost = is_lost,
                                  .era = m_era,
                                  .is_first_start = m_settings.is_first_start && !m_store.was_restored()});
    m_is_first_term = !m_predecessor_unknown && !before;
    auto resigned = m_predecessor_unknown ? resignation::unknown : resignation::clean;
    if (!m_predecessor_unknown && before && !before->holder.empty()) {
        const auto was_this_instance = instance_of(before->holder) == m_settings.instance;
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
        if (!m_predecessor_unknown) {
            asio::co_spawn(m_executor, retry_resignation_request(before->holder, m_term), asio::detached);
        }
    }
    m_is_controller = true;
    m_reports = {};
    announce_to_all();
    log::info("controller_began", {{"term", m_term},
                                   {"era", m_era},
                                   {"lease_lost", is_lost},
                                   {"ended_holder", m_lease.ended_holder.value_or(instance_id{})},
                                   {"before", before ? before->holder.value() : std::string{"none"}},
                                   {"before_settled", before && before->is_settled},
                                   {"resigned", name_in(resignation_names, resigned)},
                                   {"moves_in_ms", (m_earliest_move - now).count() / 1000}});
}

/// Announces this instance as holder of the lease that was written last.
auto gateway_controller::announce_to_all() -> void {
    m_announced_to.clear();
    m_acknowledged_by.clear();
    m_acknowledged_fleet = 0;
    m_acknowledged_bound.reset();
    announce_to_others();
}

/// Announces it to the instances that were not known before.
auto gateway_controller::announce_to_others() -> void {
    for (const auto& each : m_cluster.instances()) {
        if (each.name != m_settings.instance && m_announced_to.insert(each.name).second) {
            asio::co_spawn(m_executor, announce_to(each, m_term, m_era), asio::detached);
        }
    }
}

/// Repeats the resignation request until the previous controller is known to have stopped.
auto gateway_controller::retry_resignation_request(instance_id holder, std::uint64_t term)
    -> asio::awaitable<void> {
    while (m_is_controller || m_term == term) {
        co_await sleep_for(m_options.report_interval);
        const auto now = monotonic_now();
        if (m_term != term || !m_is_controller || m_predecessor_unknown ||
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

auto gateway_controller::is_majority(std::size_t count) const -> bool {
    const auto fleet = std::max(m_cluster.quorum_fleet(monotonic_now()).value_or(0), m_acknowledged_fleet);
    // One more than a simple majority, because two instances may know slightly different fleets.
    return fleet > 0 && 2 * count > fleet + 1;
}

auto gateway_controller::has_majority_reports(instant now) const -> bool {
    return is_majority(count_recent_reports(m_reports, m_options.report_validity, now) + 1);
}

/// Announces the new term to @a peer until it answers. Once a majority has acknowledged it, reports to any
/// earlier controller run out soon.
auto gateway_controller::announce_to(instance_record peer, std::uint64_t term, std::uint64_t era)
    -> asio::awaitable<void> {
    while (m_is_controller && m_term == term && m_era == era && m_lease.last_known) {
        auto request =
            make_peer_request(controller_paths::announce, peer.internal, to_json(*m_lease.last_known).dump());
        auto address = peer.internal;
        const auto answer = co_await perform_exchange(m_peer_pool, std::move(address), std::move(request),
                                                      peer_timeout, max_peer_body_bytes);
        if (!m_is_controller || m_term != term || m_era != era) {
            co_return;
        }
        if (answer && answer->body() == announcement_refused) {
            co_return; // It knows a later holder.
        }
        if (answer && answer->result() == http::status::ok) {
            m_acknowledged_by.insert(peer.name);
            m_acknowledged_fleet = std::max(m_acknowledged_fleet, read_fleet(answer->body()));
            if (is_majority(m_acknowledged_by.size() + 1)) {
                const auto last_report = monotonic_now() + peer_timeout + m_options.report_validity;
                m_acknowledged_bound =
                    m_acknowledged_bound.value_or(last_report + max_remaining_hold(make_grant_options()));
                set_earliest_move(std::min(m_earliest_move, *m_acknowledged_bound));
            }
            co_return;
        }
        co_await sleep_for(m_options.report_interval);
    }
}

auto gateway_controller::on_controller_announcement(const std::string& body) -> std::string {
    try {
        const auto object = lease_object_from_json(json::parse(body));
        const auto is_new = !m_lease.last_known || is_earlier(*m_lease.last_known, object);
        if (!on_lease_announced(m_lease, object, monotonic_now())) {
            return announcement_refused;
        }
        if (is_new) {
            if (m_is_controller) {
                end_term("another instance has the lease");
            }
            m_last_holder_answer = monotonic_now();
        }
    } catch (const json::exception& fault) {
        log::warning("lease_unreadable", {{"fault", fault.what()}});
    }
    const auto fleet = m_cluster.quorum_fleet(monotonic_now());
    return fleet ? std::to_string(*fleet) : std::string{};
}

auto gateway_controller::request_resignation(instance_id holder) -> asio::awaitable<resignation> {
    auto address = std::optional<endpoint>{};
    for (const auto& each : m_cluster.instances()) {
        if (each.name == instance_of(holder)) {
            address = each.internal;
        }
    }
    if (!address) {
        co_return resignation::unknown;
    }
    auto request = make_peer_request(controller_paths::resign, *address, holder.value());
    const auto answer = co_await perform_exchange(m_peer_pool, std::move(*address), std::move(request),
                                                  peer_timeout, max_peer_body_bytes);
    if (!answer) {
        co_return resignation::unknown;
    }
    co_return value_in<resignation>(resignation_names, answer->body()).value_or(resignation::unknown);
}

auto gateway_controller::is_grant_state_certain(instant now) const -> bool {
    if (m_grants_in_flight > 0 || m_era != m_store.era() || !m_lease.is_settled) {
        return false;
    }
    for (const auto& [service, state] : m_services) {
        const auto is_recorded = !state.loaded || state.grantor.map.revision.era == m_era;
        if (state.grantor.changed || state.grantor.writing || !is_recorded) {
            return false; // The stored key map names holders that have changed since.
        }
        for (const auto& [id, answers] : state.grantor.responses) {
            if (!is_certain(state.grantor, id, now)) {
                return false;
            }
        }
    }
    return now >= m_earliest_move;
}

auto gateway_controller::settle_lease(instant now) -> void {
    if (m_lease.is_settled || m_era != m_store.era() || now < m_earliest_move) {
        return;
    }
    for (const auto& [service, policy] : m_cluster.routes()->services) {
        const auto found = m_services.find(service);
        const auto is_known = found != m_services.end() && found->second.loaded;
        if (policy.keyed && (!is_known || !is_recorded(found->second.grantor, m_era))) {
            return;
        }
    }
    m_lease.is_settled = true;
    m_predecessor_unknown = false;
    m_next_renewal = now;
    log::info("lease_settled", {{"term", m_term}, {"era", m_era}});
}

auto gateway_controller::on_resign_request(const std::string& body) -> std::string {
    if (instance_of(instance_id{body}) != m_settings.instance) {
        return std::string{name_in(resignation_names, resignation::unknown)}; // It had this address before.
    }
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

auto gateway_controller::end_term(const char* reason) -> void {
    if (!m_is_controller) {
        return;
    }
    log::info("controller_ended", {{"term", m_term}, {"reason", reason}});
    m_is_controller = false;
    abort_overdue_grants();
    m_last_holder_answer = {};
    m_lease.held_until.reset();
}

auto gateway_controller::may_send_orders(instant now) const -> bool {
    return m_is_controller && (holds_lease(m_lease, now) ||
                               (now < m_last_renewal + m_options.lease.term + m_options.lease_overrun &&
                                has_majority_reports(now)));
}

auto gateway_controller::term(instant now) const -> std::optional<controller_term> {
    if (!m_is_controller || !m_lease.last_known) {
        return std::nullopt;
    }
    return controller_term{.number = m_term,
                           .era = m_era,
                           .epoch = m_lease.last_known->epoch,
                           .is_first = m_is_first_term,
                           .may_send_orders = may_send_orders(now),
                           .holds_lease = holds_lease(m_lease, now),
                           .earlier_ended = m_earliest_move - max_remaining_hold(make_grant_options())};
}

auto gateway_controller::renew_lease() -> asio::awaitable<void> {
    m_renewing = true;
    const auto term = m_term;
    auto readable = m_lease.is_up_to_date && m_lease.last_known_version.era == m_store.era();
    if (!readable) {
        readable = co_await read_lease();
    }
    const auto lost =
        m_lease.is_up_to_date && m_lease.last_known && m_lease.last_known->holder != m_lease.self;
    if (lost && m_term == term) {
        end_term("another instance has the lease");
    }
    const auto started = monotonic_now();
    if (readable && m_is_controller && m_lease.is_lost && m_term == term && !may_send_orders(started)) {
        // Another controller may have acted meanwhile, and the store has lost its lease and its records.
        end_term("the store was restored, and the right to send orders had ended");
    }
    if (readable && m_is_controller && m_term == term && m_lease.last_known) {
        // The lease may have expired while the store was unavailable, or the store may have lost it; it can
        // still be renewed when no other instance has acquired it.
        const auto was_held = holds_lease(m_lease, started);
        auto write = reclaim_lease(m_lease, started);
        const auto era = write.object.era;
        if (co_await write_lease(std::move(write)) && m_term == term) {
            m_last_renewal = started;
            if (era != m_era) {
                log::info("lease_reclaimed", {{"term", m_term}, {"era", era}, {"before", m_era}});
                m_era = era;
                // Records of its predecessors that it has not read yet may be lost.
                m_predecessor_unknown = true;
                announce_to_all();
                if (!was_held) {
                    await_unknown_controllers(monotonic_now());
                }
            }
        } else if (m_store.era() != m_era) {
            m_next_renewal = monotonic_now() + m_options.tick_interval;
        }
    }
    m_renewing = false;
}

} // namespace teaselcross
