// How the router sends a request to a target, judges what comes back, and answers the caller.

#include "gateway/request_flow.h"

#include "logging/log.h"
#include "runtime/clock.h"

#include <algorithm>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Answers up to this size are read whole before they are passed on, so that a cut one can be tried again.
constexpr auto whole_answer = std::size_t{1024} * 1024;
/// A body whose header came in time is waited for at least that long between two of its parts.
constexpr auto body_stall = duration{std::chrono::milliseconds{1500}};
/// A kept connection that was idle for longer may have been closed by the target at this moment, and a
/// request that must not be repeated is lost with it.
constexpr auto fresh_for_at_most_once = duration{std::chrono::milliseconds{1500}};
/// A target whose address another one has is avoided until the list has caught up.
constexpr auto address_reused_pause = duration{std::chrono::seconds{2}};

constexpr auto attempt_end_names = std::array<std::string_view, 8>{
    "answered", "failed", "not_sent", "shed", "misdirected", "lost", "timed_out", "withdrawn"};

} // namespace

auto request_router::attempt(flow& current, const std::shared_ptr<known_target>& target,
                             const http_request& request, duration limit) -> asio::awaitable<attempt_end> {
    const auto started = monotonic_now();
    auto& view = target->view;
    current.tried.push_back(view.listed.id);
    current.last_target = view.listed.id;
    on_sent(view);
    const auto end = co_await exchange(current, *target, request, started + limit);
    const auto now = monotonic_now();
    if (current.said_by_target.load && end != attempt_end::not_sent) {
        on_report(view, *current.said_by_target.load, now);
    }
    auto result = send_result::answered;
    switch (end) {
    case attempt_end::answered:
        break;
    case attempt_end::failed:
        result = send_result::failed;
        break;
    case attempt_end::shed:
    case attempt_end::misdirected:
        result = send_result::shed;
        break;
    case attempt_end::withdrawn:
        result = send_result::withdrawn;
        break;
    default:
        result = send_result::silent;
        break;
    }
    on_ended(view, result, now - started, {}, now);
    const auto waited_for = end == attempt_end::answered || end == attempt_end::timed_out;
    if (waited_for && !current.returning) {
        note_answer(m_lateness[current.service], now > current.objective);
    }
    if (end == attempt_end::misdirected && current.said_by_target.target != view.listed.id.value()) {
        // Another target has its address: it has ended, whatever the list still says.
        view.failures = owner_failures;
        view.avoid_until = now + address_reused_pause;
    }
    m_measured.count(counter::attempts);
    if (end != attempt_end::answered && end != attempt_end::withdrawn) {
        log::info("send_failed", {{"id", current.said.id},
                                  {"target", view.listed.id},
                                  {"end", name_in(attempt_end_names, end)},
                                  {"ms", (now - started).count() / 1000},
                                  {"in_flight", view.in_flight},
                                  {"others", view.others},
                                  {"report_age_ms", (now - view.reported).count() / 1000}});
    }
    co_return end;
}

auto request_router::exchange(flow& current, const known_target& target, const http_request& request,
                              instant until) -> asio::awaitable<attempt_end> {
    const auto& listed = target.view.listed;
    const auto once = current.rule->kind == request_kind::at_most_once;
    const auto freshness = once ? fresh_for_at_most_once : duration::max();
    current.said_by_target = {};
    auto peer = endpoint{.host = listed.host, .port = listed.port};
    auto opened = co_await open_exchange(m_pool, std::move(peer), freshness);
    if (!opened) {
        co_return attempt_end::not_sent;
    }
    current.answer = std::move(*opened);
    if (current.gone) {
        co_return attempt_end::withdrawn;
    }
    current.active = &current.answer;
    ++current.sends;
    auto good = co_await send_request(current.answer, request, until - monotonic_now());
    auto strangers = 0;
    while (good) {
        const auto left = std::max(until - monotonic_now(), duration{1});
        const auto limits = exchange_limits{.answer_timeout = left,
                                            .stall_timeout = std::max(left, body_stall),
                                            .buffered_body_limit = whole_answer};
        good = co_await receive_answer(current.answer, current.without_body, limits);
        if (!good) {
            break;
        }
        current.said_by_target = platform::read_target_answer(current.answer);
        if (current.said_by_target.id.empty() || current.said_by_target.id == current.said.id) {
            break;
        }
        // A late second answer to an earlier request; the next one may be ours.
        ++strangers;
        good = current.answer.complete && current.answer.parser->keep_alive();
    }
    current.active = nullptr;
    if (current.gone && !once) {
        abort_exchange(current.answer);
        co_return attempt_end::withdrawn;
    }
    if (!good) {
        abort_exchange(current.answer);
        co_return monotonic_now() >= until ? attempt_end::timed_out : attempt_end::lost;
    }
    if (strangers > 0) {
        current.answer.client_connection->idle_limit =
            duration::zero(); // Whatever comes next on it is in doubt.
    }
    co_return judge(current);
}

/// What the answer that was read means for the request.
auto request_router::judge(flow& current) -> attempt_end {
    auto& answer = current.answer;
    const auto& said = current.said_by_target;
    if (said.idle_limit) {
        constexpr auto safety = 4; // The target's clock starts earlier than ours.
        const auto limit = *said.idle_limit * (safety - 1) / safety;
        answer.client_connection->idle_limit = std::min(answer.client_connection->idle_limit, limit);
    }
    if (said.not_run) {
        end_exchange(m_pool, std::move(answer));
        return said.misdirected ? attempt_end::misdirected : attempt_end::shed;
    }
    const auto status = answer.status();
    const auto success =
        http::to_status_class(answer.parser->get().result()) == http::status_class::successful;
    const auto own_bytes = said.is_signed && !said.encoded;
    if ((success && !own_bytes) || status < 200) {
        abort_exchange(answer);
        return attempt_end::lost;
    }
    current.has_answer = true;
    return status >= 500 ? attempt_end::failed : attempt_end::answered;
}

auto request_router::deliver(server_connection& link, flow& current) -> asio::awaitable<bool> {
    auto& answer = current.answer;
    platform::make_caller_answer(answer);
    const auto status = answer.status();
    const auto target = current.last_target;
    auto sent = false;
    if (answer.complete) {
        auto response = http_response{answer.header()};
        note_size(current.rule->name, answer.body.size());
        response.body() = std::move(answer.body);
        if (!current.without_body) {
            response.prepare_payload();
        }
        end_exchange(m_pool, std::move(answer));
        sent = co_await write_answer(link, std::move(response));
    } else {
        sent = co_await stream_answer(link, answer, body_stall);
        if (sent) {
            end_exchange(m_pool, std::move(answer));
        } else {
            abort_exchange(answer);
        }
    }
    const auto took = monotonic_now() - current.arrived;
    m_measured.count(sent ? counter::answered : counter::cut_answers);
    m_measured.time(timing::request, took);
    log::info("answered", {{"id", current.said.id},
                           {"service", current.service},
                           {"target", target},
                           {"status", status},
                           {"sends", current.sends},
                           {"whole", sent},
                           {"ms", took.count() / 1000}});
    co_return sent;
}

auto request_router::note_size(const std::string& rule, std::size_t bytes) -> void {
    constexpr auto smoothing = 0.1; // Weight of the newest answer.
    auto& usual = m_usual_bytes[rule];
    usual += (static_cast<double>(bytes) - usual) * smoothing;
}

auto request_router::refuse(server_connection& link, flow& current, refusal reason) -> asio::awaitable<bool> {
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
        // Callers come back at different times, so that they don't meet the same queue together.
        const auto spread = duration{static_cast<duration::rep>(
            m_random() %
            static_cast<std::uint64_t>(std::max(current.retry_after, least_retry_after).count()))};
        retry_after = std::max(current.retry_after, least_retry_after) / 2 + spread;
        break;
    }
    m_measured.count(status == http::status::service_unavailable ? counter::refused_not_run
                                                                 : counter::outcome_unknown);
    const auto* kind = current.rule == nullptr
                           ? "none"
                           : request_kind_names[static_cast<std::size_t>(current.rule->kind)].data();
    log::warning("refused", {{"id", current.said.id},
                             {"reason", name_in(refusal_names, reason)},
                             {"status", static_cast<unsigned>(status)},
                             {"kind", kind},
                             {"service", current.service},
                             {"config", current.table == nullptr ? 0 : current.table->version},
                             {"sends", current.sends},
                             {"returning", current.returning},
                             {"target", current.last_target},
                             {"key", current.said.key ? std::to_string(*current.said.key) : "none"},
                             {"owner", current.owner},
                             {"keys_revision", current.keys_revision},
                             {"retry_after_ms", retry_after.value_or(duration::zero()).count() / 1000},
                             {"ms", (now - current.arrived).count() / 1000}});
    auto answer = platform::make_refusal(status, current.said.id, retry_after);
    co_return co_await write_answer(link, std::move(answer));
}

} // namespace teaselcross
