#include "gateway/request_router.h"

#include "logging/log.h"
#include "platform/messages.h"
#include "runtime/clock.h"

#include <algorithm>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Assumed for callers that do not say how long they wait.
constexpr auto default_patience = duration{std::chrono::seconds{30}};
/// Less than this is not worth a send: the way there and back takes most of it.
constexpr auto least_useful = duration{std::chrono::milliseconds{10}};
/// A key that changes hands is mostly served again within it.
constexpr auto owner_wait = duration{std::chrono::milliseconds{150}};
/// When a key whose owner was lost is worth asking for again.
constexpr auto owner_lost_retry = duration{std::chrono::milliseconds{400}};
/// Answers up to this size are read whole before they are passed on, so that a cut one can be tried again.
constexpr auto whole_answer = std::size_t{1024} * 1024;
/// A body whose header came in time is waited for at least that long between two of its parts.
constexpr auto body_stall = duration{std::chrono::milliseconds{1500}};
/// A kept connection that was idle for longer may have been closed by the target at this moment, and a
/// request that must not be repeated is lost with it.
constexpr auto fresh_for_at_most_once = duration{std::chrono::milliseconds{1500}};
/// Requests to a key's owner go on, while its keys are moved, for this part of the time in which a leaving
/// target or one in a data centre that was taken out may still get some; the rest is for news that come late.
constexpr auto owner_serves_on = 0.6;
/// Failures in a row after which the owner of a key is taken to be unreachable for a moment.
constexpr auto owner_failures = 2U;
/// Cost of a kilobyte from another data centre, as waiting time: bytes between data centres are dear.
constexpr auto kilobyte_cost = duration{std::chrono::microseconds{2500}};
/// A target whose address another one has is avoided until the list has caught up.
constexpr auto address_reused_pause = duration{std::chrono::seconds{2}};
constexpr auto least_retry_after = duration{std::chrono::milliseconds{40}};
/// Part of a target's connection limit that instances use together; the rest is for connections that close.
constexpr auto connection_share = 0.85;

} // namespace

enum class request_router::attempt_end {
    answered,    ///< The target's answer is there and may go to the caller.
    failed,      ///< The target's answer is there and says that it failed.
    not_sent,    ///< Nothing reached the target.
    shed,        ///< The target did not run it.
    misdirected, ///< Another target has the address, or it does not hold the key.
    lost,        ///< Sent; the answer is missing, cut or spoilt.
    timed_out,   ///< Sent; no answer came within the limit.
    withdrawn,   ///< The caller left.
};

namespace {

constexpr auto attempt_end_names = std::array<std::string_view, 8>{
    "answered", "failed", "not_sent", "shed", "misdirected", "lost", "timed_out", "withdrawn"};

} // namespace

struct request_router::choice {
    std::shared_ptr<known_target> target;
    std::optional<refusal> reason; ///< Set when there is no target.
    bool worth_waiting = false;    ///< The owner is about to change.
    duration retry_after{};
};

/// One request on its way.
struct request_router::flow {
    std::shared_ptr<const route_table> table; ///< Keeps the rule alive across a change of the configuration.
    const route_rule* rule = nullptr;
    platform::caller_request said;
    service_id service;
    service_policy policy;
    instant arrived{};
    instant deadline{};  ///< The caller leaves, or the route's time is up.
    instant objective{}; ///< An answer is worth most until then.
    std::uint32_t sends = 0;
    bool may_have_run = false;
    std::vector<target_id> tried;
    open_answer answer;
    platform::target_answer said_by_target;
    bool has_answer = false;
    open_answer* active = nullptr; ///< The exchange in progress, to be cut when the caller leaves.
    bool gone = false;
    duration retry_after{};
    target_id last_target;
    std::optional<std::uint64_t> stale_revision; ///< Of the key map that led to a target without the key.
    bool without_body = false;
};

request_router::request_router(const gateway_settings& options, knowledge& known, metrics& measured,
                               asio::any_io_executor executor)
    : m_options{options}, m_known{known}, m_measured{measured},
      m_executor{executor}, m_pool{executor,
                                   {.connect_timeout = std::chrono::milliseconds{150},
                                    .idle_limit = std::chrono::seconds{8},
                                    .user_timeout = std::chrono::milliseconds{1500},
                                    .idle_per_peer = 8,
                                    .reset_on_close = true}} {}

auto request_router::handle(server_connection& link, http_request request) -> asio::awaitable<bool> {
    auto current = flow{};
    m_measured.count(counter::requests);
    if (const auto reason = start_flow(current, request)) {
        co_return co_await refuse(link, current, *reason);
    }
    auto reason = std::optional<refusal>{};
    {
        const auto watch = departure_watch{link, [&current] {
                                               current.gone = true;
                                               const auto repeatable =
                                                   current.rule->kind != request_kind::at_most_once;
                                               if (current.active != nullptr && repeatable) {
                                                   abort_exchange(*current.active);
                                               }
                                           }};
        reason = co_await route(current, request);
    }
    if (current.gone) {
        m_measured.count(counter::callers_left);
        co_return false;
    }
    if (current.has_answer) {
        co_return co_await deliver(link, current);
    }
    co_return co_await refuse(link, current, reason.value_or(refusal::target_failed));
}

auto request_router::start_flow(flow& started, const http_request& request) -> std::optional<refusal> {
    const auto now = monotonic_now();
    started.arrived = now;
    started.said = platform::read_caller_request(request);
    started.table = m_known.routes();
    started.without_body = request.method() == http::verb::head;
    if (started.table->version == 0) {
        return refusal::no_config;
    }
    const auto target = std::string_view{request.target().data(), request.target().size()};
    started.rule = find_route(*started.table, started.said.host, target.substr(0, target.find('?')));
    if (started.rule == nullptr) {
        return refusal::no_route;
    }
    const auto& rule = *started.rule;
    started.service = next_service(m_splitter, rule);
    started.policy = started.table->services.at(started.service);
    started.deadline = now + std::min(rule.timeout, started.said.patience.value_or(default_patience));
    started.objective = now + rule.objective;
    count_request(
        m_budgets[started.service],
        {.ratio = m_options.retry_ratio, .extra = m_options.retry_extra, .window = m_options.retry_window},
        now);
    if (started.policy.keyed && started.said.key) {
        ++m_sample.key_requests[started.service][*started.said.key];
    }
    return std::nullopt;
}

auto request_router::route(flow& current, http_request& request) -> asio::awaitable<std::optional<refusal>> {
    platform::make_target_request(request);
    const auto patience_end = current.arrived + current.said.patience.value_or(default_patience);
    auto waited_until = std::min(monotonic_now() + owner_wait, current.objective);
    while (!current.gone) {
        const auto now = monotonic_now();
        if (now + least_useful >= current.deadline) {
            co_return current.may_have_run ? refusal::answer_timeout : refusal::out_of_time;
        }
        auto chosen = choose(current);
        if (!chosen.target) {
            if (chosen.worth_waiting && now < waited_until) {
                co_await m_known.keys_changed(
                    std::min(waited_until - now, duration{std::chrono::milliseconds{100}}));
                continue;
            }
            current.retry_after = chosen.retry_after;
            co_return current.may_have_run ? refusal::target_failed : *chosen.reason;
        }
        const auto limit = current.deadline - now; // A target's silence is no reason to give its work up.
        platform::address_target_request(request, chosen.target->view.listed.id, patience_end - now);
        const auto end = co_await attempt(current, chosen.target, request, limit);
        if (end == attempt_end::answered || end == attempt_end::withdrawn) {
            co_return std::nullopt;
        }
        current.may_have_run = current.may_have_run || end == attempt_end::failed ||
                               end == attempt_end::lost || end == attempt_end::timed_out;
        if (!may_repeat(current, end, monotonic_now())) {
            // A failure of the target's own is an answer; the caller has a right to it.
            current.has_answer = end == attempt_end::failed;
            const auto late = end == attempt_end::timed_out;
            const auto unsent = end == attempt_end::not_sent ? refusal::no_target : refusal::overload;
            const auto unknown = late ? refusal::answer_timeout : refusal::target_failed;
            co_return current.may_have_run ? unknown : unsent;
        }
    }
    co_return std::nullopt;
}

auto request_router::choose(flow& current) -> choice {
    return current.policy.keyed && current.said.key ? choose_owner(current) : choose_any(current);
}

auto request_router::choose_owner(flow& current) -> choice {
    const auto now = monotonic_now();
    const auto map = m_known.keys(current.service);
    const auto* range = map == nullptr ? nullptr : find_range(*map, *current.said.key);
    if (range == nullptr) {
        return {.reason = refusal::no_owner, .retry_after = owner_lost_retry};
    }
    auto owner = m_known.target(range->holder.id);
    if (current.stale_revision == map->revision) {
        return {.reason = refusal::no_owner, .worth_waiting = true, .retry_after = owner_wait};
    }
    const auto lives = owner != nullptr && owner->view.listed.birth == range->holder.birth;
    const auto silent = !lives || (now < owner->view.avoid_until && owner->view.failures >= owner_failures);
    if (range->moving() || silent) {
        // A living holder releases its keys as soon as it has ended its work; a lost one is waited out.
        return {.reason = refusal::no_owner,
                .worth_waiting = !silent,
                .retry_after = silent ? owner_lost_retry : owner_wait};
    }
    auto& view = owner->view;
    const auto out_since = m_known.taken_out_since(view.listed.data_centre);
    const auto part_of = [](duration limit) {
        return std::chrono::duration_cast<duration>(limit * owner_serves_on);
    };
    const auto left = owner->leaving_since && now > *owner->leaving_since + part_of(m_options.drain);
    if (left || (out_since && now > *out_since + part_of(m_options.evacuation))) {
        return {.reason = refusal::no_owner, .worth_waiting = true, .retry_after = owner_wait};
    }
    if (const auto reason = gate(current, view, now)) {
        return {.reason = reason, .retry_after = current.retry_after};
    }
    return {.target = std::move(owner)};
}

auto request_router::choose_any(flow& current) -> choice {
    const auto now = monotonic_now();
    const auto& candidates = m_known.candidates(current.service);
    auto context = choice_context{.own = m_options.data_centre, .tried = current.tried};
    constexpr auto kilobyte = 1024.0;
    const auto kilobytes = m_usual_bytes[current.rule->name] / kilobyte;
    context.distance_cost =
        duration{static_cast<duration::rep>(kilobytes * static_cast<double>(kilobyte_cost.count()))};
    auto open = std::vector<target_view*>{};
    for (auto* view : candidates) {
        // A cold target takes requests from a few instances only; each has a share of its own.
        if (!is_cold(*view, now) ||
            has_cold_credit(*view, m_known.cold_share_of(view->listed.id, current.policy.cold_rate), now)) {
            open.push_back(view);
        }
    }
    auto* best = choose_view(open, context, m_random(), now);
    if (best == nullptr) {
        const auto reason = candidates.empty() ? refusal::no_target : refusal::overload;
        return {.reason = reason, .worth_waiting = candidates.empty(), .retry_after = owner_wait};
    }
    if (const auto reason = gate(current, *best, now)) {
        return {.reason = reason, .retry_after = current.retry_after};
    }
    return {.target = m_known.target(best->listed.id)};
}

/// Whether a request may go to @a view now; takes its share of a cold target.
auto request_router::gate(flow& current, target_view& view, instant now) -> std::optional<refusal> {
    const auto limit = current.policy.connection_limit;
    const auto own_limit =
        std::max(2.0, connection_share * limit / static_cast<double>(m_known.fleet_size()));
    const auto finish = expected_finish(view, {}, now);
    const auto congested = view.in_flight + view.others > view.listed.slots * 2;
    const auto too_late = now + finish > current.deadline || (congested && now + finish > current.objective);
    if ((limit > 0 && view.in_flight >= own_limit) || (too_late && congested)) {
        current.retry_after = std::max(least_retry_after, finish / 2);
        return refusal::overload;
    }
    if (is_cold(view, now) &&
        !take_cold_credit(view, m_known.cold_share_of(view.listed.id, current.policy.cold_rate), now)) {
        current.retry_after = std::max(least_retry_after, view.cold_until - now);
        return refusal::cold;
    }
    return std::nullopt;
}

auto request_router::may_repeat(flow& current, attempt_end end, instant now) -> bool {
    const auto not_run =
        end == attempt_end::not_sent || end == attempt_end::shed || end == attempt_end::misdirected;
    if (current.gone || now + least_useful >= current.deadline) {
        return false;
    }
    if (!not_run && current.rule->kind == request_kind::at_most_once) {
        return false;
    }
    constexpr auto most_targets = 4U; // Tried for one request, those that could not be reached included.
    if (current.sends >= current.rule->max_attempts || current.tried.size() >= most_targets) {
        return false;
    }
    const auto keyed = current.policy.keyed && current.said.key;
    if (keyed && end == attempt_end::shed) {
        return false; // There is no other target to ask.
    }
    if (keyed) {
        current.tried.clear();
        if (end == attempt_end::misdirected) {
            const auto map = m_known.keys(current.service);
            current.stale_revision = map == nullptr ? 0 : map->revision;
        }
    }
    if (current.sends == 0) {
        return true; // Nothing has arrived anywhere yet.
    }
    return take_extra(
        m_budgets[current.service],
        {.ratio = m_options.retry_ratio, .extra = m_options.retry_extra, .window = m_options.retry_window},
        m_known.fleet_size(), now);
}

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
        const auto limits = exchange_limits{
            .answer_timeout = left, .stall_timeout = std::max(left, body_stall), .whole_limit = whole_answer};
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
        good = current.answer.whole && current.answer.parser->keep_alive();
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
        current.answer.from->idle_limit = duration::zero(); // Whatever comes next on it is in doubt.
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
        answer.from->idle_limit = std::min(answer.from->idle_limit, limit);
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
    if (answer.whole) {
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
                             {"target", current.last_target},
                             {"retry_after_ms", retry_after.value_or(duration::zero()).count() / 1000},
                             {"ms", (now - current.arrived).count() / 1000}});
    auto answer = platform::make_refusal(status, current.said.id, retry_after);
    co_return co_await write_answer(link, std::move(answer));
}

} // namespace teaselcross
