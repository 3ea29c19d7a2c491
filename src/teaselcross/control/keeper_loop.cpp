#include "control/keeper_loop.h"

#include "control/membership_loop.h"
#include "control/sync_loop.h"
#include "entry/forwarder.h"
#include "logging/log.h"
#include "ownership/object_keys.h"
#include "peer/conversions.h"
#include "runtime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto tick_period = std::chrono::milliseconds{20};
constexpr auto retry_period = duration{std::chrono::milliseconds{200}};
constexpr auto report_period = duration{std::chrono::seconds{2}};
constexpr auto rpc_timeout = duration{std::chrono::milliseconds{500}};
constexpr auto max_reply_bytes = std::size_t{64} * 1024;

auto make_grant_body(const grant_request& request) -> std::string {
    auto shards = nlohmann::json::array();
    for (const auto& granted : request.shards) {
        shards.push_back({number(granted.shard), granted.fence});
    }
    const auto term = std::chrono::duration_cast<std::chrono::milliseconds>(request.term);
    return nlohmann::json{{"epoch", request.epoch},
                          {"incarnation", request.incarnation},
                          {"nonce", request.nonce},
                          {"term_ms", term.count()},
                          {"shards", shards}}
        .dump();
}

auto parse_grant_reply(const std::string& body) -> std::optional<grant_reply> {
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("result") || !document.at("result").is_string()) {
        return std::nullopt;
    }
    const auto result = value_in<grant_result>(grant_result_names, document.at("result").get<std::string>());
    if (!result) {
        return std::nullopt;
    }
    return grant_reply{.result = *result,
                       .incarnation = document.value("incarnation", incarnation_number{0}),
                       .nonce = document.value("nonce", nonce_number{0})};
}

} // namespace

keeper_loop::keeper_loop(instance_context& instance)
    : m_instance{instance}, m_keeper{.self = instance.self,
                                     .options = instance.options.keeper,
                                     .targets = {},
                                     .handed_over = {}},
      m_pool{instance.control_thread.context().get_executor(), {.idle_per_peer = 2}},
      m_timer{instance.control_thread.context()} {}

auto keeper_loop::start() -> void {
    tick();
}

auto keeper_loop::tick() -> void {
    const auto now = monotonic_now();
    for (auto& [id, target] : m_keeper.targets) {
        advance_target(id, target, now);
    }
    for (const auto& [id, count] : std::exchange(m_unsent_views, {})) {
        push_target_view(id);
    }
    send_reports(now);
    m_timer.expires_after(tick_period);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            tick();
        }
    });
}

auto keeper_loop::advance_target(const target_id& id, kept_target& target, instant now) -> void {
    const auto phase = target.grants.phase;
    on_tick(target.grants, now);
    if (!target.grants.records_current) {
        read_partitions(id, target, now);
    }
    if (!target.predecessors.empty()) {
        request_handovers(id, target, now);
    }
    if (phase != target.grants.phase) {
        target.changed = true;
        log::info("target_phase",
                  {{"target", id}, {"phase", name_in(target_phase_names, target.grants.phase)}});
        push_target_view(id);
    }
    const auto requested_shards = is_isolated(target, now) ? std::vector<granted_shard>{}
                                                           : shards_to_grant(target, m_keeper.options, now);
    if (const auto request = next_request(target.grants, requested_shards, now)) {
        send_heartbeat(id, *request);
    }
}

auto keeper_loop::is_isolated(const kept_target& target, instant now) const -> bool {
    const auto& config = m_instance.mirror.description();
    const auto service = config->services.find(target.service);
    if (service == config->services.end() || !service->second.isolation_limit) {
        return false;
    }
    return m_instance.sync->contact_age(now) > *service->second.isolation_limit;
}

auto keeper_loop::on_mirror_changed(const object_mirror::changes& changed) -> void {
    const auto& config = m_instance.mirror.description();
    if (!config) {
        return;
    }
    const auto now = monotonic_now();
    for (const auto& key : changed.partitions) {
        on_partition(m_keeper, m_instance.mirror.partitions().at(key).object, now);
    }
    const auto table = m_instance.mirror.delegations().find(m_instance.options.data_centre);
    if (table != m_instance.mirror.delegations().end()) {
        const auto changes = on_delegations(m_keeper, table->second.object, *config, now);
        release_targets(changes.dropped);
        acquire_targets(changes.acquired);
    }
    if (changed.controllers) {
        for (auto& [id, target] : m_keeper.targets) {
            target.changed = true;
        }
    }
    for (const auto& [id, target] : m_keeper.targets) {
        push_target_view(id);
    }
}

auto keeper_loop::on_membership_changed() -> void {
    for (auto& [id, state] : m_bookkeeping) {
        state.next_handover = {};
    }
}

auto keeper_loop::on_local_orders() -> void {
    for (const auto& [id, target] : m_keeper.targets) {
        push_target_view(id);
    }
}

auto keeper_loop::acquire_targets(const std::vector<target_id>& ids) -> void {
    const auto now = monotonic_now();
    for (const auto& id : ids) {
        auto& target = m_keeper.targets.at(id);
        auto& state = m_bookkeeping[id] = {};
        log::info("target_acquired", {{"target", id}, {"epoch", target.grants.epoch}});
        // At epoch 1 there was no earlier keeper, so the operation memory is complete from the start.
        state.predecessors_fenced = target.predecessors.empty() && target.grants.epoch == 1;
        state.memory_since = state.predecessors_fenced ? wall_time{0} : wall_now();
        for (const auto& [key, held] : m_instance.mirror.partitions()) {
            if (key.first == target.service) {
                on_partition(m_keeper, held.object, now);
            }
        }
    }
}

auto keeper_loop::release_targets(const std::vector<target_id>& ids) -> void {
    for (const auto& id : ids) {
        log::info("target_released", {{"target", id}});
        m_bookkeeping.erase(id);
        m_instance.forwarding->close_target(id);
    }
}

auto keeper_loop::read_partitions(const target_id& id, kept_target& target, instant now) -> void {
    auto& state = m_bookkeeping[id];
    const auto& config = m_instance.mirror.description();
    const auto service = config->services.find(target.service);
    if (service == config->services.end() || !service->second.is_keyed()) {
        on_records_read(target.grants, now);
        return;
    }
    if (state.read_pending || now < state.next_read) {
        return;
    }
    state.read_pending = true;
    state.next_read = now + retry_period;
    auto call = store_call{};
    call.kind = store_call_kind::list;
    call.key = object_keys::partitions(target.service);
    const auto accepted = m_instance.store.call(
        std::move(call), m_instance.control_thread, [this, name = target.service](const store_reply& reply) {
            for (auto& [each, other] : m_keeper.targets) {
                if (other.service == name) {
                    m_bookkeeping[each].read_pending = false;
                }
            }
            if (reply.status != store_status::ok) {
                return;
            }
            teaselcross::on_mirror_changed(m_instance, m_instance.mirror.apply(reply.objects));
            on_partitions_read(m_keeper, name, reply.started);
        });
    if (!accepted) {
        state.read_pending = false;
        return;
    }
    // One read of the partitions covers all targets of the service.
    for (auto& [each, other] : m_keeper.targets) {
        if (other.service == target.service) {
            m_bookkeeping[each].read_pending = true;
        }
    }
}

auto keeper_loop::request_handovers(const target_id& id, const kept_target& target, instant now) -> void {
    auto& state = m_bookkeeping[id];
    if (now < state.next_handover) {
        return;
    }
    state.next_handover = now + retry_period;
    for (const auto& predecessor : target.predecessors) {
        const auto* const record = m_instance.membership->find(predecessor);
        if (predecessor == m_keeper.self ||
            (record == nullptr && m_instance.membership->is_delisted(predecessor))) {
            asio::post(m_instance.control_thread.context(),
                       [this, id, predecessor] { record_predecessor_stop(id, predecessor); });
            continue;
        }
        if (record == nullptr) {
            continue;
        }
        auto request = wire::HandoverRequest{};
        request.set_target(id.value());
        request.set_epoch(target.grants.epoch);
        request.set_predecessor(predecessor.value());
        m_instance.peers.call<wire::HandoverRequest, wire::HandoverReply>(
            record->address, &wire::Peer::StubInterface::async_interface::Handover, std::move(request),
            rpc_timeout,
            [this, id, epoch = target.grants.epoch,
             predecessor_record = *record](const grpc::Status& status, const wire::HandoverReply& reply) {
                const auto found = m_keeper.targets.find(id);
                if (found == m_keeper.targets.end() || found->second.grants.epoch != epoch) {
                    return;
                }
                if (!status.ok()) {
                    probe_predecessor(id, predecessor_record);
                    return;
                }
                if (!reply.stopped()) {
                    return;
                }
                if (reply.remembered() && found->second.predecessors.size() == 1) {
                    m_bookkeeping[id].memory_since = wall_time{reply.memory_since_ms()};
                    m_bookkeeping[id].predecessors_fenced = true;
                    m_instance.forwarding->import_operations(id, reply);
                }
                record_predecessor_stop(id, predecessor_record.id);
            });
    }
}

auto keeper_loop::probe_predecessor(const target_id& id, const member& predecessor) -> void {
    asio::co_spawn(
        m_instance.control_thread.context(),
        [](keeper_loop& self, target_id target, member predecessor_record) -> asio::awaitable<void> {
            // GCC 12 destroys a braced temporary in a co_await expression twice, so the endpoint is a named
            // variable.
            const auto peer =
                endpoint{predecessor_record.address.host, predecessor_record.address.control_port};
            auto connection = co_await self.m_pool.acquire(peer);
            if (!connection && connection.error() == connect_error::refused) {
                self.record_predecessor_stop(target, predecessor_record.id);
            }
        }(*this, id, predecessor),
        asio::detached);
}

auto keeper_loop::record_predecessor_stop(const target_id& id, const instance_id& predecessor) -> void {
    if (m_keeper.targets.contains(id)) {
        log::info("predecessor_stopped", {{"target", id}, {"keeper", predecessor}});
        on_predecessor_stopped(m_keeper, id, predecessor, monotonic_now());
    }
}

auto keeper_loop::send_heartbeat(const target_id& id, const grant_request& request) -> void {
    const auto described = m_instance.mirror.description()->targets.find(id);
    if (described == m_instance.mirror.description()->targets.end()) {
        on_no_reply(m_keeper.targets.at(id).grants, monotonic_now());
        return;
    }
    auto message = http_request{http::verb::post, "/control/grant", 11};
    message.set(http::field::host, described->second.host);
    message.set(http::field::content_type, "application/json");
    message.body() = make_grant_body(request);
    message.prepare_payload();
    m_instance.metrics_registry.count(counter::heartbeats);
    asio::co_spawn(
        m_instance.control_thread.context(),
        [](keeper_loop& self, target_id target, delegation_epoch epoch, endpoint to,
           http_request sent) -> asio::awaitable<void> {
            auto answer =
                co_await perform_exchange(self.m_pool, to, std::move(sent),
                                          self.m_keeper.options.grants.reply_timeout, max_reply_bytes);
            self.on_heartbeat_reply(target, epoch, answer);
        }(*this, id, request.epoch, endpoint{described->second.host, described->second.port},
                              std::move(message)),
        asio::detached);
}

auto keeper_loop::on_heartbeat_reply(const target_id& id, delegation_epoch epoch,
                                     const tl::expected<http_response, exchange_error>& answer) -> void {
    const auto found = m_keeper.targets.find(id);
    if (found == m_keeper.targets.end() || found->second.grants.epoch != epoch) {
        return;
    }
    const auto now = monotonic_now();
    auto& target = found->second;
    const auto previous_incarnation = target.grants.incarnation;
    const auto phase = target.grants.phase;
    const auto reply = answer ? parse_grant_reply(answer->body()) : std::nullopt;
    if (reply) {
        on_reply(target.grants, *reply, now);
    } else if (!answer && answer.error() == exchange_error::refused) {
        on_connection_refused(target.grants, now);
    } else {
        on_no_reply(target.grants, now);
    }
    auto& state = m_bookkeeping[id];
    if (target.grants.predecessors_covered && !state.predecessors_fenced) {
        // An earlier keeper may have run any operation issued before now.
        state.predecessors_fenced = true;
        state.memory_since = wall_now();
    }
    if (previous_incarnation != target.grants.incarnation || phase != target.grants.phase) {
        target.changed = true;
        log::info("target_phase", {{"target", id},
                                   {"phase", name_in(target_phase_names, target.grants.phase)},
                                   {"incarnation", target.grants.incarnation}});
    }
    push_target_view(id);
}

auto keeper_loop::push_target_view(const target_id& id) -> void {
    const auto& config = *m_instance.mirror.description();
    const auto found = m_keeper.targets.find(id);
    const auto described = config.targets.find(id);
    if (found == m_keeper.targets.end() || described == config.targets.end()) {
        return;
    }
    const auto& target = found->second;
    const auto& state = m_bookkeeping[id];
    const auto service = config.services.find(target.service);
    auto view = keeper_view{.target = id,
                            .service = target.service,
                            .epoch = target.grants.epoch,
                            .address = {described->second.host, described->second.port},
                            .incarnation = target.grants.incarnation,
                            .granted = {},
                            .closing = releasing_shards(target),
                            .serving_until = serving_until(target.grants),
                            .live = target.grants.phase == target_phase::live && state.predecessors_fenced,
                            .draining = !config.is_in_service(described->second) ||
                                        m_instance.local_draining.contains(id),
                            .slots = described->second.slots,
                            .cold_slots = described->second.cold_slots,
                            .warm_up_requests = described->second.warm_up_requests,
                            .memory_since = state.memory_since};
    if (service != config.services.end()) {
        view.queue_limit = service->second.queue_limit;
        view.durable_intents = service->second.operations == operation_deduplication::durable_intent;
    }
    for (const auto& granted : target.grants.accepted) {
        view.granted[granted.shard] = granted.fence;
    }
    for (const auto& closing : view.closing) {
        view.granted.erase(closing.shard);
    }
    if (!m_instance.forwarding->update_target(std::move(view))) {
        ++m_unsent_views[id];
    }
}

auto keeper_loop::on_target_loads(const std::vector<target_load>& loads) -> void {
    const auto now = monotonic_now();
    for (const auto& load : loads) {
        const auto found = m_keeper.targets.find(load.target);
        if (found == m_keeper.targets.end()) {
            continue;
        }
        found->second.warmth = load.warmth;
        found->second.in_flight = load.in_flight;
        found->second.waiting = load.waiting;
        for (const auto& drained : load.drained) {
            on_shard_idle(m_keeper, load.target, drained.shard, drained.fence, now);
        }
    }
}

auto keeper_loop::on_target_failure(const target_id& target) -> void {
    const auto found = m_keeper.targets.find(target);
    if (found != m_keeper.targets.end()) {
        request_heartbeat(found->second.grants, monotonic_now());
    }
}

auto keeper_loop::live_controllers() const -> std::vector<member_address> {
    auto addresses = std::vector<member_address>{};
    for (const auto& [data_centre, object] : m_instance.mirror.controllers()) {
        if (m_instance.membership->is_live(object.holder)) {
            addresses.push_back(m_instance.membership->find(object.holder)->address);
        }
    }
    return addresses;
}

auto keeper_loop::reports() -> std::vector<wire::TargetReport> {
    auto all = std::vector<wire::TargetReport>{};
    const auto now = monotonic_now();
    for (const auto& [id, target] : m_keeper.targets) {
        auto report = to_wire(make_report(m_keeper, id, now));
        report.set_in_flight(target.in_flight);
        report.set_waiting(target.waiting);
        all.push_back(std::move(report));
    }
    return all;
}

auto keeper_loop::send_reports(instant now) -> void {
    auto message = wire::KeeperReport{};
    message.set_keeper(m_keeper.self.value());
    for (auto& [id, target] : m_keeper.targets) {
        auto& state = m_bookkeeping[id];
        const auto closing = !releasing_shards(target).empty();
        if (!target.changed && !closing && now < state.next_report) {
            continue;
        }
        auto report = to_wire(make_report(m_keeper, id, now));
        const auto in_phase = report.in_phase_ms();
        report.set_in_phase_ms(0);
        auto text = report.SerializeAsString();
        if (!target.changed && text == state.last_report && now < state.next_report) {
            continue;
        }
        report.set_in_phase_ms(in_phase);
        state.last_report = std::move(text);
        state.next_report = now + report_period;
        target.changed = false;
        *message.add_targets() = std::move(report);
    }
    if (message.targets().empty()) {
        return;
    }
    for (const auto& address : live_controllers()) {
        m_instance.peers.call<wire::KeeperReport, wire::KeeperReportReply>(
            address, &wire::Peer::StubInterface::async_interface::Report, message, rpc_timeout,
            [this, message](const grpc::Status& status, const wire::KeeperReportReply&) {
                if (status.ok()) {
                    return;
                }
                // The delivery failed: schedules an early repeat of these reports.
                for (const auto& each : message.targets()) {
                    if (const auto state = m_bookkeeping.find(target_id{each.target()});
                        state != m_bookkeeping.end()) {
                        state->second.next_report =
                            std::min(state->second.next_report, monotonic_now() + retry_period);
                    }
                }
            });
    }
}

auto keeper_loop::answer_handover(const wire::HandoverRequest& request,
                                  std::function<void(wire::HandoverReply)> done) -> void {
    const auto id = target_id{request.target()};
    if (request.predecessor() != m_instance.self.value()) {
        auto reply = wire::HandoverReply{};
        reply.set_stopped(true);
        done(std::move(reply));
        return;
    }
    if (hand_over(m_keeper, id, request.epoch())) {
        release_targets({id});
    }
    m_instance.forwarding->export_operations(id, std::move(done));
}

} // namespace teaselcross
