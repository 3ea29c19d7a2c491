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
/// Answers of operations are kept whole, so they are read whole.
constexpr auto operation_answer_limit = std::size_t{1024} * 1024;

auto number_in(const http_request& request, const char* name) -> std::optional<std::uint64_t> {
    const auto text = request[name];
    auto value = std::uint64_t{0};
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || read.ec != std::errc{}) {
        return std::nullopt;
    }
    return value;
}

auto says_not_run(const open_answer& answer) -> bool {
    return answer.header()[fields::outcome] == name_in(outcome_names, outcome::not_run);
}

auto not_here(const std::string& reason) -> refusal {
    return {.what = outcome::not_run,
            .reason = reason,
            .text = "This instance may not send the request to its target now.",
            .retry_elsewhere = true,
            .retry_after = {}};
}

auto refusal_of(const admission_rejection& rejection) -> refusal {
    const auto elsewhere = rejection.reason == admission_refusal::target_leaving;
    return {.what = outcome::not_run,
            .reason = std::string{name_in(admission_refusal_names, rejection.reason)},
            .text = "The target has no room for the request in the time that is left.",
            .retry_elsewhere = elsewhere,
            .retry_after = std::max(rejection.retry_after, duration{std::chrono::milliseconds{1}})};
}

auto lost_refusal() -> refusal {
    return {.what = outcome::unknown,
            .reason = "answer_lost",
            .text = "The request was sent to its target, and no whole answer came. It may have run.",
            .retry_elsewhere = false,
            .retry_after = {}};
}

} // namespace

struct keeper_service::forwarded {
    http_request message;
    std::shared_ptr<target_gate> gate;
    std::optional<shard_id> shard;
    std::string operation; ///< Empty for idempotent requests.
    bool first_send = false;
    std::string caller;
    instant deadline{};
};

/// A place at the target, given back when it goes out of scope.
class keeper_service::slot {
public:
    slot(std::shared_ptr<target_gate> gate, admitted_request admitted)
        : m_gate{std::move(gate)}, m_admitted{admitted} {}
    slot(const slot&) = delete;
    auto operator=(const slot&) -> slot& = delete;
    ~slot() { m_gate->finish(m_admitted, m_good, monotonic_now()); }

    auto set_good() -> void { m_good = true; }

private:
    std::shared_ptr<target_gate> m_gate;
    admitted_request m_admitted;
    bool m_good = false;
};

keeper_service::keeper_service(duty& forward, store_client& store, connection_pool& pool, metrics& measured,
                               std::string process, trouble_report trouble)
    : m_forward{forward}, m_store{store}, m_pool{pool},
      m_measured{measured}, m_process{std::move(process)}, m_trouble{std::move(trouble)} {}

auto keeper_service::find(const target_id& target) const -> std::shared_ptr<target_gate> {
    const auto found = m_gates.find(target);
    return found == m_gates.end() ? nullptr : found->second;
}

auto keeper_service::handle(server_connection& from, http_request request) -> asio::awaitable<bool> {
    auto made = forwarded{};
    const auto refuse = [&](const refusal& refused) {
        return write_answer(from, refusal_answer(made.message, refused));
    };
    const auto target = target_id{std::string{request[fields::target]}};
    const auto left = number_in(request, fields::deadline_ms).value_or(0);
    if (const auto shard = number_in(request, fields::shard)) {
        made.shard = shard_id{static_cast<std::uint32_t>(*shard)};
    }
    made.operation = std::string{request[fields::idempotency_key]};
    made.first_send = request[fields::first_send] == "yes";
    made.caller = std::string{request[fields::caller]};
    made.deadline = monotonic_now() + std::chrono::milliseconds{left};
    made.message = std::move(request);
    made.gate = find(target);
    if (!made.gate) {
        co_return co_await refuse(not_here("not_the_keeper"));
    }
    if (!made.operation.empty()) {
        co_return co_await run_operation(from, made);
    }
    if (!made.gate->may_send(made.shard, monotonic_now())) {
        co_return co_await refuse(not_here("not_granted"));
    }
    const auto result = co_await (run_read(from, made) || wait_for_disconnect(from));
    // When the entry has gone, the target's connection is closed with the request that was cancelled.
    co_return result.index() == 0 && std::get<0>(result);
}

auto keeper_service::run_read(server_connection& from, forwarded& request) -> asio::awaitable<bool> {
    const auto arrived = monotonic_now();
    auto admitted = co_await request.gate->admit(request.shard, request.caller, request.deadline);
    if (!admitted) {
        co_return co_await write_answer(from, refusal_answer(request.message, refusal_of(admitted.error())));
    }
    auto place = std::make_unique<slot>(request.gate, *admitted);
    m_measured.time(timing::keeper_queue, monotonic_now() - arrived);
    if (!request.gate->may_send(request.shard, monotonic_now())) {
        place.reset();
        co_return co_await write_answer(from, refusal_answer(request.message, not_here("not_granted")));
    }
    // A read does no harm where it may still run; it is better tried at the key's next owner.
    auto raced = co_await (dispatch(request) || request.gate->target_lost());
    auto answer = raced.index() == 0 ? std::move(std::get<0>(raced)) : tl::unexpected(exchange_error::lost);
    if (!answer) {
        place.reset();
        const auto refused =
            answer.error() == exchange_error::lost ? lost_refusal() : not_here("target_refused");
        co_return co_await write_answer(from, refusal_answer(request.message, refused));
    }
    if (says_not_run(*answer)) {
        place.reset();
        end_exchange(m_pool, std::move(*answer));
        co_return co_await write_answer(from, refusal_answer(request.message, not_here("target_not_run")));
    }
    if (answer->complete) {
        place->set_good();
        place.reset();
        const auto sent = co_await stream_answer(from, *answer, stall_timeout);
        end_exchange(m_pool, std::move(*answer));
        co_return sent;
    }
    const auto sent = co_await stream_answer(from, *answer, stall_timeout);
    if (sent) {
        place->set_good();
        end_exchange(m_pool, std::move(*answer));
    } else {
        m_measured.count(counter::cut_answers);
    }
    co_return sent;
}

auto keeper_service::dispatch(forwarded& request)
    -> asio::awaitable<tl::expected<open_answer, exchange_error>> {
    const auto& view = request.gate->view();
    auto message = request.message;
    const auto now = monotonic_now();
    const auto left = std::max(duration{std::chrono::milliseconds{1}}, request.deadline - now);
    message.set(fields::deadline_ms,
                std::to_string(std::chrono::ceil<std::chrono::milliseconds>(left).count()));
    message.set(fields::epoch, std::to_string(view.epoch));
    message.erase(fields::fence);
    if (request.shard) {
        message.set(fields::fence, std::to_string(view.granted.at(*request.shard)));
    }
    message.set(http::field::host, view.address.host);
    message.keep_alive(true);
    const auto id = std::string{message[fields::request_id]};
    const auto target = view.target;
    const auto limits = exchange_limits{.answer_timeout = left,
                                        .stall_timeout = std::min(stall_timeout, left),
                                        .buffered_body_limit = request.operation.empty()
                                                                   ? exchange_limits{}.buffered_body_limit
                                                                   : operation_answer_limit};
    m_measured.count(counter::attempts);
    auto answer = co_await begin_exchange(m_pool, view.address, std::move(message), limits);
    m_measured.time(timing::target, monotonic_now() - now);
    if (!answer) {
        request.gate->suspect_restart(monotonic_now());
        m_trouble(target);
        co_return tl::unexpected(answer.error());
    }
    if (answer->header()[fields::request_id] != id) {
        // An answer to something else: the connection is out of step and is dropped with it.
        log::error("answer_mismatched", {{"target", target}, {"request", id}});
        co_return tl::unexpected(exchange_error::lost);
    }
    co_return std::move(*answer);
}

auto keeper_service::run_operation(server_connection& from, forwarded& request) -> asio::awaitable<bool> {
    auto& operations = request.gate->operations();
    const auto answer_recorded = [&] {
        const auto& recorded = answer_of(operations, request.operation);
        auto answer = http_response{static_cast<http::status>(recorded.status), request.message.version()};
        answer.set(http::field::content_type, recorded.content_type);
        answer.set(fields::request_id, request.message[fields::request_id]);
        answer.body() = recorded.body;
        answer.prepare_payload();
        m_measured.count(counter::repeated_answers);
        return write_answer(from, std::move(answer));
    };
    if (!request.gate->view().live) {
        co_return co_await write_answer(from, refusal_answer(request.message, not_here("target_not_live")));
    }
    auto verdict =
        begin_operation(operations, request.operation, request.first_send, monotonic_now(), wall_now());
    if (verdict == operation_verdict::join) {
        m_measured.count(counter::joined_operations);
        co_await request.gate->wait_for_operation(request.operation, request.deadline);
        const auto record = operations.records.find(request.operation);
        const auto finished =
            record != operations.records.end() && record->second.state == operation_state::finished;
        // The first try may still be running, or it did not run and may be tried by whoever asks next.
        verdict = finished ? operation_verdict::answer : operation_verdict::answer_unknown;
    }
    switch (verdict) {
    case operation_verdict::run:
        co_return co_await run_new_operation(from, request, false);
    case operation_verdict::create_intent:
        co_return co_await run_new_operation(from, request, true);
    case operation_verdict::answer:
        co_return co_await answer_recorded();
    case operation_verdict::refuse_full: {
        auto refused = not_here("operation_memory_full");
        refused.retry_elsewhere = false;
        refused.retry_after = std::chrono::seconds{1};
        co_return co_await write_answer(from, refusal_answer(request.message, refused));
    }
    case operation_verdict::join:
    case operation_verdict::answer_unknown:
        break;
    }
    const auto refused =
        refusal{.what = outcome::unknown,
                .reason = "operation_unknown",
                .text = "The operation may have run before. It is not run again under this identity.",
                .retry_elsewhere = false,
                .retry_after = {}};
    co_return co_await write_answer(from, refusal_answer(request.message, refused));
}

auto keeper_service::run_new_operation(server_connection& from, forwarded& request, bool needs_intent)
    -> asio::awaitable<bool> {
    auto& gate = *request.gate;
    auto& operations = gate.operations();
    const auto& id = request.operation;
    auto intent_kept = !needs_intent && !parse_issued(id);
    const auto not_run = [&](const refusal& refused) {
        operation_not_run(operations, id, intent_kept, monotonic_now());
        gate.wake_operation(id);
        return write_answer(from, refusal_answer(request.message, refused));
    };
    const auto unknown = [&](const refusal& refused) {
        operation_lost(operations, id, monotonic_now());
        gate.wake_operation(id);
        return write_answer(from, refusal_answer(request.message, refused));
    };
    if (!gate.may_send(request.shard, monotonic_now())) {
        co_return co_await not_run(not_here("not_granted"));
    }
    if (needs_intent) {
        const auto created = co_await create_intent(request);
        if (created == store_status::conflict) {
            auto refused = lost_refusal();
            refused.reason = "operation_unknown";
            co_return co_await unknown(refused);
        }
        if (created != store_status::ok) {
            auto refused = not_here("store_unavailable");
            refused.retry_elsewhere = false;
            refused.retry_after = std::chrono::seconds{1};
            co_return co_await not_run(refused);
        }
        intent_kept = true;
    }
    auto admitted = co_await gate.admit(request.shard, request.caller, request.deadline);
    if (!admitted) {
        co_return co_await not_run(refusal_of(admitted.error()));
    }
    auto place = std::make_unique<slot>(request.gate, *admitted);
    if (!gate.may_send(request.shard, monotonic_now())) {
        place.reset();
        co_return co_await not_run(not_here("not_granted"));
    }
    auto answer = co_await dispatch(request);
    if (!answer) {
        place.reset();
        if (answer.error() == exchange_error::lost) {
            co_return co_await unknown(lost_refusal());
        }
        co_return co_await not_run(not_here("target_refused"));
    }
    if (says_not_run(*answer)) {
        place.reset();
        end_exchange(m_pool, std::move(*answer));
        co_return co_await not_run(not_here("target_not_run"));
    }
    if (!answer->complete) {
        place.reset();
        co_return co_await unknown(lost_refusal());
    }
    place->set_good();
    place.reset();
    operation_finished(operations, id,
                       {.status = answer->status(),
                        .content_type = std::string{answer->header()[http::field::content_type]},
                        .body = answer->body},
                       monotonic_now());
    gate.wake_operation(id);
    const auto sent = co_await stream_answer(from, *answer, stall_timeout);
    end_exchange(m_pool, std::move(*answer));
    co_return sent;
}

auto keeper_service::create_intent(const forwarded& request) -> asio::awaitable<store_status> {
    auto call = store_call{};
    call.kind = store_call_kind::create;
    call.key = object_keys::intent(request.gate->view().service, request.operation);
    call.value = m_process + "/" + std::to_string(m_next_intent++);
    const auto token = call.value;
    auto reply = co_await await_store(m_store, m_forward, call);
    if (reply.status != store_status::unknown && reply.status != store_status::conflict) {
        co_return reply.status;
    }
    // The reply may have been lost after the write took effect: the token tells whose intent it is.
    call.kind = store_call_kind::get;
    call.value.clear();
    reply = co_await await_store(m_store, m_forward, call);
    if (reply.status == store_status::ok) {
        co_return reply.objects.front().value == token ? store_status::ok : store_status::conflict;
    }
    co_return store_status::unavailable;
}

auto keeper_service::update(const kept_view& view) -> void {
    auto& gate = m_gates[view.target];
    const auto now = monotonic_now();
    if (!gate || gate->view().epoch < view.epoch) {
        if (gate) {
            gate->close();
            m_closed[view.target] = gate;
        }
        gate = std::make_shared<target_gate>(m_forward.context().get_executor(), view, m_measured, now);
    } else if (gate->view().epoch == view.epoch) {
        gate->update(view, now);
    }
}

auto keeper_service::close(const target_id& target) -> void {
    if (const auto found = m_gates.extract(target)) {
        found.mapped()->close();
        m_closed[target] = found.mapped();
    }
}

auto keeper_service::take_operations(const target_id& target, const handed_operations& handed) -> void {
    if (const auto gate = find(target)) {
        gate->take_over(handed, monotonic_now());
    }
}

auto keeper_service::hand_over(const target_id& target) -> handed_operations {
    const auto found = m_closed.find(target);
    if (found != m_closed.end()) {
        return found->second->hand_over();
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

auto keeper_service::measures() const -> std::vector<kept_measure> {
    auto all = std::vector<kept_measure>{};
    for (const auto& [target, gate] : m_gates) {
        all.push_back(gate->measure());
    }
    return all;
}

} // namespace teaselcross
