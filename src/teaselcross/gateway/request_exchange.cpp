// How the router sends a request to a target, classifies the answer and returns it to the caller.

#include "gateway/request_context.h"

#include "logging/log.h"
#include "runtime/clock.h"

#include <algorithm>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Answers up to this size are read completely before they are passed on, so that a truncated one can be
/// retried.
constexpr auto max_buffered_answer = std::size_t{1024} * 1024;
/// Minimum time to wait between two parts of a body whose header arrived in time.
constexpr auto body_stall_timeout = duration{std::chrono::milliseconds{1500}};
/// A pooled connection that was idle for longer may be closed by the target at the moment of use, and a
/// request that must not be repeated would be lost with it.
constexpr auto at_most_once_idle_limit = duration{std::chrono::milliseconds{1500}};
/// How long a target is avoided after its address was found to belong to another target, until the list is up
/// to date.
constexpr auto reused_address_avoid_time = duration{std::chrono::seconds{2}};

/// A connection that ends sooner after it was opened was not accepted by the target, which may have too many.
constexpr auto connection_reset_time = duration{std::chrono::milliseconds{40}};

constexpr auto attempt_result_names = std::array<std::string_view, 9>{
    "answered", "failed", "not_sent", "shed", "misdirected", "lost", "reset", "timed_out", "withdrawn"};

} // namespace

auto request_router::attempt(request_context& current, const std::shared_ptr<known_target>& target,
                             const http_request& request, duration limit) -> asio::awaitable<attempt_result> {
    const auto started = monotonic_now();
    auto& view = target->view;
    current.tried.push_back(view.listed.id);
    current.last_target = view.listed.id;
    if (const auto out_since = m_cluster.out_of_service_since(view.listed.data_centre)) {
        m_measured.count(counter::sends_to_data_centres_out);
        log::info("sent_to_data_centre_out", {{"id", current.caller.attempt_id},
                                              {"target", view.listed.id},
                                              {"data_centre", view.listed.data_centre},
                                              {"out_ms", (started - *out_since).count() / 1000},
                                              {"owner_of_key", current.owner == view.listed.id}});
    }
    on_sent(view);
    const auto end = co_await exchange(current, *target, request, started + limit);
    const auto now = monotonic_now();
    if (current.target_answer_fields.load && end != attempt_result::not_sent) {
        on_report(view, *current.target_answer_fields.load, now);
    }
    record_requests_of_target(current, view, end, now);
    auto result = send_result::answered;
    switch (end) {
    case attempt_result::answered:
        break;
    case attempt_result::failed:
        result = send_result::failed;
        break;
    case attempt_result::shed:
    case attempt_result::misdirected:
        result = send_result::shed;
        break;
    case attempt_result::withdrawn:
        result = send_result::withdrawn;
        break;
    case attempt_result::reset:
        result = send_result::reset;
        break;
    default:
        result = send_result::no_answer;
        break;
    }
    on_ended(view, result, now - started, {}, now);
    const auto waited_for = end == attempt_result::answered || end == attempt_result::timed_out;
    if (waited_for && !current.was_refused_before) {
        record_answer(m_lateness[current.service], now > current.objective);
    }
    if (end == attempt_result::misdirected && current.target_answer_fields.target != view.listed.id.value()) {
        // Another target has its address: the target has ended, even if it is still listed.
        view.silent_sends = owner_failure_threshold;
        view.avoid_until = now + reused_address_avoid_time;
    }
    m_measured.count(counter::attempts);
    if (end != attempt_result::answered && end != attempt_result::withdrawn) {
        log::info("send_failed", {{"id", current.caller.attempt_id},
                                  {"target", view.listed.id},
                                  {"end", name_in(attempt_result_names, end)},
                                  {"ms", (now - started).count() / 1000},
                                  {"in_flight", view.in_flight},
                                  {"others", view.other_requests},
                                  {"report_age_ms", (now - view.reported_at).count() / 1000}});
    }
    co_return end;
}

/// How long a connection may have been idle that a request which must run at most once is sent on. A second
/// send to the same target needs a new connection: on the old one a copy of the first refusal may still
/// arrive and would be taken for the answer to the second send.
auto request_router::max_idle_at_most_once(const request_context& current, const target_id& target)
    -> duration {
    const auto& sent_to = current.sent_to;
    const auto is_second_send = std::find(sent_to.begin(), sent_to.end(), target) != sent_to.end();
    return is_second_send ? duration::zero() : at_most_once_idle_limit;
}

/// Records what the target's answer asks of this instance: to send nothing more because it is leaving, or
/// nothing for some time.
auto request_router::record_requests_of_target(const request_context& current, target_view& view,
                                               attempt_result end, instant now) -> void {
    const auto& fields = current.target_answer_fields;
    if (end == attempt_result::misdirected) {
        return; // Another target has answered.
    }
    if (fields.is_leaving) {
        m_cluster.set_leaving({.target = view.listed.id, .start_time_ms = view.listed.start_time_ms},
                              "answer", now);
    }
    if (fields.quiet_for) {
        view.quiet_until = std::max(view.quiet_until, now + *fields.quiet_for);
        m_measured.count(counter::quiet_requests);
        log::info("target_asks_for_quiet", {{"id", current.caller.attempt_id},
                                            {"target", view.listed.id},
                                            {"for_ms", fields.quiet_for->count() / 1000},
                                            {"in_flight", view.in_flight}});
    }
}

auto request_router::exchange(request_context& current, const known_target& target,
                              const http_request& request, instant until) -> asio::awaitable<attempt_result> {
    const auto& listed = target.view.listed;
    const auto is_at_most_once = current.rule->kind == request_kind::at_most_once;
    const auto max_idle = is_at_most_once ? max_idle_at_most_once(current, listed.id) : duration::max();
    current.target_answer_fields = {};
    auto peer = endpoint{.host = listed.host, .port = listed.port};
    auto opened = co_await open_exchange(m_pool, std::move(peer), max_idle);
    if (!opened) {
        co_return attempt_result::not_sent;
    }
    const auto opened_at = monotonic_now();
    current.answer = std::move(*opened);
    if (current.caller_left) {
        co_return attempt_result::withdrawn;
    }
    if (m_has_given_up) {
        co_return attempt_result::not_sent;
    }
    current.active_exchange = &current.answer;
    m_waiting.insert(&current);
    current.sent_to.push_back(listed.id);
    ++current.sends;
    auto received = co_await send_request(current.answer, request, until - monotonic_now());
    auto unrelated_answers = 0;
    while (received) {
        const auto left = std::max(until - monotonic_now(), duration{1});
        const auto limits = exchange_limits{.answer_timeout = left,
                                            .stall_timeout = std::max(left, body_stall_timeout),
                                            .buffer_timeout = left + body_stall_timeout,
                                            .buffered_body_limit = max_buffered_answer};
        received = co_await receive_answer(current.answer, current.is_head_request, limits);
        if (!received) {
            break;
        }
        current.target_answer_fields = platform::read_target_answer(current.answer);
        const auto& answered_id = current.target_answer_fields.attempt_id;
        if (answered_id == current.caller.attempt_id) {
            break;
        }
        if (answered_id.empty()) {
            // On a connection that was used before it may be a copy of an earlier answer.
            received = !current.answer.client_connection->was_used;
            log::info("answer_without_id", {{"id", current.caller.attempt_id},
                                            {"target", listed.id},
                                            {"status", current.answer.status()},
                                            {"accepted", received}});
            break;
        }
        // A late second answer to an earlier request; the next answer may be the right one.
        ++unrelated_answers;
        received = current.answer.complete && current.answer.parser->keep_alive();
    }
    current.active_exchange = nullptr;
    m_waiting.erase(&current);
    if (current.caller_left && !is_at_most_once) {
        abort_exchange(current.answer);
        co_return attempt_result::withdrawn;
    }
    if (!received) {
        const auto is_new = !current.answer.client_connection->was_used;
        abort_exchange(current.answer);
        if (m_has_given_up || monotonic_now() >= until) {
            co_return attempt_result::timed_out;
        }
        const auto at_once = monotonic_now() - opened_at < connection_reset_time;
        co_return is_new&& at_once ? attempt_result::reset : attempt_result::lost;
    }
    if (unrelated_answers > 0) {
        // Do not reuse the connection: what arrives next on it cannot be attributed to a request.
        current.answer.client_connection->idle_limit = duration::zero();
    }
    co_return classify_answer(current);
}

auto request_router::refuse_unfinishable(instant since, instant give_up) -> void {
    m_refuse_since = since;
    m_give_up_at = give_up;
}

auto request_router::give_up_waiting() -> void {
    m_has_given_up = true;
    for (auto* each : m_waiting) {
        abort_exchange(*each->active_exchange);
    }
}

/// Classifies the answer that was read.
auto request_router::classify_answer(request_context& current) -> attempt_result {
    auto& answer = current.answer;
    const auto& fields = current.target_answer_fields;
    if (fields.idle_limit) {
        constexpr auto margin_parts = 4; // The target's idle timer starts earlier than ours.
        const auto limit = *fields.idle_limit * (margin_parts - 1) / margin_parts;
        answer.client_connection->idle_limit = std::min(answer.client_connection->idle_limit, limit);
    }
    if (fields.not_executed) {
        release_connection(current);
        return fields.misdirected ? attempt_result::misdirected : attempt_result::shed;
    }
    const auto status = answer.status();
    const auto success =
        http::to_status_class(answer.parser->get().result()) == http::status_class::successful;
    const auto is_verifiable = fields.is_signed && !fields.has_content_encoding;
    if ((success && !is_verifiable) || status < 200) {
        abort_exchange(answer);
        return attempt_result::lost;
    }
    current.has_answer = true;
    return status >= 500 ? attempt_result::failed : attempt_result::answered;
}

/// Returns the connection of a finished exchange to the pool, unless the target's share is used up.
auto request_router::release_connection(request_context& current) -> void {
    const auto target = m_cluster.target(current.last_target);
    const auto in_flight = target == nullptr ? 0U : target->view.in_flight;
    const auto options = gate_options{.connection_limit = current.policy.connection_limit,
                                      .instances = m_cluster.fleet_size()};
    m_pool.set_idle_per_peer(idle_connections(options, in_flight));
    end_exchange(m_pool, std::move(current.answer));
}

auto request_router::send_answer(responder& link, request_context& current) -> asio::awaitable<bool> {
    auto& answer = current.answer;
    platform::make_caller_answer(answer);
    const auto status = answer.status();
    const auto target = current.last_target;
    auto sent = false;
    if (answer.complete) {
        auto response = http_response{answer.header()};
        record_answer_size(current.rule->name, answer.body.size());
        response.body() = std::move(answer.body);
        if (!current.is_head_request) {
            response.prepare_payload();
        }
        release_connection(current);
        sent = co_await write_answer(link, std::move(response));
    } else {
        const auto patience = current.caller.time_left.value_or(default_patience);
        const auto left = current.arrived + patience + body_stall_timeout - monotonic_now();
        const auto limits = stream_limits{.stall_timeout = body_stall_timeout, .total_timeout = left};
        sent = co_await stream_answer(link, answer, limits);
        if (sent) {
            release_connection(current);
        } else {
            abort_exchange(answer);
        }
    }
    const auto took = monotonic_now() - current.arrived;
    m_measured.count(sent ? counter::answered : counter::cut_answers);
    m_measured.time(timing::request, took);
    log::info("answered", {{"id", current.caller.attempt_id},
                           {"service", current.service},
                           {"target", target},
                           {"status", status},
                           {"sends", current.sends},
                           {"whole", sent},
                           {"ms", took.count() / 1000}});
    co_return sent;
}

auto request_router::record_answer_size(const std::string& rule, std::size_t bytes) -> void {
    constexpr auto smoothing = 0.1; // Weight of the newest answer.
    auto& mean = m_mean_answer_bytes[rule];
    mean += (static_cast<double>(bytes) - mean) * smoothing;
}

auto request_router::refuse(responder& link, request_context& current, refusal reason)
    -> asio::awaitable<bool> {
    const auto now = monotonic_now();
    auto status = http::status::service_unavailable;
    auto retry_after = std::optional<duration>{};
    switch (reason) {
    case refusal::no_route:
        status = http::status::not_found;
        break;
    case refusal::target_failed:
        status = http::status::bad_gateway;
        break;
    case refusal::answer_timeout:
        status = http::status::gateway_timeout;
        break;
    default:
        // Spreads the retries of refused callers, so that they do not arrive together and meet the same
        // queue.
        const auto spread = duration{static_cast<duration::rep>(
            m_random() % static_cast<std::uint64_t>(std::max(current.retry_after, min_retry_after).count()))};
        retry_after = std::max(current.retry_after, min_retry_after) / 2 + spread;
        break;
    }
    m_measured.count(status == http::status::service_unavailable ? counter::refused_not_run
                                                                 : counter::outcome_unknown);
    const auto* kind = current.rule == nullptr
                           ? "none"
                           : request_kind_names[static_cast<std::size_t>(current.rule->kind)].data();
    log::warning("refused", {{"id", current.caller.attempt_id},
                             {"reason", name_in(refusal_names, reason)},
                             {"status", static_cast<unsigned>(status)},
                             {"kind", kind},
                             {"service", current.service},
                             {"config", current.table == nullptr ? 0 : current.table->version},
                             {"sends", current.sends},
                             {"returning", current.was_refused_before},
                             {"target", current.last_target},
                             {"key", current.caller.key ? std::to_string(*current.caller.key) : "none"},
                             {"owner", current.owner},
                             {"keys_revision", to_string(current.keys_revision)},
                             {"retry_after_ms", retry_after.value_or(duration::zero()).count() / 1000},
                             {"ms", (now - current.arrived).count() / 1000}});
    auto answer = platform::make_refusal(status, current.caller.attempt_id, retry_after);
    co_return co_await write_answer(link, std::move(answer));
}

} // namespace teaselcross
