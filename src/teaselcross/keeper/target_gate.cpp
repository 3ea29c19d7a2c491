#include "keeper/target_gate.h"

#include "logging/log.h"
#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace teaselcross {

namespace asio = boost::asio;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

auto make_warmth_options(const keeper_view& view) -> warmup_options {
    return {.slots = view.slots, .cold_slots = view.cold_slots, .step_completions = view.warm_up_requests};
}

} // namespace

target_gate::target_gate(asio::any_io_executor executor, const keeper_view& view, metrics& metrics_registry,
                         instant now)
    : m_executor{std::move(executor)}, m_metrics{metrics_registry}, m_view{view},
      m_operations{make_operation_table({}, view.durable_intents, view.memory_since)} {
    m_queue.warmup = make_warmup(make_warmth_options(view), now);
    m_queue.queue_limit = view.queue_limit;
}

auto target_gate::update(const keeper_view& view, instant now) -> void {
    const auto new_process =
        view.incarnation != 0 && m_view.incarnation != 0 && view.incarnation != m_view.incarnation;
    if (new_process) {
        reset_to_cold(m_queue.warmup, cold_cause::new_process, now);
        m_metrics.count(counter::target_coolings);
        log::info("target_cooled", {{"target", view.target}, {"why", "new_process"}});
    }
    if (view.memory_since != m_view.memory_since) {
        m_operations.memory_since = std::max(m_operations.memory_since, view.memory_since);
    }
    const auto lost = m_view.live && !view.live;
    const auto incarnation = view.incarnation != 0 ? view.incarnation : m_view.incarnation;
    m_view = view;
    m_view.incarnation = incarnation;
    m_queue.warmup.options.slots = view.slots;
    m_queue.warmup.options.cold_slots = view.cold_slots;
    m_queue.warmup.options.step_completions = view.warm_up_requests;
    m_queue.warmup.limit = std::min(m_queue.warmup.limit, view.slots);
    m_queue.queue_limit = view.queue_limit;
    m_operations.durable_intents = view.durable_intents;
    if (lost) {
        reject_waiting(now);
    }
}

auto target_gate::reject_waiting(instant now) -> void {
    auto result = drop_waiting(m_queue);
    const auto started = on_tick(m_queue, now);
    result.start = started.start;
    apply(result);
    for (auto& each : m_loss_waiters) {
        each.cancel();
    }
}

auto target_gate::wait_for_target_loss() -> asio::awaitable<void> {
    const auto position =
        m_loss_waiters.emplace(m_loss_waiters.end(), m_executor, asio::steady_timer::time_point::max());
    const auto erase_on_exit =
        std::shared_ptr<void>{nullptr, [this, position](void*) { m_loss_waiters.erase(position); }};
    co_await position->async_wait(as_result);
}

auto target_gate::close() -> void {
    m_closed = true;
    // Requests in flight run to their normal end; waiting ones are refused and can go elsewhere.
    apply(close_queue(m_queue));
}

auto target_gate::may_send(std::optional<shard_id> shard, instant now) const -> bool {
    if (m_closed || !m_view.live || now >= m_view.serving_until) {
        return false;
    }
    return shard ? m_view.granted.contains(*shard) : !m_view.draining;
}

auto target_gate::admit(std::optional<shard_id> shard, const std::string& caller, instant deadline)
    -> asio::awaitable<tl::expected<admitted_request, admission_rejection>> {
    const auto number = request_number{m_next_number++};
    auto waiting = std::make_shared<waiter>(m_executor);
    waiting->timer.expires_at(asio::steady_timer::time_point::max());
    m_waiters[static_cast<std::uint64_t>(number)] = waiting;
    adjust_shard_count(shard, 1);
    apply(submit(m_queue, {.number = number, .caller = caller, .deadline = deadline}, monotonic_now()));
    if (!waiting->started && !waiting->rejection) {
        co_await waiting->timer.async_wait(as_result);
    }
    m_waiters.erase(static_cast<std::uint64_t>(number));
    const auto now = monotonic_now();
    if (!waiting->started && !waiting->rejection) {
        // The wait was cancelled because the caller has disconnected.
        apply(withdraw(m_queue, number, now));
        waiting->rejection =
            admission_rejection{.reason = admission_refusal::deadline_passed, .retry_after = {}};
    }
    if (waiting->rejection) {
        adjust_shard_count(shard, -1);
        co_return tl::unexpected(*waiting->rejection);
    }
    co_return admitted_request{.number = number, .shard = shard, .started = now};
}

auto target_gate::finish(const admitted_request& request, bool succeeded, instant now) -> void {
    const auto limit = m_queue.warmup.limit;
    apply(teaselcross::finish(m_queue, request.number, succeeded, now));
    adjust_shard_count(request.shard, -1);
    if (m_queue.warmup.limit < limit) {
        m_metrics.count(counter::target_coolings);
        log::info("target_cooled", {{"target", m_view.target},
                                    {"why", name_in(cold_cause_names, m_queue.warmup.last_cold_cause)}});
    }
}

auto target_gate::on_connection_lost(instant now) -> void {
    if (m_queue.warmup.limit > m_queue.warmup.options.cold_slots) {
        reset_to_cold(m_queue.warmup, cold_cause::failures, now);
        m_metrics.count(counter::target_coolings);
        log::info("target_cooled", {{"target", m_view.target}, {"why", "connection_lost"}});
    }
}

auto target_gate::tick(instant now) -> void {
    apply(on_tick(m_queue, now));
}

auto target_gate::wait_for_operation(const std::string& id, instant deadline) -> asio::awaitable<void> {
    auto timer = std::make_shared<asio::steady_timer>(m_executor);
    timer->expires_after(std::max(duration{0}, deadline - monotonic_now()));
    m_operation_waiters[id].push_back(timer);
    co_await timer->async_wait(as_result);
}

auto target_gate::wake_operation(const std::string& id) -> void {
    if (const auto found = m_operation_waiters.extract(id)) {
        for (const auto& timer : found.mapped()) {
            timer->cancel();
        }
    }
}

auto target_gate::current_load() const -> target_load {
    auto load = target_load{.target = m_view.target,
                            .warmth = warm_fraction(m_queue.warmup),
                            .in_flight = static_cast<std::uint32_t>(m_queue.in_flight.size()),
                            .waiting = static_cast<std::uint32_t>(m_queue.waiting.size()),
                            .drained = {}};
    for (const auto& closing : m_view.closing) {
        if (!m_shard_requests.contains(closing.shard)) {
            load.drained.push_back(closing);
        }
    }
    return load;
}

auto target_gate::export_operations() const -> operation_handover {
    return {.stopped = m_closed && m_queue.in_flight.empty(),
            .in_flight = static_cast<std::uint32_t>(m_queue.in_flight.size()),
            .limit = m_queue.warmup.limit,
            .memory_since = m_operations.memory_since,
            .records = m_operations.records};
}

auto target_gate::import_operations(const operation_handover& handover, instant now) -> void {
    m_operations.memory_since = handover.memory_since;
    for (const auto& [id, record] : handover.records) {
        switch (record.state) {
        case operation_state::finished:
            operation_finished(m_operations, id, record.answer, now);
            break;
        case operation_state::not_run:
            operation_not_run(m_operations, id, true, now);
            break;
        case operation_state::running:
        case operation_state::unknown:
            operation_lost(m_operations, id, now);
            break;
        }
    }
    m_queue.warmup.limit = std::clamp(handover.limit, m_queue.warmup.limit, m_queue.warmup.options.slots);
}

auto target_gate::apply(const admission_result& result) -> void {
    for (const auto number : result.start) {
        if (const auto found = m_waiters.find(static_cast<std::uint64_t>(number)); found != m_waiters.end()) {
            found->second->started = true;
            found->second->timer.cancel();
        }
    }
    for (const auto& dropped : result.drop) {
        const auto found = m_waiters.find(static_cast<std::uint64_t>(dropped.number));
        if (found != m_waiters.end()) {
            found->second->rejection = dropped.rejection;
            found->second->timer.cancel();
        }
    }
}

auto target_gate::adjust_shard_count(std::optional<shard_id> shard, int by) -> void {
    if (!shard) {
        return;
    }
    auto& count = m_shard_requests[*shard];
    count = static_cast<std::uint32_t>(static_cast<int>(count) + by);
    if (count == 0) {
        m_shard_requests.erase(*shard);
    }
}

} // namespace teaselcross
