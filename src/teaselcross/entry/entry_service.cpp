#include "entry/entry_service.h"

#include "core/rendezvous.h"
#include "delivery/operation_id.h"
#include "http/fields.h"
#include "keeper/refusal.h"
#include "logging/log.h"
#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace asio::experimental::awaitable_operators;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr auto stall_timeout = duration{std::chrono::seconds{5}};
constexpr auto routing_wait = duration{std::chrono::milliseconds{50}};
constexpr auto max_request_time = duration{std::chrono::hours{1}};
constexpr auto retry_delay = duration{std::chrono::milliseconds{5}};
/// Part of a request's deadline that the entry reserves for its own answer.
constexpr auto answer_reserve = duration{std::chrono::milliseconds{2}};
constexpr auto operations_path = "/.teaselcross/operations/";

auto is_idempotent(http::verb method) -> bool {
    return method == http::verb::get || method == http::verb::head || method == http::verb::options;
}

/// Segment @a index of a path without its query; empty if the path is shorter.
auto path_segment(std::string_view path, std::size_t index) -> std::string_view {
    path = path.substr(0, path.find('?'));
    for (std::size_t position = 0; !path.empty(); ++position) {
        path.remove_prefix(path.front() == '/' ? 1 : 0);
        const auto segment = path.substr(0, path.find('/'));
        if (position == index) {
            return segment;
        }
        path.remove_prefix(segment.size());
    }
    return {};
}

auto error_answer(const http_request& request, http::status status, const std::string& reason,
                  const std::string& text) -> http_response {
    const auto body = nlohmann::json{{"error", text}, {"reason", reason}, {"outcome", "not-run"}};
    auto answer = json_answer(request, status, body.dump() + "\n");
    answer.set(fields::outcome, "not-run");
    answer.set(fields::reason, reason);
    return answer;
}

auto parse_milliseconds(std::string_view text) -> std::optional<duration> {
    auto value = std::int64_t{0};
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || read.ec != std::errc{} || read.ptr != text.data() + text.size() || value <= 0) {
        return std::nullopt;
    }
    constexpr auto max_milliseconds = std::int64_t{3'600'000};
    return std::chrono::milliseconds{std::min(value, max_milliseconds)};
}

} // namespace

struct entry_service::caller_request {
    http_request message;
    service_id service;
    service_description service_settings;
    std::string key;
    std::string caller;
    instant arrived{};
    attempt_state attempts;

    std::string operation;    ///< ID of the operation; empty for idempotent requests.
    bool issued_here = false; ///< This entry issued the operation ID for this request.
    target_id home;           ///< The target that an issued operation ID is bound to.
    bool was_sent = false;
    request_refusal last_refusal;
};

struct entry_service::chosen_target {
    target_id target;
    std::optional<shard_id> shard;
    instance_id keeper;
    endpoint address; ///< The keeper's address for forwarded requests.
};

struct entry_service::attempt_result {
    attempt_end end = attempt_end::not_sent;
    std::optional<open_answer> answer;
    request_refusal refusal;
};

entry_service::entry_service(executor_thread& forward_thread, connection_pool& pool,
                             metrics& metrics_registry, std::uint64_t seed)
    : m_forward_thread{forward_thread}, m_pool{pool}, m_metrics{metrics_registry}, m_next_request{seed
                                                                                                  << 20U} {
    m_chooser.random.seed(seed);
}

auto entry_service::set_routing(std::shared_ptr<const routing> routes) -> void {
    m_routes = std::move(routes);
    for (auto& each : m_routing_waiters) {
        each.cancel();
    }
}

auto entry_service::wait_for_routing(duration max_wait) -> asio::awaitable<void> {
    const auto position = m_routing_waiters.emplace(m_routing_waiters.end(), m_forward_thread.context(),
                                                    std::max(duration{0}, max_wait));
    // The destructor runs also when the request is cancelled.
    const auto erase_on_exit =
        std::shared_ptr<void>{nullptr, [this, position](void*) { m_routing_waiters.erase(position); }};
    co_await position->async_wait(as_result);
}

auto entry_service::wait_for_keeper_change(target_id target, instance_id keeper) -> asio::awaitable<void> {
    while (true) {
        const auto* const current_keeper = keeper_of(*m_routes, target);
        if (current_keeper != nullptr && current_keeper->id != keeper) {
            co_return;
        }
        co_await wait_for_routing(max_request_time);
    }
}

auto entry_service::issue_operation_id(const target_id& home) -> std::string {
    return to_text({.issued = wall_now(), .random = m_chooser.random(), .home = home});
}

auto entry_service::handle(responder& connection, http_request request) -> asio::awaitable<bool> {
    m_metrics.count(counter::requests);
    const auto path = std::string{request.target()};
    if (path.starts_with(operations_path)) {
        co_return co_await handle_issue_request(connection, request);
    }
    auto parsed = parse_request(connection, std::move(request));
    if (!parsed) {
        m_metrics.count(counter::bad_requests);
        co_return co_await write_answer(connection, std::move(parsed.error()));
    }
    on_request(m_retry_budget);
    const auto sent = co_await run(connection, *parsed);
    m_metrics.time(timing::request, monotonic_now() - parsed->arrived);
    co_return sent;
}

auto entry_service::parse_request(const responder& connection, http_request request)
    -> tl::expected<caller_request, http_response> {
    if (!m_routes) {
        return tl::unexpected(error_answer(request, http::status::service_unavailable, "no_configuration",
                                           "This instance has not received the configuration yet."));
    }
    auto parsed = caller_request{};
    const auto path = std::string_view{request.target().data(), request.target().size()};
    parsed.service = service_id{std::string{path_segment(path, 0)}};
    const auto found = m_routes->config->services.find(parsed.service);
    if (found == m_routes->config->services.end()) {
        return tl::unexpected(error_answer(request, http::status::not_found, "unknown_service",
                                           "There is no service '" + parsed.service.value() + "'."));
    }
    parsed.service_settings = found->second;
    const auto key = parsed.service_settings.key == key_source::header
                         ? std::string{request[parsed.service_settings.key_header]}
                         : std::string{path_segment(path, 1)};
    if (parsed.service_settings.is_keyed() && key.empty()) {
        return tl::unexpected(error_answer(request, http::status::bad_request, "no_key",
                                           "A request to this service must have a key."));
    }
    parsed.key = key;
    parsed.arrived = monotonic_now();
    auto remaining = parsed.service_settings.default_deadline;
    if (request.count(fields::deadline_ms) > 0) {
        const auto requested = parse_milliseconds(std::string_view{request[fields::deadline_ms]});
        if (!requested) {
            return tl::unexpected(error_answer(request, http::status::bad_request, "bad_deadline",
                                               "The deadline must be a positive number of milliseconds."));
        }
        remaining = *requested;
    }
    parsed.attempts.deadline = parsed.arrived + remaining;
    parsed.attempts.repeatable = true;
    parsed.caller =
        request.count(fields::caller) > 0 ? std::string{request[fields::caller]} : connection.remote();
    if (!is_idempotent(request.method())) {
        parsed.operation = std::string{request[fields::idempotency_key]};
        parsed.issued_here = parsed.operation.empty();
        const auto issued = parse_issued(parsed.operation);
        if (issued) {
            parsed.home = issued->home;
        } else if (!parsed.issued_here &&
                   parsed.service_settings.operations == operation_deduplication::keeper_only) {
            return tl::unexpected(
                error_answer(request, http::status::bad_request, "identity_not_issued",
                             "This service accepts only operation IDs that were issued by this system."));
        }
    }
    parsed.message = std::move(request);
    return parsed;
}

auto entry_service::select_target(caller_request& request, const target_id& excluded)
    -> std::optional<chosen_target> {
    auto chosen = chosen_target{};
    if (request.service_settings.is_keyed()) {
        const auto route = route_key(*m_routes, request.service, request.key);
        if (!route) {
            return std::nullopt;
        }
        chosen.shard = route->shard;
        chosen.target = request.home.empty() ? route->target : request.home;
        // An issued operation ID binds the request to its home target, also if the key has moved. Other
        // requests wait until a shard that is being released has its new owner.
        if (request.home.empty() && route->state != shard_state::owned) {
            return std::nullopt;
        }
    } else if (!request.home.empty()) {
        chosen.target = request.home;
    } else {
        auto open = available_targets(*m_routes, request.service);
        if (open.size() > 1) {
            std::erase(open, excluded);
        }
        if (open.empty()) {
            return std::nullopt;
        }
        if (!request.operation.empty()) {
            // A caller's own operation ID always selects the same target, whose keeper remembers earlier
            // attempts.
            const auto item = hash_text(request.operation);
            chosen.target = *std::max_element(open.begin(), open.end(), [&](const auto& a, const auto& b) {
                return rendezvous_weight(item, a.value()) < rendezvous_weight(item, b.value());
            });
        } else {
            chosen.target = *choose_target(m_chooser, open, monotonic_now());
        }
    }
    const auto* const keeper = keeper_of(*m_routes, chosen.target);
    if (keeper == nullptr) {
        return std::nullopt;
    }
    chosen.keeper = keeper->id;
    chosen.address = {keeper->address.host, keeper->address.forward_port};
    return chosen;
}

auto entry_service::make_forwarded_message(caller_request& request, const chosen_target& chosen)
    -> http_request {
    auto message = request.message;
    const auto remaining = request.attempts.deadline - monotonic_now() - answer_reserve;
    const auto remaining_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::max(remaining, duration{1000}));
    message.set(fields::request_id, std::to_string(m_next_request++));
    message.set(fields::service, request.service.value());
    message.set(fields::target, chosen.target.value());
    message.set(fields::caller, request.caller);
    message.set(fields::deadline_ms, std::to_string(remaining_ms.count()));
    message.erase(fields::shard);
    message.erase(fields::first_send);
    message.erase(fields::idempotency_key);
    if (chosen.shard) {
        message.set(fields::shard, std::to_string(number(*chosen.shard)));
    }
    if (!request.operation.empty()) {
        message.set(fields::idempotency_key, request.operation);
        if (request.issued_here && !request.was_sent) {
            message.set(fields::first_send, "yes");
        }
        request.was_sent = true;
    }
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

auto entry_service::send_attempt(caller_request& request, chosen_target chosen)
    -> asio::awaitable<attempt_result> {
    auto message = make_forwarded_message(request, chosen);
    const auto id = std::string{message[fields::request_id]};
    const auto started = monotonic_now();
    const auto remaining = std::max(duration{1000}, request.attempts.deadline - started);
    auto result = attempt_result{};
    auto succeeded = false;
    on_sent(m_chooser, chosen.target);
    // The latency is recorded also when this attempt is cancelled because another one was faster.
    const auto record_on_exit =
        std::shared_ptr<void>{nullptr, [&](void*) {
                                  const auto now = monotonic_now();
                                  on_completed(m_chooser, chosen.target, now - started, succeeded, now);
                              }};
    auto answer = co_await begin_exchange(m_pool, chosen.address, std::move(message),
                                          {.answer_timeout = remaining, .stall_timeout = stall_timeout});
    if (!answer) {
        result.end = answer.error() == exchange_error::lost ? attempt_end::lost : attempt_end::not_sent;
        result.refusal.reason = "keeper_unreachable";
        co_return result;
    }
    const auto header = [&](const char* name) { return std::string{answer->header()[name]}; };
    if (const auto reported = value_in<outcome>(outcome_names, header(fields::outcome))) {
        const auto after = parse_milliseconds(header(fields::retry_after_ms));
        result.refusal = {.request_outcome = *reported,
                          .reason = header(fields::reason),
                          .text = {},
                          .retry_elsewhere = header(fields::retry_elsewhere) == "yes",
                          .retry_after = after.value_or(duration{0})};
        if (*reported == outcome::unknown) {
            // An idempotent request can be repeated even if it may have run.
            result.end = request.operation.empty() ? attempt_end::lost : attempt_end::reported_unknown;
        } else {
            result.end = result.refusal.retry_elsewhere ? attempt_end::not_run : attempt_end::refused;
        }
        end_exchange(m_pool, std::move(*answer));
        co_return result;
    }
    if (header(fields::request_id) != id) {
        log::error("answer_mismatched", {{"target", chosen.target}, {"request", id}});
        result.end = attempt_end::lost;
        co_return result;
    }
    succeeded = answer->status() < 500;
    if (succeeded && request.service_settings.hedge) {
        on_answered(m_hedgers.at(request.service), monotonic_now() - started);
    }
    result.end = attempt_end::answered;
    result.answer = std::move(*answer);
    co_return result;
}

auto entry_service::send_hedge(caller_request& request, target_id first, duration delay)
    -> asio::awaitable<attempt_result> {
    auto timer = asio::steady_timer{m_forward_thread.context(), delay};
    co_await timer.async_wait(as_result);
    const auto second = select_target(request, first);
    if (second && second->target != first && take_hedge(m_hedgers.at(request.service))) {
        m_metrics.count(counter::hedges);
        auto result = co_await send_attempt(request, *second);
        if (result.end == attempt_end::answered) {
            co_return result;
        }
    }
    // If no hedge was sent, or the hedge failed, the first attempt decides the result.
    timer.expires_at(asio::steady_timer::time_point::max());
    co_await timer.async_wait(as_result);
    co_return attempt_result{};
}

auto entry_service::send_with_hedge(responder& connection, caller_request& request, chosen_target chosen)
    -> asio::awaitable<attempt_result> {
    if (!request.operation.empty()) {
        // The operation continues when its caller disconnects; a repeated request gets the recorded answer.
        co_return co_await send_attempt(request, chosen);
    }
    auto delay = std::optional<duration>{};
    if (request.service_settings.hedge) {
        auto [hedges, is_new] = m_hedgers.try_emplace(request.service, make_hedger({}));
        delay = hedge_delay(hedges->second);
    }
    const auto make_result = [](attempt_end end, const char* reason) {
        return attempt_result{.end = end, .answer = {}, .refusal = {.reason = reason}};
    };
    if (delay) {
        auto first_completed = co_await (
            send_attempt(request, chosen) || send_hedge(request, chosen.target, *delay) ||
            connection.wait_for_disconnect() || wait_for_keeper_change(chosen.target, chosen.keeper));
        switch (first_completed.index()) {
        case 0:
            co_return std::move(std::get<0>(first_completed));
        case 1:
            co_return std::move(std::get<1>(first_completed));
        case 2:
            co_return make_result(attempt_end::refused, "caller_gone");
        default:
            co_return make_result(attempt_end::lost, "keeper_replaced");
        }
    }
    auto first_completed = co_await (send_attempt(request, chosen) || connection.wait_for_disconnect() ||
                                     wait_for_keeper_change(chosen.target, chosen.keeper));
    switch (first_completed.index()) {
    case 0:
        co_return std::move(std::get<0>(first_completed));
    case 1:
        co_return make_result(attempt_end::refused, "caller_gone");
    default:
        co_return make_result(attempt_end::lost, "keeper_replaced");
    }
}

auto entry_service::run(responder& connection, caller_request& request) -> asio::awaitable<bool> {
    auto excluded = target_id{};
    request.last_refusal = {.reason = "no_owner", .retry_after = routing_wait};
    while (true) {
        if (request.issued_here && !request.attempts.may_have_run) {
            // No attempt with the previous operation ID can have run, so the next attempt may use a new ID
            // with another home target.
            request.operation.clear();
            request.home = {};
        }
        auto chosen = select_target(request, excluded);
        auto result =
            attempt_result{.end = attempt_end::not_run, .answer = {}, .refusal = request.last_refusal};
        if (chosen) {
            if (request.issued_here && request.operation.empty()) {
                request.operation = issue_operation_id(chosen->target);
                request.home = chosen->target;
                request.was_sent = false;
            }
            result = co_await send_with_hedge(connection, request, *chosen);
            excluded = chosen->target;
            request.last_refusal = result.refusal;
        }
        auto step = after_attempt(request.attempts, m_retry_budget, result.end, monotonic_now());
        if (step == next_step::try_again && result.end == attempt_end::not_run && !request.issued_here &&
            !request.home.empty() && result.refusal.reason == "not_granted") {
            // The home target of the operation ID has lost the key, so the operation can never run with this
            // ID.
            request.last_refusal.reason = "identity_moved";
            step = next_step::answer_not_run;
        }
        if (step == next_step::deliver) {
            co_return co_await deliver_answer(connection, request, std::move(*result.answer));
        }
        if (step != next_step::try_again) {
            auto refusal = request.last_refusal;
            refusal.request_outcome = step == next_step::answer_not_run ? outcome::not_run : outcome::unknown;
            refusal.retry_elsewhere = false;
            refusal.text = refusal.request_outcome == outcome::not_run
                               ? "The request has not run."
                               : "It is unknown whether the request has run.";
            m_metrics.count(refusal.request_outcome == outcome::not_run ? counter::refused_not_run
                                                                        : counter::outcome_unknown);
            co_return co_await write_answer(connection, refusal_answer(request.message, refusal));
        }
        if (!chosen || result.end == attempt_end::not_sent || request.service_settings.is_keyed()) {
            const auto remaining = request.attempts.deadline - monotonic_now();
            co_await wait_for_routing(std::min(routing_wait, remaining));
        } else {
            auto retry_timer = asio::steady_timer{m_forward_thread.context(), retry_delay};
            co_await retry_timer.async_wait(as_result);
        }
    }
}

auto entry_service::deliver_answer(responder& connection, caller_request& request, open_answer answer)
    -> asio::awaitable<bool> {
    if (!request.operation.empty()) {
        answer.parser->get().set(fields::idempotency_key, request.operation);
    }
    const auto sent = co_await stream_answer(connection, answer, {.stall_timeout = stall_timeout});
    if (sent) {
        m_metrics.count(counter::answered);
        end_exchange(m_pool, std::move(answer));
    } else {
        m_metrics.count(counter::cut_answers);
    }
    co_return sent;
}

auto entry_service::handle_issue_request(responder& connection, const http_request& request)
    -> asio::awaitable<bool> {
    // POST /.teaselcross/operations/SERVICE[/KEY] issues an ID for one operation.
    const auto path = std::string_view{request.target().data(), request.target().size()};
    auto requested = caller_request{};
    requested.service = service_id{std::string{path_segment(path, 2)}};
    requested.key = std::string{path_segment(path, 3)};
    const auto service_known = m_routes && m_routes->config->services.contains(requested.service);
    if (service_known) {
        requested.service_settings = m_routes->config->services.at(requested.service);
    }
    const auto chosen = service_known ? select_target(requested, {}) : std::nullopt;
    if (!chosen) {
        co_return co_await write_answer(
            connection, error_answer(request, http::status::not_found, "no_home",
                                     "No target is available for this operation at present."));
    }
    const auto body = nlohmann::json{{"id", issue_operation_id(chosen->target)}};
    co_return co_await write_answer(connection,
                                    json_answer(request, http::status::created, body.dump() + "\n"));
}

} // namespace teaselcross
