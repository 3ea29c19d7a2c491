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
/// Answers to other requests that are skipped before the answer to a request is given up. A connection on
/// which one arrives is not used again, so each is a second answer to one of the few requests before.
constexpr auto max_unrelated_answers = 16U;
/// How long a target is avoided after its address was found to belong to another target, until the list is up
/// to date.
constexpr auto reused_address_avoid_time = duration{std::chrono::seconds{2}};

/// A connection that ends sooner after it was opened was not accepted by the target, which may have too many.
constexpr auto connection_reset_time = duration{std::chrono::milliseconds{40}};

constexpr auto attempt_result_names = std::array<std::string_view, 11>{
    "answered", "failed", "ambiguous", "not_sent",  "shed",       "misdirected",
    "lost",     "reset",  "timed_out", "withdrawn", "out_of_time"};

} // namespace

/// The name of the request's client account for the log; empty if there is none.
auto request_router::account_name_of(const request_context& current) -> std::string_view {
    return current.account == nullptr ? std::string_view{} : std::string_view{current.account->name};
}

auto request_router::attempt(request_context& current, const std::shared_ptr<known_target>& target,
                             const http_request& request, duration limit) -> asio::awaitable<send_outcome> {
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
    current.found_queue = has_queue(estimate_send(view, {}, started));
    m_shortage.record_send(current.service, current.value(), started);
    on_sent(view, started);
    if (m_sharing != nullptr) {
        m_sharing->on_request(started);
    }
    auto outcome = co_await exchange(current, *target, request, started + limit);
    const auto end = outcome.result;
    const auto now = monotonic_now();
    if (outcome.fields.load) {
        on_report(view, *outcome.fields.load, now);
    }
    if (outcome.fields.load && end != attempt_result::misdirected) {
        const auto rejected = end == attempt_result::shed && !outcome.fields.quiet_for;
        note_queue(view, *outcome.fields.load, rejected);
        if (m_sharing != nullptr) {
            m_sharing->on_own_report(view, *outcome.fields.load, rejected, now);
        }
    }
    record_requests_of_target(current, view, outcome, now);
    auto result = send_result::answered;
    switch (end) {
    case attempt_result::answered:
        break;
    case attempt_result::failed:
    case attempt_result::ambiguous:
        result = send_result::failed;
        break;
    case attempt_result::shed:
    case attempt_result::misdirected:
        result = send_result::shed;
        break;
    case attempt_result::withdrawn:
    case attempt_result::out_of_time:
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
    if (outcome.fields.load) {
        m_shortage.record_load(current.service, view, now);
    }
    if (result == send_result::shed || result == send_result::withdrawn || end == attempt_result::not_sent) {
        m_shortage.record_rejection(current.service, current.value(), now);
    }
    const auto waited_for = end == attempt_result::answered || end == attempt_result::timed_out;
    if (waited_for && !current.was_refused_before) {
        record_answer(find_lateness(m_lateness, current.service, current.rule->objective),
                      now > current.objective);
    }
    if (end == attempt_result::misdirected && outcome.fields.target != view.listed.id.value()) {
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
    co_return outcome;
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
                                               const send_outcome& outcome, instant now) -> void {
    const auto& fields = outcome.fields;
    if (outcome.result == attempt_result::misdirected) {
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
                              const http_request& request, instant until) -> asio::awaitable<send_outcome> {
    const auto& listed = target.view.listed;
    const auto is_at_most_once = current.rule->kind == request_kind::at_most_once;
    const auto max_idle = is_at_most_once ? max_idle_at_most_once(current, listed.id) : duration::max();
    auto peer = endpoint{.host = listed.host, .port = listed.port};
    auto opened = co_await open_exchange(m_pool, std::move(peer), max_idle);
    if (!opened) {
        co_return send_outcome{.result = attempt_result::not_sent};
    }
    const auto opened_at = monotonic_now();
    auto answer = std::move(*opened);
    current.link->check_connection();
    if (current.caller_left) {
        co_return send_outcome{.result = attempt_result::withdrawn};
    }
    if (opened_at >= until) {
        co_return send_outcome{.result = attempt_result::out_of_time};
    }
    if (m_has_given_up) {
        co_return send_outcome{.result = attempt_result::not_sent};
    }
    if (current.unit) {
        const auto may_send = current.unit->use(opened_at);
        current.unit.reset();
        if (!may_send) {
            co_return send_outcome{.result = attempt_result::not_sent};
        }
    }
    current.active_exchange = &answer;
    m_waiting.insert(&current);
    current.sent_to.push_back(listed.id);
    ++current.sends;
    auto fields = platform::target_answer{};
    auto received = co_await send_request(answer, request, until - monotonic_now());
    if (received) {
        received = co_await receive_answer_to(current, answer, fields, until);
    }
    current.active_exchange = nullptr;
    m_waiting.erase(&current);
    if (current.caller_left && !is_at_most_once) {
        abort_exchange(answer);
        co_return send_outcome{.result = attempt_result::withdrawn};
    }
    if (!received) {
        const auto is_new = !answer.client_connection->was_used;
        abort_exchange(answer);
        if (m_has_given_up || monotonic_now() >= until) {
            co_return send_outcome{.result = attempt_result::timed_out};
        }
        const auto at_once = monotonic_now() - opened_at < connection_reset_time;
        co_return send_outcome{.result = is_new && at_once ? attempt_result::reset : attempt_result::lost};
    }
    co_return classify_answer(current, std::move(answer), std::move(fields));
}

/// Reads the answer to the request that was sent on the connection of @a answer. Answers to earlier requests,
/// which a target may send twice, are skipped. Returns false if it is missing, incomplete or in doubt.
auto request_router::receive_answer_to(const request_context& current, open_answer& answer,
                                       platform::target_answer& fields, instant until) const
    -> asio::awaitable<bool> {
    for (auto unrelated_answers = 0U; unrelated_answers <= max_unrelated_answers; ++unrelated_answers) {
        const auto left = until - monotonic_now();
        if (left <= duration::zero()) {
            co_return false; // The timeout of a read does not end one whose bytes are there already.
        }
        const auto limits = exchange_limits{.answer_timeout = left,
                                            .stall_timeout = std::max(left, body_stall_timeout),
                                            .buffer_timeout = left + body_stall_timeout,
                                            .buffered_body_limit = max_buffered_answer,
                                            .budget = &m_answer_memory};
        const auto received = co_await receive_answer(answer, current.is_head_request, limits);
        if (!received) {
            co_return false;
        }
        if (answer.over_budget) {
            log::warning("answer_memory_full", {{"id", current.caller.attempt_id},
                                                {"target", current.last_target},
                                                {"buffered", answer.body.size()},
                                                {"in_use", m_answer_memory.in_use()},
                                                {"limit", m_answer_memory.limit()}});
        }
        auto found = platform::read_target_answer(answer);
        const auto is_own = found.attempt_id == current.caller.attempt_id;
        if (is_own || found.attempt_id.empty()) {
            // Without an ID it may be a copy of an earlier answer on a connection that was used before.
            const auto accepted = is_own || !answer.client_connection->was_used;
            if (!is_own) {
                log::info("answer_without_id", {{"id", current.caller.attempt_id},
                                                {"target", current.last_target},
                                                {"status", answer.status()},
                                                {"accepted", accepted}});
            }
            if (accepted) {
                fields = std::move(found);
            }
            if (unrelated_answers > 0) {
                // What arrives next on the connection cannot be attributed to a request.
                answer.client_connection->idle_limit = duration::zero();
            }
            co_return accepted;
        }
        // A late second answer to an earlier request; the next answer may be the right one.
        if (!answer.complete || !answer.parser->keep_alive()) {
            co_return false;
        }
    }
    log::warning("unrelated_answers", {{"id", current.caller.attempt_id},
                                       {"target", current.last_target},
                                       {"limit", max_unrelated_answers}});
    co_return false;
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

/// Classifies the answer that was read, and keeps it if it can be passed on.
auto request_router::classify_answer(const request_context& current, open_answer answer,
                                     platform::target_answer fields) -> send_outcome {
    auto outcome = send_outcome{.fields = std::move(fields)};
    if (outcome.fields.idle_limit) {
        constexpr auto margin_parts = 4; // The target's idle timer starts earlier than ours.
        const auto limit = *outcome.fields.idle_limit * (margin_parts - 1) / margin_parts;
        answer.client_connection->idle_limit = std::min(answer.client_connection->idle_limit, limit);
    }
    if (outcome.fields.not_executed) {
        release_connection(current, std::move(answer));
        outcome.result = outcome.fields.misdirected ? attempt_result::misdirected : attempt_result::shed;
        return outcome;
    }
    const auto status = answer.status();
    const auto success =
        http::to_status_class(answer.parser->get().result()) == http::status_class::successful;
    const auto is_verifiable = outcome.fields.is_signed && !outcome.fields.has_content_encoding;
    if ((success && !is_verifiable) || status < 200) {
        abort_exchange(answer);
        outcome.result = attempt_result::lost;
        return outcome;
    }
    const auto is_at_most_once = current.rule->kind == request_kind::at_most_once;
    if (outcome.fields.reads_as_not_executed && is_at_most_once) {
        // The caller would send the request again. One that may be repeated loses nothing by that, so its
        // caller gets the target's own answer.
        release_connection(current, std::move(answer));
        outcome.result = attempt_result::ambiguous;
        return outcome;
    }
    outcome.result = status >= 500 ? attempt_result::failed : attempt_result::answered;
    outcome.answer = std::move(answer);
    return outcome;
}

/// Returns the connection of a finished exchange to the pool, unless the target's share is used up.
auto request_router::release_connection(const request_context& current, open_answer answer) -> void {
    const auto target = m_cluster.target(current.last_target);
    const auto in_flight = target == nullptr ? 0U : target->view.in_flight;
    const auto options = gate_options{.connection_limit = current.policy.connection_limit,
                                      .instances = m_cluster.fleet_size()};
    m_pool.set_idle_per_peer(idle_connections(options, in_flight));
    end_exchange(m_pool, std::move(answer));
}

auto request_router::send_answer(responder& link, request_context& current, open_answer answer)
    -> asio::awaitable<bool> {
    platform::make_caller_answer(answer);
    const auto status = answer.status();
    const auto target = current.last_target;
    auto sent = false;
    if (answer.complete) {
        auto response = http_response{answer.header()};
        record_answer_size(*current.history, *current.rule, current.service, answer.body.size());
        response.body() = std::move(answer.body);
        const auto reserved = std::move(answer.reserved); // Until the body is written.
        if (!current.is_head_request) {
            response.prepare_payload();
        }
        release_connection(current, std::move(answer));
        sent = co_await write_answer(link, std::move(response));
    } else {
        const auto patience = current.caller.time_left.value_or(default_patience);
        const auto left = current.arrived + patience + body_stall_timeout - monotonic_now();
        const auto limits = stream_limits{.stall_timeout = body_stall_timeout, .total_timeout = left};
        sent = co_await stream_answer(link, answer, limits);
        if (sent) {
            release_connection(current, std::move(answer));
        } else {
            abort_exchange(answer);
        }
    }
    const auto took = monotonic_now() - current.arrived;
    m_measured.count(sent ? counter::answered : counter::cut_answers);
    m_measured.time(timing::request, took);
    log::info("answered", {{"id", current.caller.attempt_id},
                           {"service", current.service},
                           {"account", account_name_of(current)},
                           {"target", target},
                           {"status", status},
                           {"sends", current.sends},
                           {"whole", sent},
                           {"ms", took.count() / 1000}});
    co_return sent;
}

/// Counts a response of this instance that is no answer of a target.
auto request_router::count_refusal(const request_context& current, unsigned status) -> void {
    constexpr auto unauthorized = static_cast<unsigned>(http::status::unauthorized);
    constexpr auto unavailable = static_cast<unsigned>(http::status::service_unavailable);
    constexpr auto too_many = static_cast<unsigned>(http::status::too_many_requests);
    if (status == unauthorized) {
        m_measured.count(counter::unauthorized);
        return;
    }
    const auto is_not_run = status == unavailable || status == too_many;
    m_measured.count(is_not_run ? counter::refused_not_run : counter::outcome_unknown);
    if (is_not_run && current.account != nullptr) {
        add_count(m_refused_by_account, current.account->name, *current.table->accounts);
    }
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
    case refusal::no_account:
        status = http::status::unauthorized;
        break;
    case refusal::target_failed:
        status = http::status::bad_gateway;
        break;
    case refusal::answer_timeout:
        status = http::status::gateway_timeout;
        break;
    case refusal::over_quota:
        // Spreads the returns over the time in which the units in use become free.
        status = http::status::too_many_requests;
        retry_after = min_retry_after +
                      duration{static_cast<duration::rep>(
                          m_random() % static_cast<std::uint64_t>(
                                           std::max(m_settings.quota_window, min_retry_after).count()))};
        break;
    default:
        // Spreads the retries of refused callers, so that they do not arrive together and meet the same
        // queue.
        const auto spread = duration{static_cast<duration::rep>(
            m_random() % static_cast<std::uint64_t>(std::max(current.retry_after, min_retry_after).count()))};
        retry_after = std::max(current.retry_after, min_retry_after) / 2 + spread;
        break;
    }
    m_shortage.count_refusal(current.rank);
    count_refusal(current, static_cast<unsigned>(status));
    const auto* kind = current.rule == nullptr
                           ? "none"
                           : request_kind_names[static_cast<std::size_t>(current.rule->kind)].data();
    log::warning("refused",
                 {{"id", current.caller.attempt_id},
                  {"reason", name_in(refusal_names, reason)},
                  {"status", static_cast<unsigned>(status)},
                  {"kind", kind},
                  {"service", current.service},
                  {"account", account_name_of(current)},
                  {"credential", current.key_fault ? name_in(credential_fault_names, *current.key_fault)
                                                   : std::string_view{}},
                  {"config", current.table == nullptr ? 0 : current.table->version},
                  {"sends", current.sends},
                  {"returning", current.was_refused_before},
                  {"rank", current.rank},
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
