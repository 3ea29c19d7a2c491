#include "keeper/keeper_service.h"

#include "http/fields.h"
#include "keeper/refusal.h"
#include "logging/log.h"
#include "ownership/object_keys.h"
#include "runtime/clock.h"
#include "store/await_store.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace asio::experimental::awaitable_operators;

namespace {

constexpr auto stall_timeout = duration{std::chrono::seconds{5}};
/// The answers of operations are recorded in full, so they are read in full, up to this size in bytes.
constexpr auto operation_answer_limit = std::size_t{1024} * 1024;

auto parse_number(const http_request& request, const char* name) -> std::optional<std::uint64_t> {
    const auto text = request[name];
    auto value = std::uint64_t{0};
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || read.ec != std::errc{}) {
        return std::nullopt;
    }
    return value;
}

auto is_not_run(const open_answer& answer) -> bool {
    return answer.header()[fields::outcome] == name_in(outcome_names, outcome::not_run);
}

auto retry_elsewhere_refusal(const std::string& reason) -> request_refusal {
    return {.request_outcome = outcome::not_run,
            .reason = reason,
            .text = "This instance may not send the request to its target at present.",
            .retry_elsewhere = true,
            .retry_after = {}};
}

auto make_admission_refusal(const admission_rejection& rejection) -> request_refusal {
    const auto elsewhere = rejection.reason == admission_refusal::target_leaving;
    return {.request_outcome = outcome::not_run,
            .reason = std::string{name_in(admission_refusal_names, rejection.reason)},
            .text = "The target has no free slot for the request before its deadline.",
            .retry_elsewhere = elsewhere,
            .retry_after = std::max(rejection.retry_after, duration{std::chrono::milliseconds{1}})};
}

auto answer_lost_refusal() -> request_refusal {
    return {.request_outcome = outcome::unknown,
            .reason = "answer_lost",
            .text =
                "The request was sent to its target, but no complete answer was received. It may have run.",
            .retry_elsewhere = false,
            .retry_after = {}};
}

} // namespace

struct keeper_service::forwarded_request {
    http_request message;
    std::shared_ptr<target_gate> gate;
    std::optional<shard_id> shard;
    std::string operation; ///< ID of the operation; empty for idempotent requests.
    bool first_send = false;
    std::string caller;
    instant deadline{};
};

/// A slot at the target, released on destruction.
class keeper_service::slot_guard {
public:
    slot_guard(std::shared_ptr<target_gate> gate, admitted_request admitted)
        : m_gate{std::move(gate)}, m_admitted{admitted} {}
    slot_guard(const slot_guard&) = delete;
    auto operator=(const slot_guard&) -> slot_guard& = delete;
    ~slot_guard() { m_gate->finish(m_admitted, m_succeeded, monotonic_now()); }

    auto set_succeeded() -> void { m_succeeded = true; }

private:
    std::shared_ptr<target_gate> m_gate;
    admitted_request m_admitted;
    bool m_succeeded = false;
};

keeper_service::keeper_service(executor_thread& forward_thread, store_client& store, connection_pool& pool,
                               metrics& metrics_registry, std::string process,
                               target_failure_handler on_target_failure)
    : m_forward_thread{forward_thread}, m_store{store}, m_pool{pool}, m_metrics{metrics_registry},
      m_process{std::move(process)}, m_on_target_failure{std::move(on_target_failure)} {}

auto keeper_service::find(const target_id& target) const -> std::shared_ptr<target_gate> {
    const auto found = m_gates.find(target);
    return found == m_gates.end() ? nullptr : found->second;
}

auto keeper_service::handle(responder& connection, http_request request) -> asio::awaitable<bool> {
    auto parsed = forwarded_request{};
    const auto refuse = [&](const request_refusal& refusal) {
        return write_answer(connection, refusal_answer(parsed.message, refusal));
    };
    const auto target = target_id{std::string{request[fields::target]}};
    const auto remaining = parse_number(request, fields::deadline_ms).value_or(0);
    if (const auto shard = parse_number(request, fields::shard)) {
        parsed.shard = shard_id{static_cast<std::uint32_t>(*shard)};
    }
    parsed.operation = std::string{request[fields::idempotency_key]};
    parsed.first_send = request[fields::first_send] == "yes";
    parsed.caller = std::string{request[fields::caller]};
    parsed.deadline = monotonic_now() + std::chrono::milliseconds{remaining};
    parsed.message = std::move(request);
    parsed.gate = find(target);
    if (!parsed.gate) {
        co_return co_await refuse(retry_elsewhere_refusal("not_the_keeper"));
    }
    if (!parsed.operation.empty()) {
        co_return co_await run_operation(connection, parsed);
    }
    if (!parsed.gate->may_send(parsed.shard, monotonic_now())) {
        co_return co_await refuse(retry_elsewhere_refusal("not_granted"));
    }
    const auto result = co_await (run_idempotent(connection, parsed) || connection.wait_for_disconnect());
    // If the entry disconnects, the request is cancelled and its connection to the target is closed.
    co_return result.index() == 0 && std::get<0>(result);
}

auto keeper_service::run_idempotent(responder& connection, forwarded_request& request)
    -> asio::awaitable<bool> {
    const auto arrived = monotonic_now();
    auto admitted = co_await request.gate->admit(request.shard, request.caller, request.deadline);
    if (!admitted) {
        co_return co_await write_answer(
            connection, refusal_answer(request.message, make_admission_refusal(admitted.error())));
    }
    auto guard = std::make_unique<slot_guard>(request.gate, *admitted);
    m_metrics.time(timing::keeper_queue, monotonic_now() - arrived);
    if (!request.gate->may_send(request.shard, monotonic_now())) {
        guard.reset();
        co_return co_await write_answer(
            connection, refusal_answer(request.message, retry_elsewhere_refusal("not_granted")));
    }
    // An idempotent request may safely run twice. If the target is lost, the request is better retried at
    // the key's next owner than left waiting.
    auto first_completed = co_await (send_to_target(request) || request.gate->wait_for_target_loss());
    auto answer = first_completed.index() == 0 ? std::move(std::get<0>(first_completed))
                                               : tl::unexpected(exchange_error::lost);
    if (!answer) {
        guard.reset();
        const auto refusal = answer.error() == exchange_error::lost
                                 ? answer_lost_refusal()
                                 : retry_elsewhere_refusal("target_refused");
        co_return co_await write_answer(connection, refusal_answer(request.message, refusal));
    }
    if (is_not_run(*answer)) {
        guard.reset();
        end_exchange(m_pool, std::move(*answer));
        co_return co_await write_answer(
            connection, refusal_answer(request.message, retry_elsewhere_refusal("target_not_run")));
    }
    if (answer->complete) {
        guard->set_succeeded();
        guard.reset();
        const auto sent = co_await stream_answer(connection, *answer, {.stall_timeout = stall_timeout});
        end_exchange(m_pool, std::move(*answer));
        co_return sent;
    }
    const auto sent = co_await stream_answer(connection, *answer, {.stall_timeout = stall_timeout});
    if (sent) {
        guard->set_succeeded();
        end_exchange(m_pool, std::move(*answer));
    } else {
        m_metrics.count(counter::cut_answers);
    }
    co_return sent;
}

auto keeper_service::send_to_target(forwarded_request& request)
    -> asio::awaitable<tl::expected<open_answer, exchange_error>> {
    const auto& view = request.gate->view();
    auto message = request.message;
    const auto now = monotonic_now();
    const auto remaining = std::max(duration{std::chrono::milliseconds{1}}, request.deadline - now);
    message.set(fields::deadline_ms,
                std::to_string(std::chrono::ceil<std::chrono::milliseconds>(remaining).count()));
    message.set(fields::epoch, std::to_string(view.epoch));
    message.erase(fields::fence);
    if (request.shard) {
        message.set(fields::fence, std::to_string(view.granted.at(*request.shard)));
    }
    message.set(http::field::host, view.address.host);
    message.keep_alive(true);
    const auto id = std::string{message[fields::request_id]};
    const auto target = view.target;
    const auto limits = exchange_limits{.answer_timeout = remaining,
                                        .stall_timeout = std::min(stall_timeout, remaining),
                                        .buffered_body_limit = request.operation.empty()
                                                                   ? exchange_limits{}.buffered_body_limit
                                                                   : operation_answer_limit};
    m_metrics.count(counter::attempts);
    auto answer = co_await begin_exchange(m_pool, view.address, std::move(message), limits);
    m_metrics.time(timing::target, monotonic_now() - now);
    if (!answer) {
        request.gate->on_connection_lost(monotonic_now());
        m_on_target_failure(target);
        co_return tl::unexpected(answer.error());
    }
    if (answer->header()[fields::request_id] != id) {
        // The answer belongs to another request: request and answer are out of step on this connection, so
        // it is closed.
        log::error("answer_mismatched", {{"target", target}, {"request", id}});
        co_return tl::unexpected(exchange_error::lost);
    }
    co_return std::move(*answer);
}

auto keeper_service::run_operation(responder& connection, forwarded_request& request)
    -> asio::awaitable<bool> {
    auto& operations = request.gate->operations();
    const auto send_recorded_answer = [&] {
        const auto& recorded = answer_of(operations, request.operation);
        auto answer = http_response{static_cast<http::status>(recorded.status), request.message.version()};
        answer.set(http::field::content_type, recorded.content_type);
        answer.set(fields::request_id, request.message[fields::request_id]);
        answer.body() = recorded.body;
        answer.prepare_payload();
        m_metrics.count(counter::repeated_answers);
        return write_answer(connection, std::move(answer));
    };
    if (!request.gate->view().live) {
        co_return co_await write_answer(
            connection, refusal_answer(request.message, retry_elsewhere_refusal("target_not_live")));
    }
    auto verdict =
        begin_operation(operations, request.operation, request.first_send, monotonic_now(), wall_now());
    if (verdict == operation_verdict::join) {
        m_metrics.count(counter::joined_operations);
        co_await request.gate->wait_for_operation(request.operation, request.deadline);
        const auto record = operations.records.find(request.operation);
        const auto finished =
            record != operations.records.end() && record->second.state == operation_state::finished;
        // The first attempt may still be running at the deadline, or it did not run and a later request may
        // run it. Until then the outcome is unknown.
        verdict = finished ? operation_verdict::answer : operation_verdict::answer_unknown;
    }
    switch (verdict) {
    case operation_verdict::run:
        co_return co_await run_new_operation(connection, request, false);
    case operation_verdict::create_intent:
        co_return co_await run_new_operation(connection, request, true);
    case operation_verdict::answer:
        co_return co_await send_recorded_answer();
    case operation_verdict::refuse_full: {
        auto refusal = retry_elsewhere_refusal("operation_memory_full");
        refusal.retry_elsewhere = false;
        refusal.retry_after = std::chrono::seconds{1};
        co_return co_await write_answer(connection, refusal_answer(request.message, refusal));
    }
    case operation_verdict::join:
    case operation_verdict::answer_unknown:
        break;
    }
    const auto refusal =
        request_refusal{.request_outcome = outcome::unknown,
                        .reason = "operation_unknown",
                        .text = "The operation may have run before. It is not run again with the same ID.",
                        .retry_elsewhere = false,
                        .retry_after = {}};
    co_return co_await write_answer(connection, refusal_answer(request.message, refusal));
}

auto keeper_service::run_new_operation(responder& connection, forwarded_request& request, bool needs_intent)
    -> asio::awaitable<bool> {
    auto& gate = *request.gate;
    auto& operations = gate.operations();
    const auto& id = request.operation;
    auto intent_recorded = !needs_intent && !parse_issued(id);
    const auto answer_not_run = [&](const request_refusal& refusal) {
        operation_not_run(operations, id, intent_recorded, monotonic_now());
        gate.wake_operation(id);
        return write_answer(connection, refusal_answer(request.message, refusal));
    };
    const auto answer_unknown = [&](const request_refusal& refusal) {
        operation_lost(operations, id, monotonic_now());
        gate.wake_operation(id);
        return write_answer(connection, refusal_answer(request.message, refusal));
    };
    if (!gate.may_send(request.shard, monotonic_now())) {
        co_return co_await answer_not_run(retry_elsewhere_refusal("not_granted"));
    }
    if (needs_intent) {
        const auto created = co_await create_intent(request);
        if (created == store_status::conflict) {
            auto refusal = answer_lost_refusal();
            refusal.reason = "operation_unknown";
            co_return co_await answer_unknown(refusal);
        }
        if (created != store_status::ok) {
            auto refusal = retry_elsewhere_refusal("store_unavailable");
            refusal.retry_elsewhere = false;
            refusal.retry_after = std::chrono::seconds{1};
            co_return co_await answer_not_run(refusal);
        }
        intent_recorded = true;
    }
    auto admitted = co_await gate.admit(request.shard, request.caller, request.deadline);
    if (!admitted) {
        co_return co_await answer_not_run(make_admission_refusal(admitted.error()));
    }
    auto guard = std::make_unique<slot_guard>(request.gate, *admitted);
    if (!gate.may_send(request.shard, monotonic_now())) {
        guard.reset();
        co_return co_await answer_not_run(retry_elsewhere_refusal("not_granted"));
    }
    auto answer = co_await send_to_target(request);
    if (!answer) {
        guard.reset();
        if (answer.error() == exchange_error::lost) {
            co_return co_await answer_unknown(answer_lost_refusal());
        }
        co_return co_await answer_not_run(retry_elsewhere_refusal("target_refused"));
    }
    if (is_not_run(*answer)) {
        guard.reset();
        end_exchange(m_pool, std::move(*answer));
        co_return co_await answer_not_run(retry_elsewhere_refusal("target_not_run"));
    }
    if (!answer->complete) {
        guard.reset();
        co_return co_await answer_unknown(answer_lost_refusal());
    }
    guard->set_succeeded();
    guard.reset();
    operation_finished(operations, id,
                       {.status = answer->status(),
                        .content_type = std::string{answer->header()[http::field::content_type]},
                        .body = answer->body},
                       monotonic_now());
    gate.wake_operation(id);
    const auto sent = co_await stream_answer(connection, *answer, {.stall_timeout = stall_timeout});
    end_exchange(m_pool, std::move(*answer));
    co_return sent;
}

auto keeper_service::create_intent(const forwarded_request& request) -> asio::awaitable<store_status> {
    auto call = store_call{};
    call.kind = store_call_kind::create;
    call.key = object_keys::intent(request.gate->view().service, request.operation);
    call.value = m_process + "/" + std::to_string(m_next_intent++);
    const auto token = call.value;
    auto reply = co_await await_store(m_store, m_forward_thread, call);
    if (reply.status != store_status::unknown && reply.status != store_status::conflict) {
        co_return reply.status;
    }
    // The reply may have been lost after the write took effect: the token tells whether the intent is from
    // this call.
    call.kind = store_call_kind::get;
    call.value.clear();
    reply = co_await await_store(m_store, m_forward_thread, call);
    if (reply.status == store_status::ok) {
        co_return reply.objects.front().value == token ? store_status::ok : store_status::conflict;
    }
    co_return store_status::unavailable;
}

auto keeper_service::update_target(const keeper_view& view) -> void {
    auto& gate = m_gates[view.target];
    const auto now = monotonic_now();
    if (!gate || gate->view().epoch < view.epoch) {
        if (gate) {
            gate->close();
            m_closed_gates[view.target] = gate;
        }
        gate = std::make_shared<target_gate>(m_forward_thread.context().get_executor(), view, m_metrics, now);
    } else if (gate->view().epoch == view.epoch) {
        gate->update(view, now);
    }
}

auto keeper_service::close_target(const target_id& target) -> void {
    if (const auto found = m_gates.extract(target)) {
        found.mapped()->close();
        m_closed_gates[target] = found.mapped();
    }
}

auto keeper_service::import_operations(const target_id& target, const operation_handover& handover) -> void {
    if (const auto gate = find(target)) {
        gate->import_operations(handover, monotonic_now());
    }
}

auto keeper_service::export_operations(const target_id& target) -> operation_handover {
    const auto found = m_closed_gates.find(target);
    if (found != m_closed_gates.end()) {
        return found->second->export_operations();
    }
    return {.stopped = !m_gates.contains(target),
            .in_flight = 0,
            .limit = 0,
            .memory_since = wall_time::max(),
            .records = {}};
}

auto keeper_service::tick(instant now) -> void {
    for (const auto& [target, gate] : m_gates) {
        gate->tick(now);
    }
}

auto keeper_service::target_loads() const -> std::vector<target_load> {
    auto all = std::vector<target_load>{};
    for (const auto& [target, gate] : m_gates) {
        all.push_back(gate->current_load());
    }
    return all;
}

} // namespace teaselcross
