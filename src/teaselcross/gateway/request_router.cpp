#include "gateway/request_flow.h"

#include "admission/gate.h"
#include "admission/target_subset.h"
#include "core/rendezvous.h"
#include "logging/log.h"
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
/// Requests to a key's owner go on, while its keys are moved, for this part of the time in which a leaving
/// target or one in a data centre that was taken out may still get some; the rest is for news that come late.
constexpr auto owner_serves_on = 0.6;
/// Cost of a kilobyte from another data centre, as waiting time: bytes between data centres are dear.
constexpr auto kilobyte_cost = duration{std::chrono::microseconds{5000}};
/// A near target is preferred while it is expected to answer within this part of the time to the objective.
constexpr auto near_enough_part = 0.8;
/// Sends of one request to a key's owner that sheds although its own report shows room: it sheds by chance
/// then.
constexpr auto most_sends_to_owner = 4U;

/// Whether a target says of itself that it could have taken a request.
auto shows_room(const std::optional<load_report>& load) -> bool {
    return load && load->waiting == 0 && load->running < load->slots;
}

} // namespace

struct request_router::choice {
    std::shared_ptr<known_target> target;
    std::optional<refusal> reason; ///< Set when there is no target.
    bool worth_waiting = false;    ///< The owner is about to change.
    duration retry_after{};
};

request_router::request_router(const gateway_settings& options, knowledge& known, metrics& measured,
                               asio::any_io_executor executor)
    : m_options{options}, m_known{known}, m_measured{measured}, m_executor{executor},
      m_own_hash{hash_text(options.instance)}, m_pool{executor,
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
        const auto watch = disconnect_watch{link, [&current] {
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

auto request_router::budget_options() const -> retry_budget_options {
    return {.ratio = m_options.retry_ratio, .extra = m_options.retry_extra, .window = m_options.retry_window};
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
    if (started.said.patience) {
        started.returning = is_returning(m_patience[rule.name], *started.said.patience, {}, now);
    }
    count_request(m_budgets[started.service], budget_options(), now);
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
            if (!current.may_have_run) {
                current.retry_after = expected_finish(chosen.target->view, {}, monotonic_now()) / 2;
            }
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
    current.owner = range->holder.id;
    current.keys_revision = map->revision;
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
    const auto to_objective = std::max(current.objective - now, duration::zero());
    context.near_enough = std::chrono::duration_cast<duration>(to_objective * near_enough_part);
    auto open = std::vector<target_view*>{};
    for (auto* view : candidates) {
        // A cold target takes requests from a few instances only; each has a share of its own.
        if (!is_cold(*view, now) ||
            has_cold_credit(*view, m_known.cold_share_of(view->listed.id, current.policy.cold_rate), now)) {
            open.push_back(view);
        }
    }
    const auto rate = request_rate(m_budgets[current.service], budget_options(), now);
    keep_subset(open, m_own_hash, subset_size(rate, {}), context, {});
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
    // One that was refused before does not come again: it is served late rather than not at all.
    const auto objective = current.returning ? current.deadline : current.objective;
    const auto refused = refuse_at_gate(
        view, {.deadline = current.deadline, .objective = objective}, m_lateness[current.service],
        {.connection_limit = current.policy.connection_limit, .instances = m_known.fleet_size()}, now);
    if (refused) {
        current.retry_after = std::max(least_retry_after, *refused);
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
    const auto keyed = current.policy.keyed && current.said.key;
    if (keyed && end == attempt_end::shed) {
        // There is no other target to ask, and a full one stays full for longer than the caller waits.
        return shows_room(current.said_by_target.load) && current.sends < most_sends_to_owner &&
               take_extra(m_budgets[current.service], budget_options(), m_known.fleet_size(), now);
    }
    constexpr auto most_targets = 4U; // Tried for one request, those that could not be reached included.
    if (current.sends >= current.rule->max_attempts || current.tried.size() >= most_targets) {
        return false;
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
    return take_extra(m_budgets[current.service], budget_options(), m_known.fleet_size(), now);
}

} // namespace teaselcross
