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
constexpr auto largest_reply = std::size_t{64} * 1024;

auto grant_body(const grant_request& request) -> std::string {
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

auto read_grant_reply(const std::string& body) -> std::optional<grant_reply> {
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

keeper_loop::keeper_loop(node& node)
    : m_node{node}, m_keeper{.self = node.self,
                             .options = node.options.keeper,
                             .targets = {},
                             .handed_over = {}},
      m_pool{node.control.context().get_executor(), {.idle_per_peer = 2}}, m_timer{node.control.context()} {}

auto keeper_loop::start() -> void {
    tick();
}

auto keeper_loop::tick() -> void {
    const auto now = monotonic_now();
    for (auto& [id, target] : m_keeper.targets) {
        tend(id, target, now);
    }
    for (const auto& [id, count] : std::exchange(m_dirty_views, {})) {
        push_view(id);
    }
    report(now);
    m_timer.expires_after(tick_period);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            tick();
        }
    });
}

auto keeper_loop::tend(const target_id& id, kept_target& target, instant now) -> void {
    const auto phase = target.grants.phase;
    on_tick(target.grants, now);
    if (!target.grants.records_fresh) {
        read_partitions(id, target, now);
    }
    if (!target.predecessors.empty()) {
        ask_predecessors(id, target, now);
    }
    if (phase != target.grants.phase) {
        target.changed = true;
        log::info("target_phase",
                  {{"target", id}, {"phase", name_in(target_phase_names, target.grants.phase)}});
        push_view(id);
    }
    const auto wanted =
        isolated(target, now) ? std::vector<granted_shard>{} : shards_to_grant(target, m_keeper.options, now);
    if (const auto request = next_request(target.grants, wanted, now)) {
        heartbeat(id, *request);
    }
}

auto keeper_loop::isolated(const kept_target& target, instant now) const -> bool {
    const auto& config = m_node.mirror.description();
    const auto service = config->services.find(target.service);
    if (service == config->services.end() || !service->second.isolation_limit) {
        return false;
    }
    return m_node.sync->contact_age(now) > *service->second.isolation_limit;
}

auto keeper_loop::on_mirror_changed(const object_mirror::changes& changed) -> void {
    const auto& config = m_node.mirror.description();
    if (!config) {
        return;
    }
    const auto now = monotonic_now();
    for (const auto& key : changed.partitions) {
        on_partition(m_keeper, m_node.mirror.partitions().at(key).object, now);
    }
    const auto table = m_node.mirror.delegations().find(m_node.options.data_centre);
    if (table != m_node.mirror.delegations().end()) {
        const auto moved = on_delegations(m_keeper, table->second.object, *config, now);
        drop(moved.dropped);
        take_up(moved.taken);
    }
    if (changed.controllers) {
        for (auto& [id, target] : m_keeper.targets) {
            target.changed = true;
        }
    }
    for (const auto& [id, target] : m_keeper.targets) {
        push_view(id);
    }
}

auto keeper_loop::on_membership_changed() -> void {
    for (auto& [id, state] : m_upkeep) {
        state.next_handover = {};
    }
}

auto keeper_loop::on_local_orders() -> void {
    for (const auto& [id, target] : m_keeper.targets) {
        push_view(id);
    }
}

auto keeper_loop::take_up(const std::vector<target_id>& taken) -> void {
    const auto now = monotonic_now();
    for (const auto& id : taken) {
        auto& target = m_keeper.targets.at(id);
        auto& state = m_upkeep[id] = {};
        log::info("target_taken", {{"target", id}, {"epoch", target.grants.epoch}});
        // The first keeper of all remembers everything there ever was.
        state.covered = target.predecessors.empty() && target.grants.epoch == 1;
        state.operations_since = state.covered ? wall_time{0} : wall_now();
        for (const auto& [key, held] : m_node.mirror.partitions()) {
            if (key.first == target.service) {
                on_partition(m_keeper, held.object, now);
            }
        }
    }
}

auto keeper_loop::drop(const std::vector<target_id>& dropped) -> void {
    for (const auto& id : dropped) {
        log::info("target_dropped", {{"target", id}});
        m_upkeep.erase(id);
        m_node.forwarding->close_kept(id);
    }
}

auto keeper_loop::read_partitions(const target_id& id, kept_target& target, instant now) -> void {
    auto& state = m_upkeep[id];
    const auto& config = m_node.mirror.description();
    const auto service = config->services.find(target.service);
    if (service == config->services.end() || !service->second.keyed()) {
        on_records_read(target.grants, now);
        return;
    }
    if (state.reading || now < state.next_read) {
        return;
    }
    state.reading = true;
    state.next_read = now + retry_period;
    auto call = store_call{};
    call.kind = store_call_kind::list;
    call.key = object_keys::partitions(target.service);
    const auto taken = m_node.store.call(
        std::move(call), m_node.control, [this, name = target.service](const store_reply& reply) {
            for (auto& [each, kept] : m_keeper.targets) {
                if (kept.service == name) {
                    m_upkeep[each].reading = false;
                }
            }
            if (reply.status != store_status::ok) {
                return;
            }
            teaselcross::on_mirror_changed(m_node, m_node.mirror.apply(reply.objects));
            on_partitions_read(m_keeper, name, reply.started);
        });
    if (!taken) {
        state.reading = false;
        return;
    }
    // One read serves all targets of the service.
    for (auto& [each, kept] : m_keeper.targets) {
        if (kept.service == target.service) {
            m_upkeep[each].reading = true;
        }
    }
}

auto keeper_loop::ask_predecessors(const target_id& id, const kept_target& target, instant now) -> void {
    auto& state = m_upkeep[id];
    if (now < state.next_handover) {
        return;
    }
    state.next_handover = now + retry_period;
    for (const auto& predecessor : target.predecessors) {
        const auto* const record = m_node.membership->find(predecessor);
        if (predecessor == m_keeper.self ||
            (record == nullptr && m_node.membership->platform_dropped(predecessor))) {
            asio::post(m_node.control.context(),
                       [this, id, predecessor] { predecessor_stopped(id, predecessor); });
            continue;
        }
        if (record == nullptr) {
            continue;
        }
        auto request = wire::HandoverRequest{};
        request.set_target(id.value());
        request.set_epoch(target.grants.epoch);
        request.set_predecessor(predecessor.value());
        m_node.peers.call<wire::HandoverRequest, wire::HandoverReply>(
            record->address, &wire::Peer::StubInterface::async_interface::Handover, std::move(request),
            rpc_timeout,
            [this, id, epoch = target.grants.epoch, asked = *record](const grpc::Status& status,
                                                                     const wire::HandoverReply& reply) {
                const auto found = m_keeper.targets.find(id);
                if (found == m_keeper.targets.end() || found->second.grants.epoch != epoch) {
                    return;
                }
                if (!status.ok()) {
                    check_gone(id, asked);
                    return;
                }
                if (!reply.stopped()) {
                    return;
                }
                if (reply.remembered() && found->second.predecessors.size() == 1) {
                    m_upkeep[id].operations_since = wall_time{reply.memory_since_ms()};
                    m_upkeep[id].covered = true;
                    m_node.forwarding->take_operations(id, reply);
                }
                predecessor_stopped(id, asked.id);
            });
    }
}

auto keeper_loop::check_gone(const target_id& id, const member& predecessor) -> void {
    asio::co_spawn(
        m_node.control.context(),
        [](keeper_loop& self, target_id target, member asked) -> asio::awaitable<void> {
            // GCC 12 destroys a braced temporary in a co_await expression twice, so it gets a name.
            const auto peer = endpoint{asked.address.host, asked.address.control_port};
            auto tried = co_await self.m_pool.acquire(peer);
            if (!tried && tried.error() == connect_error::refused) {
                self.predecessor_stopped(target, asked.id);
            }
        }(*this, id, predecessor),
        asio::detached);
}

auto keeper_loop::predecessor_stopped(const target_id& id, const instance_id& predecessor) -> void {
    if (m_keeper.targets.contains(id)) {
        log::info("predecessor_stopped", {{"target", id}, {"keeper", predecessor}});
        on_predecessor_stopped(m_keeper, id, predecessor, monotonic_now());
    }
}

auto keeper_loop::heartbeat(const target_id& id, const grant_request& request) -> void {
    const auto described = m_node.mirror.description()->targets.find(id);
    if (described == m_node.mirror.description()->targets.end()) {
        on_no_reply(m_keeper.targets.at(id).grants, monotonic_now());
        return;
    }
    auto message = http_request{http::verb::post, "/control/grant", 11};
    message.set(http::field::host, described->second.host);
    message.set(http::field::content_type, "application/json");
    message.body() = grant_body(request);
    message.prepare_payload();
    m_node.measured.count(counter::heartbeats);
    asio::co_spawn(
        m_node.control.context(),
        [](keeper_loop& self, target_id target, delegation_epoch epoch, endpoint to,
           http_request sent) -> asio::awaitable<void> {
            auto answer = co_await perform_exchange(
                self.m_pool, to, std::move(sent), self.m_keeper.options.grants.reply_timeout, largest_reply);
            self.on_heartbeat_answer(target, epoch, answer);
        }(*this, id, request.epoch, endpoint{described->second.host, described->second.port},
                              std::move(message)),
        asio::detached);
}

auto keeper_loop::on_heartbeat_answer(const target_id& id, delegation_epoch epoch,
                                      const tl::expected<http_response, exchange_error>& answer) -> void {
    const auto found = m_keeper.targets.find(id);
    if (found == m_keeper.targets.end() || found->second.grants.epoch != epoch) {
        return;
    }
    const auto now = monotonic_now();
    auto& target = found->second;
    const auto before = target.grants.incarnation;
    const auto phase = target.grants.phase;
    const auto reply = answer ? read_grant_reply(answer->body()) : std::nullopt;
    if (reply) {
        on_reply(target.grants, *reply, now);
    } else if (!answer && answer.error() == exchange_error::refused) {
        on_connection_refused(target.grants, now);
    } else {
        on_no_reply(target.grants, now);
    }
    auto& state = m_upkeep[id];
    if (target.grants.predecessors_covered && !state.covered) {
        // Whatever was issued until now may have been run by an earlier keeper.
        state.covered = true;
        state.operations_since = wall_now();
    }
    if (before != target.grants.incarnation || phase != target.grants.phase) {
        target.changed = true;
        log::info("target_phase", {{"target", id},
                                   {"phase", name_in(target_phase_names, target.grants.phase)},
                                   {"incarnation", target.grants.incarnation}});
    }
    push_view(id);
}

auto keeper_loop::push_view(const target_id& id) -> void {
    const auto& config = *m_node.mirror.description();
    const auto found = m_keeper.targets.find(id);
    const auto described = config.targets.find(id);
    if (found == m_keeper.targets.end() || described == config.targets.end()) {
        return;
    }
    const auto& target = found->second;
    const auto& state = m_upkeep[id];
    const auto service = config.services.find(target.service);
    auto view =
        kept_view{.target = id,
                  .service = target.service,
                  .epoch = target.grants.epoch,
                  .address = {described->second.host, described->second.port},
                  .incarnation = target.grants.incarnation,
                  .granted = {},
                  .closing = closing_shards(target),
                  .serving_until = serving_until(target.grants),
                  .live = target.grants.phase == target_phase::live && state.covered,
                  .leaving = !config.in_service(described->second) || m_node.local_draining.contains(id),
                  .slots = described->second.slots,
                  .cold_slots = described->second.cold_slots,
                  .warm_up_requests = described->second.warm_up_requests,
                  .operations_since = state.operations_since};
    if (service != config.services.end()) {
        view.queue_limit = service->second.queue_limit;
        view.durable_intents = service->second.operations == operation_memory::durable_intent;
    }
    for (const auto& granted : target.grants.accepted) {
        view.granted[granted.shard] = granted.fence;
    }
    for (const auto& closing : view.closing) {
        view.granted.erase(closing.shard);
    }
    if (!m_node.forwarding->update_kept(std::move(view))) {
        ++m_dirty_views[id];
    }
}

auto keeper_loop::on_measures(const std::vector<kept_measure>& measures) -> void {
    const auto now = monotonic_now();
    for (const auto& measure : measures) {
        const auto found = m_keeper.targets.find(measure.target);
        if (found == m_keeper.targets.end()) {
            continue;
        }
        found->second.warmth = measure.warmth;
        found->second.in_flight = measure.in_flight;
        found->second.waiting = measure.waiting;
        for (const auto& quiet : measure.quiet) {
            on_shard_quiet(m_keeper, measure.target, quiet.shard, quiet.fence, now);
        }
    }
}

auto keeper_loop::on_target_trouble(const target_id& target) -> void {
    const auto found = m_keeper.targets.find(target);
    if (found != m_keeper.targets.end()) {
        hasten(found->second.grants, monotonic_now());
    }
}

auto keeper_loop::live_controllers() const -> std::vector<member_address> {
    auto addresses = std::vector<member_address>{};
    for (const auto& [data_centre, object] : m_node.mirror.controllers()) {
        if (m_node.membership->is_live(object.holder)) {
            addresses.push_back(m_node.membership->find(object.holder)->address);
        }
    }
    return addresses;
}

auto keeper_loop::reports() -> std::vector<wire::TargetReport> {
    auto all = std::vector<wire::TargetReport>{};
    const auto now = monotonic_now();
    for (const auto& [id, target] : m_keeper.targets) {
        auto report = to_wire(report_on(m_keeper, id, now));
        report.set_in_flight(target.in_flight);
        report.set_waiting(target.waiting);
        all.push_back(std::move(report));
    }
    return all;
}

auto keeper_loop::report(instant now) -> void {
    auto message = wire::KeeperReport{};
    message.set_keeper(m_keeper.self.value());
    for (auto& [id, target] : m_keeper.targets) {
        auto& state = m_upkeep[id];
        const auto closing = !closing_shards(target).empty();
        if (!target.changed && !closing && now < state.next_report) {
            continue;
        }
        auto made = to_wire(report_on(m_keeper, id, now));
        const auto in_phase = made.in_phase_ms();
        made.set_in_phase_ms(0);
        auto text = made.SerializeAsString();
        if (!target.changed && text == state.last_report && now < state.next_report) {
            continue;
        }
        made.set_in_phase_ms(in_phase);
        state.last_report = std::move(text);
        state.next_report = now + report_period;
        target.changed = false;
        *message.add_targets() = std::move(made);
    }
    if (message.targets().empty()) {
        return;
    }
    for (const auto& address : live_controllers()) {
        m_node.peers.call<wire::KeeperReport, wire::KeeperReportReply>(
            address, &wire::Peer::StubInterface::async_interface::Report, message, rpc_timeout,
            [this, message](const grpc::Status& status, const wire::KeeperReportReply&) {
                if (status.ok()) {
                    return;
                }
                // What was not heard is said again.
                for (const auto& each : message.targets()) {
                    if (const auto state = m_upkeep.find(target_id{each.target()}); state != m_upkeep.end()) {
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
    if (request.predecessor() != m_node.self.value()) {
        auto reply = wire::HandoverReply{};
        reply.set_stopped(true);
        done(std::move(reply));
        return;
    }
    if (hand_over(m_keeper, id, request.epoch())) {
        drop({id});
    }
    m_node.forwarding->collect_operations(id, std::move(done));
}

} // namespace teaselcross
