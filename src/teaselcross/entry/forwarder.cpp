#include "entry/forwarder.h"

#include "logging/log.h"
#include "runtime/clock.h"

namespace teaselcross {

namespace {

constexpr auto tick_period = std::chrono::milliseconds{10};
constexpr auto measure_period = duration{std::chrono::milliseconds{50}};
/// Forwarded requests carry more header fields than callers'.
constexpr auto extra_header = 4096U;
constexpr auto instance_connections = 100'000U;
constexpr auto pool_idle_per_peer = std::size_t{130};

auto to_wire(const handed_operations& handed) -> wire::HandoverReply {
    auto reply = wire::HandoverReply{};
    reply.set_stopped(handed.stopped);
    reply.set_in_flight(handed.in_flight);
    reply.set_limit(handed.limit);
    reply.set_remembered(handed.memory_since != wall_time::max());
    reply.set_memory_since_ms(handed.memory_since.count());
    if (!handed.stopped) {
        return reply;
    }
    for (const auto& [id, record] : handed.records) {
        auto* const added = reply.add_operations();
        added->set_id(id);
        added->set_state(static_cast<std::uint32_t>(record.state));
        added->set_status(record.answer.status);
        added->set_content_type(record.answer.content_type);
        added->set_body(record.answer.body);
    }
    return reply;
}

auto from_wire(const wire::HandoverReply& reply) -> handed_operations {
    auto handed = handed_operations{.stopped = reply.stopped(),
                                    .in_flight = reply.in_flight(),
                                    .limit = reply.limit(),
                                    .memory_since = wall_time{reply.memory_since_ms()},
                                    .records = {}};
    for (const auto& each : reply.operations()) {
        handed.records[each.id()] = {
            .state = static_cast<operation_state>(each.state()),
            .answer = {.status = each.status(), .content_type = each.content_type(), .body = each.body()},
            .finished = {}};
    }
    return handed;
}

} // namespace

forwarder::forwarder(const settings& options, duty& forward, duty& control, store_client& store,
                     metrics& measured, std::uint64_t process_token, forwarder_reports reports)
    : m_forward{forward}, m_control{control}, m_reports{std::move(reports)},
      m_pool{forward.context().get_executor(), {.idle_per_peer = pool_idle_per_peer}},
      m_keeper{forward,
               store,
               m_pool,
               measured,
               options.instance.value() + "/" + std::to_string(process_token),
               [this](const target_id& target) {
                   static_cast<void>(m_control.try_post([this, target] { m_reports.trouble(target); }));
               }},
      m_entry{forward, m_pool, measured, process_token},
      m_callers{forward.context().get_executor(),
                {.host = options.host,
                 .port = options.ports.caller,
                 .header_limit = options.header_limit,
                 .body_limit = options.body_limit,
                 .connection_limit = options.caller_connections},
                [this](server_connection& from, http_request request) {
                    return m_entry.handle(from, std::move(request));
                }},
      m_instances{forward.context().get_executor(),
                  {.host = options.host,
                   .port = options.ports.forward,
                   .header_limit = options.header_limit + extra_header,
                   .body_limit = options.body_limit,
                   .connection_limit = instance_connections},
                  [this](server_connection& from, http_request request) {
                      return m_keeper.handle(from, std::move(request));
                  }},
      m_timer{forward.context()} {}

auto forwarder::start() -> void {
    m_callers.start();
    m_instances.start();
    tick();
}

auto forwarder::tick() -> void {
    const auto now = monotonic_now();
    m_keeper.tick(now);
    if (now >= m_next_measure) {
        m_next_measure = now + measure_period;
        // Figures that do not fit into the ring are replaced by the next ones.
        static_cast<void>(
            m_control.try_post([this, measures = m_keeper.measures()] { m_reports.measures(measures); }));
    }
    if (m_stopped && m_callers.busy() == 0 && m_instances.busy() == 0) {
        static_cast<void>(m_control.try_post(std::exchange(m_stopped, {})));
    }
    m_timer.expires_after(tick_period);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            tick();
        }
    });
}

auto forwarder::publish(std::shared_ptr<const routing> routes) -> void {
    static_cast<void>(m_forward.try_post([this, routes = std::move(routes)] { m_entry.publish(routes); }));
}

auto forwarder::update_kept(kept_view view) -> bool {
    return m_forward.try_post([this, view = std::move(view)] { m_keeper.update(view); });
}

auto forwarder::close_kept(const target_id& target) -> void {
    // Nothing may be sent to a target that another instance keeps, so this waits for room.
    m_forward.post([this, target] { m_keeper.close(target); });
}

auto forwarder::collect_operations(const target_id& target, std::function<void(wire::HandoverReply)> done)
    -> void {
    m_forward.post([this, target, done = std::move(done)] {
        m_control.post([done, reply = to_wire(m_keeper.hand_over(target))] { done(reply); });
    });
}

auto forwarder::take_operations(const target_id& target, const wire::HandoverReply& reply) -> void {
    m_forward.post([this, target, handed = from_wire(reply)] { m_keeper.take_operations(target, handed); });
}

auto forwarder::stop(std::function<void()> done) -> void {
    m_forward.post([this, done = std::move(done)] {
        m_callers.stop();
        m_stopped = done;
    });
}

} // namespace teaselcross
