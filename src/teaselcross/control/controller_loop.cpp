#include "control/controller_loop.h"

#include "control/membership_loop.h"
#include "control/sync_loop.h"
#include "logging/log.h"
#include "ownership/object_keys.h"
#include "peer/conversions.h"
#include "runtime/clock.h"

#include <algorithm>

namespace teaselcross {

namespace {

constexpr auto tick_period = std::chrono::milliseconds{20};
constexpr auto plan_period = duration{std::chrono::milliseconds{200}};
constexpr auto lease_read_period = duration{std::chrono::milliseconds{700}};
constexpr auto lease_read_backoff = duration{std::chrono::seconds{2}};

auto describe(const std::vector<completed_move>& moves) -> std::string {
    constexpr auto max_described = std::size_t{8};
    auto text = std::string{};
    for (std::size_t index = 0; index < std::min(max_described, moves.size()); ++index) {
        const auto& move = moves[index];
        text += std::to_string(number(move.shard)) + ":" + move.from.value() + ">" + move.to.value() + "@" +
                std::to_string(move.fence);
        if (move.proof) {
            text += "(" + std::string{name_in(move_proof_names, *move.proof)} + ")";
        }
        text += " ";
    }
    return text;
}

} // namespace

controller_loop::controller_loop(instance_context& instance)
    : m_instance{instance}, m_timer{instance.control_thread.context()} {
    m_lease.self = instance.self;
    m_lease.options = instance.options.lease;
}

auto controller_loop::start() -> void {
    tick();
}

auto controller_loop::tick() -> void {
    const auto now = monotonic_now();
    // Only relays campaign for the lease: they are few, which limits the load on the store, and they receive
    // new objects first.
    const auto is_candidate = m_instance.sync->is_relay() || holds_lease(m_lease, now);
    if (is_candidate && !m_instance.stopping) {
        if (!m_lease.is_up_to_date || (!holds_lease(m_lease, now) && now >= m_next_lease_read)) {
            read_lease();
        }
        const auto live = live_members(m_instance.membership->state(), m_instance.options.data_centre);
        const auto is_preferred_candidate =
            !live.empty() && *std::min_element(live.begin(), live.end()) == m_instance.self;
        const auto* const holder =
            m_lease.last_known ? m_instance.membership->find(m_lease.last_known->holder) : nullptr;
        const auto holder_is_dead = holder != nullptr && holder->state >= member_state::dead;
        if (const auto write =
                next_lease_write(m_lease, is_preferred_candidate || live.size() <= 2, holder_is_dead, now)) {
            write_lease(*write);
        }
    }
    if (holds_lease(m_lease, now) && m_instance.mirror.description() && (m_plan_due || now >= m_next_plan)) {
        m_plan_due = false;
        m_next_plan = now + plan_period;
        run_plan(now);
    }
    m_timer.expires_after(tick_period);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            tick();
        }
    });
}

auto controller_loop::read_lease() -> void {
    if (m_reading_lease) {
        return;
    }
    m_reading_lease = true;
    auto call = store_call{};
    call.key = object_keys::lease(m_instance.options.data_centre);
    const auto accepted =
        m_instance.store.call(std::move(call), m_instance.control_thread, [this](const store_reply& reply) {
            m_reading_lease = false;
            const auto now = monotonic_now();
            m_next_lease_read = now + lease_read_period;
            if (reply.status == store_status::missing) {
                on_lease_read(m_lease, std::nullopt, {}, now);
            } else if (reply.status == store_status::ok) {
                const auto document = nlohmann::json::parse(reply.objects.front().value, nullptr, false);
                if (!document.is_discarded()) {
                    on_lease_read(m_lease, lease_object_from_json(document), reply.version, now);
                }
            } else {
                m_next_lease_read = now + lease_read_backoff;
            }
        });
    m_reading_lease = accepted;
}

auto controller_loop::write_lease(const lease_write& write) -> void {
    auto call = store_call{};
    call.kind = write.expected_version.number == 0 ? store_call_kind::create : store_call_kind::update;
    call.key = object_keys::lease(m_instance.options.data_centre);
    call.value = to_json(write.object).dump();
    call.expected_version = write.expected_version;
    const auto accepted = m_instance.store.call(
        std::move(call), m_instance.control_thread, [this, object = write.object](const store_reply& reply) {
            const auto now = monotonic_now();
            if (reply.status != store_status::ok) {
                on_lease_write_failed(m_lease, now);
                return;
            }
            on_lease_written(m_lease, object, reply.version, now);
            if (object.holder == m_instance.self && object.epoch != m_epoch) {
                become_controller(object.epoch);
            }
        });
    if (!accepted) {
        on_lease_write_failed(m_lease, monotonic_now());
    }
}

auto controller_loop::become_controller(std::uint64_t epoch) -> void {
    m_epoch = epoch;
    log::info("controller", {{"active", true}, {"epoch", epoch}});
    m_controller = make_controller(m_instance.self, m_instance.options.data_centre,
                                   m_instance.options.controller, monotonic_now());
    m_pending_writes.clear();
    m_pending_checks.clear();
    m_delegations_write_pending = false;
    // Keepers send their reports to the holder that this object names.
    const auto key = object_keys::controller(m_instance.options.data_centre);
    auto read = store_call{};
    read.key = key;
    static_cast<void>(m_instance.store.call(
        std::move(read), m_instance.control_thread, [this, key, epoch](const store_reply& reply) {
            auto write = store_call{};
            write.key = key;
            write.value = nlohmann::json{
                {"data_centre", m_instance.options.data_centre.value()},
                {"holder", m_instance.self.value()},
                {"epoch",
                 epoch}}.dump();
            if (reply.status == store_status::ok) {
                write.kind = store_call_kind::update;
                write.expected_version = reply.version;
            } else if (reply.status == store_status::missing) {
                write.kind = store_call_kind::create;
            } else {
                m_epoch = 0;
                return;
            }
            const auto value = write.value;
            static_cast<void>(m_instance.store.call(
                std::move(write), m_instance.control_thread, [this, key, value](const store_reply& written) {
                    if (written.status != store_status::ok) {
                        m_epoch = 0;
                        return;
                    }
                    const auto object = store_object{.key = key, .version = written.version, .value = value};
                    teaselcross::on_mirror_changed(m_instance, m_instance.mirror.apply({object}));
                }));
        }));
}

auto controller_loop::resign() -> void {
    if (const auto write = release_lease(m_lease, monotonic_now())) {
        write_lease(*write);
    }
}

auto controller_loop::on_report(const wire::KeeperReport& report) -> void {
    const auto now = monotonic_now();
    for (const auto& target : report.targets()) {
        teaselcross::on_report(m_controller, from_wire(target, instance_id{report.keeper()}), now);
    }
    m_plan_due = true;
}

auto controller_loop::controlled_data_centres() const -> std::set<data_centre_id> {
    auto controlled = std::set<data_centre_id>{m_instance.options.data_centre};
    for (const auto& [data_centre, object] : m_instance.mirror.controllers()) {
        if (m_instance.membership->is_live(object.holder)) {
            controlled.insert(data_centre);
        }
    }
    return controlled;
}

auto controller_loop::run_plan(instant now) -> void {
    const auto config = m_instance.mirror.description();
    auto view = controller_view{};
    view.config = config.get();
    view.partitions = &m_instance.mirror.partitions();
    view.delegations = &m_instance.mirror.delegations();
    view.live_instances = live_members(m_instance.membership->state(), m_instance.options.data_centre);
    view.controlled_data_centres = controlled_data_centres();
    view.local_draining = &m_instance.local_draining;
    const auto actions = plan_actions(m_controller, view, m_pending_writes, now);
    for (const auto& write : actions.partitions) {
        write_partition(write);
    }
    if (actions.delegations && !m_delegations_write_pending) {
        write_delegations(*actions.delegations);
    }
    for (const auto& data_centre : actions.check_delegations) {
        check_delegations(data_centre);
    }
}

auto controller_loop::write_object(const std::string& key, std::uint64_t expected_version, std::string value,
                                   const std::function<void(const store_reply&)>& done) -> bool {
    auto call = store_call{};
    call.kind = expected_version == 0 ? store_call_kind::create : store_call_kind::update;
    call.key = key;
    call.value = value;
    call.expected_version = {.number = expected_version};
    return m_instance.store.call(
        std::move(call), m_instance.control_thread,
        [this, key, value = std::move(value), done](const store_reply& reply) {
            m_plan_due = true;
            done(reply);
            if (reply.status == store_status::ok) {
                const auto object = store_object{.key = key, .version = reply.version, .value = value};
                teaselcross::on_mirror_changed(m_instance, m_instance.mirror.apply({object}));
            } else {
                // A conflict, or a write with an unknown outcome: the object in the store decides.
                read_back(key);
            }
        });
}

auto controller_loop::write_partition(const partition_write& write) -> void {
    m_pending_writes.insert(write.key);
    const auto key = object_keys::partition(write.key.first, write.key.second);
    const auto accepted = write_object(key, write.expected_version, to_json(write.next).dump(),
                                       [this, write, key](const store_reply& reply) {
                                           m_pending_writes.erase(write.key);
                                           log_partition_write(key, write, reply);
                                       });
    if (!accepted) {
        m_pending_writes.erase(write.key);
    }
}

auto controller_loop::log_partition_write(const std::string& key, const partition_write& write,
                                          const store_reply& reply) -> void {
    if (reply.status != store_status::ok) {
        log::warning("assignment_write_failed", {{"key", key},
                                                 {"status", name_in(store_status_names, reply.status)},
                                                 {"token", write.next.writer_token}});
        return;
    }
    const auto log_moves = [&](const char* event, const std::vector<completed_move>& moves) {
        if (!moves.empty()) {
            log::info(event, {{"key", key},
                              {"version", reply.version.number},
                              {"count", moves.size()},
                              {"moves", describe(moves)}});
        }
    };
    log_moves("assigned", write.assigned);
    log_moves("releasing", write.marked);
    m_instance.metrics_registry.count(counter::shards_assigned, write.assigned.size());
    m_instance.metrics_registry.count(counter::shards_released, write.marked.size());
}

auto controller_loop::write_delegations(const delegation_write& write) -> void {
    m_delegations_write_pending = write_object(
        object_keys::delegations(m_instance.options.data_centre), write.expected_version,
        to_json(write.next).dump(), [this](const store_reply&) { m_delegations_write_pending = false; });
}

auto controller_loop::check_delegations(const data_centre_id& data_centre) -> void {
    if (!m_pending_checks.insert(data_centre).second) {
        return;
    }
    auto call = store_call{};
    call.key = object_keys::delegations(data_centre);
    const auto accepted = m_instance.store.call(
        std::move(call), m_instance.control_thread, [this, data_centre](const store_reply& reply) {
            m_pending_checks.erase(data_centre);
            if (reply.status != store_status::ok) {
                return;
            }
            const auto document = nlohmann::json::parse(reply.objects.front().value, nullptr, false);
            if (document.is_discarded()) {
                return;
            }
            on_delegations_read(m_controller, delegation_table_from_json(document), reply.started);
            m_plan_due = true;
        });
    if (!accepted) {
        m_pending_checks.erase(data_centre);
    }
}

auto controller_loop::read_back(const std::string& key) -> void {
    auto call = store_call{};
    call.key = key;
    static_cast<void>(
        m_instance.store.call(std::move(call), m_instance.control_thread, [this](const store_reply& reply) {
            if (reply.status == store_status::ok) {
                teaselcross::on_mirror_changed(m_instance, m_instance.mirror.apply(reply.objects));
            }
        }));
}

} // namespace teaselcross
