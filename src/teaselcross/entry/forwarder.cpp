#include "entry/forwarder.h"

#include "logging/log.h"
#include "runtime/clock.h"

namespace teaselcross {

namespace {

constexpr auto tick_period = std::chrono::milliseconds{10};
constexpr auto load_report_period = duration{std::chrono::milliseconds{50}};
/// Forwarded requests carry more header fields than callers' requests.
constexpr auto extra_header_bytes = 4096U;
constexpr auto instance_connection_limit = 100'000U;
constexpr auto pool_idle_per_peer = std::size_t{130};

auto to_wire(const operation_handover& handover) -> wire::HandoverReply {
    auto reply = wire::HandoverReply{};
    reply.set_stopped(handover.stopped);
    reply.set_in_flight(handover.in_flight);
    reply.set_limit(handover.limit);
    reply.set_remembered(handover.memory_since != wall_time::max());
    reply.set_memory_since_ms(handover.memory_since.count());
    if (!handover.stopped) {
        return reply;
    }
    for (const auto& [id, record] : handover.records) {
        auto* const added = reply.add_operations();
        added->set_id(id);
        added->set_state(static_cast<std::uint32_t>(record.state));
        added->set_status(record.answer.status);
        added->set_content_type(record.answer.content_type);
        added->set_body(record.answer.body);
    }
    return reply;
}

auto from_wire(const wire::HandoverReply& reply) -> operation_handover {
    auto handover = operation_handover{.stopped = reply.stopped(),
                                       .in_flight = reply.in_flight(),
                                       .limit = reply.limit(),
                                       .memory_since = wall_time{reply.memory_since_ms()},
                                       .records = {}};
    for (const auto& each : reply.operations()) {
        handover.records[each.id()] = {
            .state = static_cast<operation_state>(each.state()),
            .answer = {.status = each.status(), .content_type = each.content_type(), .body = each.body()},
            .finished = {}};
    }
    return handover;
}

} // namespace

forwarder::forwarder(const settings& options, executor_thread& forward_thread,
                     executor_thread& control_thread, store_client& store, metrics& metrics_registry,
                     std::uint64_t process_token, forwarder_callbacks callbacks)
    : m_forward_thread{forward_thread}, m_control_thread{control_thread}, m_callbacks{std::move(callbacks)},
      m_pool{forward_thread.context().get_executor(), {.idle_per_peer = pool_idle_per_peer}},
      m_keeper{forward_thread,
               store,
               m_pool,
               metrics_registry,
               options.instance.value() + "/" + std::to_string(process_token),
               [this](const target_id& target) {
                   static_cast<void>(
                       m_control_thread.try_post([this, target] { m_callbacks.on_target_failure(target); }));
               }},
      m_entry{forward_thread, m_pool, metrics_registry, process_token},
      m_caller_server{forward_thread.context().get_executor(),
                      {.host = options.host,
                       .port = options.ports.caller,
                       .header_limit = options.header_limit,
                       .body_limit = options.body_limit,
                       .connection_limit = options.caller_connections},
                      [this](responder& connection, http_request request) {
                          return m_entry.handle(connection, std::move(request));
                      }},
      m_instance_server{forward_thread.context().get_executor(),
                        {.host = options.host,
                         .port = options.ports.forward,
                         .header_limit = options.header_limit + extra_header_bytes,
                         .body_limit = options.body_limit,
                         .connection_limit = instance_connection_limit},
                        [this](responder& connection, http_request request) {
                            return m_keeper.handle(connection, std::move(request));
                        }},
      m_timer{forward_thread.context()} {}

auto forwarder::start() -> void {
    m_caller_server.start();
    m_instance_server.start();
    tick();
}

auto forwarder::tick() -> void {
    const auto now = monotonic_now();
    m_keeper.tick(now);
    if (now >= m_next_load_report) {
        m_next_load_report = now + load_report_period;
        // Figures lost to a full ring are replaced by the next report.
        static_cast<void>(m_control_thread.try_post(
            [this, loads = m_keeper.target_loads()] { m_callbacks.on_target_loads(loads); }));
    }
    if (m_on_stopped && m_caller_server.busy() == 0 && m_instance_server.busy() == 0) {
        static_cast<void>(m_control_thread.try_post(std::exchange(m_on_stopped, {})));
    }
    m_timer.expires_after(tick_period);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            tick();
        }
    });
}

auto forwarder::set_routing(std::shared_ptr<const routing> routes) -> void {
    static_cast<void>(
        m_forward_thread.try_post([this, routes = std::move(routes)] { m_entry.set_routing(routes); }));
}

auto forwarder::update_target(keeper_view view) -> bool {
    return m_forward_thread.try_post([this, view = std::move(view)] { m_keeper.update_target(view); });
}

auto forwarder::close_target(const target_id& target) -> void {
    // Nothing may be sent to a target that another instance keeps, so this call must not fail: it waits for
    // space in the ring.
    m_forward_thread.post([this, target] { m_keeper.close_target(target); });
}

auto forwarder::export_operations(const target_id& target, std::function<void(wire::HandoverReply)> done)
    -> void {
    m_forward_thread.post([this, target, done = std::move(done)] {
        m_control_thread.post([done, reply = to_wire(m_keeper.export_operations(target))] { done(reply); });
    });
}

auto forwarder::import_operations(const target_id& target, const wire::HandoverReply& reply) -> void {
    m_forward_thread.post(
        [this, target, handover = from_wire(reply)] { m_keeper.import_operations(target, handover); });
}

auto forwarder::stop(std::function<void()> done) -> void {
    m_forward_thread.post([this, done = std::move(done)] {
        m_caller_server.stop();
        m_on_stopped = done;
    });
}

} // namespace teaselcross
