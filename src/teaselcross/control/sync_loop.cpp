#include "control/sync_loop.h"

#include "control/membership_loop.h"
#include "core/rendezvous.h"
#include "logging/log.h"
#include "ownership/object_keys.h"
#include "peer/conversions.h"
#include "runtime/clock.h"

#include <algorithm>

namespace teaselcross {

namespace {

constexpr auto relays_per_data_centre = std::size_t{2};
constexpr auto watch_wait = duration{std::chrono::seconds{10}};
constexpr auto pull_wait = duration{std::chrono::seconds{5}};
constexpr auto pull_timeout_margin = duration{std::chrono::seconds{1}};
constexpr auto initial_backoff = duration{std::chrono::milliseconds{50}};
constexpr auto max_backoff = duration{std::chrono::seconds{2}};
/// A relay that has had no contact with the store for longer than this also pulls from other instances.
constexpr auto store_outage_tolerance = duration{std::chrono::seconds{1}};

auto milliseconds(duration period) -> std::uint64_t {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(period).count());
}

/// Sorts members by rendezvous weight; the first ones are the relays of their data centre.
auto relay_order(std::vector<instance_id> live, const data_centre_id& data_centre)
    -> std::vector<instance_id> {
    const auto item = hash_text(data_centre.value());
    std::sort(live.begin(), live.end(), [&](const auto& a, const auto& b) {
        return rendezvous_weight(item, a.value()) > rendezvous_weight(item, b.value());
    });
    return live;
}

} // namespace

sync_loop::sync_loop(instance_context& instance)
    : m_instance{instance}, m_timer{instance.control_thread.context()},
      m_pull_timer{instance.control_thread.context()} {}

auto sync_loop::start() -> void {
    on_membership_changed();
    step();
}

auto sync_loop::stop() -> void {
    for (auto& each : std::exchange(m_waiting_pulls, {})) {
        each.done(reply_to(each.request));
    }
}

auto sync_loop::on_mirror_changed() -> void {
    for (auto& each : std::exchange(m_waiting_pulls, {})) {
        each.done(reply_to(each.request));
    }
}

auto sync_loop::on_membership_changed() -> void {
    const auto& options = m_instance.options;
    const auto order =
        relay_order(live_members(m_instance.membership->state(), options.data_centre), options.data_centre);
    const auto rank = std::find(order.begin(), order.end(), m_instance.self) - order.begin();
    const auto relay = static_cast<std::size_t>(rank) < relays_per_data_centre;
    if (relay != m_is_relay) {
        m_is_relay = relay;
        log::info("relay", {{"active", relay}});
    }
}

auto sync_loop::contact_age(instant now) const -> duration {
    return m_last_contact == instant{} ? duration::max() / 2 : now - m_last_contact;
}

auto sync_loop::step() -> void {
    if (m_request_pending || m_instance.stopping) {
        return;
    }
    const auto store_unreachable =
        m_is_relay && m_failures > 0 && contact_age(monotonic_now()) > store_outage_tolerance;
    // A relay that cannot reach the store alternates between other instances and the store, so that it
    // notices when the store is back.
    if (m_is_relay && !(store_unreachable && m_failures % 2 == 0)) {
        watch();
        return;
    }
    if (const auto* const source = choose_source()) {
        pull(*source);
        return;
    }
    watch();
}

auto sync_loop::watch() -> void {
    m_request_pending = true;
    auto call = store_call{};
    call.kind = m_snapshot_read ? store_call_kind::watch : store_call_kind::list;
    call.key = object_keys::mirrored_prefix;
    call.after = m_revision;
    call.wait = watch_wait;
    const auto accepted =
        m_instance.store.call(std::move(call), m_instance.control_thread, [this](const store_reply& reply) {
            m_request_pending = false;
            if (reply.status != store_status::ok) {
                ++m_failures;
                const auto delay = std::min(max_backoff, initial_backoff * (1U << std::min(m_failures, 6U)));
                schedule_step(delay / 2 + duration{static_cast<duration::rep>(
                                              m_instance.membership->state().random() %
                                              static_cast<std::uint64_t>(delay.count()))});
                return;
            }
            m_failures = 0;
            m_snapshot_read = true;
            m_revision = reply.version;
            // The reply to a watch was current when it was sent, but its time in transit is unknown, so the
            // contact counts from the start of the call.
            m_last_contact = std::max(m_last_contact, reply.started);
            teaselcross::on_mirror_changed(m_instance, m_instance.mirror.apply(reply.objects));
            step();
        });
    if (!accepted) {
        m_request_pending = false;
        schedule_step(initial_backoff);
    }
}

auto sync_loop::pull(const member& from) -> void {
    m_request_pending = true;
    if (from.id != m_source) {
        m_source = from.id;
        m_source_generation = 0;
        m_source_sequence = 0;
    }
    auto request = wire::SyncRequest{};
    request.set_instance(m_instance.self.value());
    request.set_generation(m_source_generation);
    request.set_sequence(m_source_sequence);
    request.set_wait_ms(static_cast<std::uint32_t>(milliseconds(pull_wait)));
    const auto started = monotonic_now();
    m_instance.peers.call<wire::SyncRequest, wire::SyncReply>(
        from.address, &wire::Peer::StubInterface::async_interface::Sync, std::move(request),
        pull_wait + pull_timeout_margin,
        [this, started, id = from.id](const grpc::Status& status, const wire::SyncReply& reply) {
            m_request_pending = false;
            if (!status.ok()) {
                ++m_failures;
                m_source = {};
                schedule_step(initial_backoff);
                return;
            }
            m_failures = m_is_relay ? m_failures + 1 : 0;
            m_source_generation = reply.generation();
            m_source_sequence = reply.sequence();
            // The source may have held the pull before it answered, so the age in its reply counts from when
            // the pull was sent.
            m_last_contact =
                std::max(m_last_contact, started - std::chrono::milliseconds{reply.store_contact_age_ms()});
            auto objects = std::vector<store_object>{};
            for (const auto& each : reply.objects()) {
                objects.push_back(from_wire(each));
            }
            teaselcross::on_mirror_changed(m_instance, m_instance.mirror.apply(objects));
            step();
        });
}

auto sync_loop::choose_source() const -> const member* {
    const auto& membership = *m_instance.membership;
    const auto& options = m_instance.options;
    auto sources = std::vector<const member*>{};
    const auto add_relays = [&](const data_centre_id& data_centre) {
        auto order = relay_order(live_members(membership.state(), data_centre), data_centre);
        order.resize(std::min(order.size(), relays_per_data_centre));
        for (const auto& id : order) {
            if (id != m_instance.self) {
                sources.push_back(membership.find(id));
            }
        }
    };
    if (!m_is_relay) {
        add_relays(options.data_centre);
    }
    // Without a source in its own data centre, or after repeated failures, an instance pulls also from the
    // relays of the other data centres.
    if (sources.empty() || m_failures > 1) {
        auto others = std::set<data_centre_id>{};
        for (const auto& [id, record] : membership.state().members) {
            others.insert(record.data_centre);
        }
        others.erase(options.data_centre);
        for (const auto& each : others) {
            add_relays(each);
        }
    }
    if (sources.empty()) {
        return nullptr;
    }
    const auto item = hash_text(m_instance.self.value()) + m_failures / 2;
    return sources[item % sources.size()];
}

auto sync_loop::schedule_step(duration delay) -> void {
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            step();
        }
    });
}

auto sync_loop::reply_to(const wire::SyncRequest& request) const -> wire::SyncReply {
    auto reply = wire::SyncReply{};
    reply.set_generation(m_instance.mirror.generation());
    reply.set_sequence(m_instance.mirror.sequence());
    reply.set_store_contact_age_ms(milliseconds(contact_age(monotonic_now())));
    for (const auto& object : m_instance.mirror.changed_since(request.generation(), request.sequence())) {
        *reply.add_objects() = to_wire(object);
    }
    return reply;
}

auto sync_loop::answer_pull(const wire::SyncRequest& request, std::function<void(wire::SyncReply)> done)
    -> void {
    const auto& mirror = m_instance.mirror;
    const auto has_changes =
        request.generation() != mirror.generation() || request.sequence() != mirror.sequence();
    if (has_changes || m_instance.stopping) {
        done(reply_to(request));
        return;
    }
    const auto wait = std::chrono::milliseconds{request.wait_ms()};
    m_waiting_pulls.push_back(
        {.request = request, .done = std::move(done), .deadline = monotonic_now() + wait});
    if (m_waiting_pulls.size() > 1) {
        return;
    }
    const auto expire_pulls = [this](auto& self) -> void {
        m_pull_timer.expires_after(std::chrono::milliseconds{100});
        m_pull_timer.async_wait([this, self](const boost::system::error_code& error) mutable {
            if (error) {
                return;
            }
            const auto now = monotonic_now();
            auto expired = std::vector<waiting_pull>{};
            std::erase_if(m_waiting_pulls, [&](auto& each) {
                const auto is_expired = now >= each.deadline;
                if (is_expired) {
                    expired.push_back(std::move(each));
                }
                return is_expired;
            });
            for (auto& each : expired) {
                each.done(reply_to(each.request));
            }
            if (!m_waiting_pulls.empty()) {
                self(self);
            }
        });
    };
    expire_pulls(expire_pulls);
}

} // namespace teaselcross
