#include "gateway/request_context.h"

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

/// A request with less time left is not sent: the round trip would take most of it.
constexpr auto min_useful_time = duration{std::chrono::milliseconds{10}};
/// A key in transfer is usually served again within this time.
constexpr auto owner_change_timeout = duration{std::chrono::milliseconds{150}};
/// Suggested retry delay for a key whose owner was lost.
constexpr auto lost_owner_retry_after = duration{std::chrono::milliseconds{400}};
/// Requests still go to a key's owner, while its keys are transferred, for this fraction of the time in which
/// a leaving target may get requests; the rest allows for delayed updates.
constexpr auto leaving_owner_fraction = 0.6;
/// The same for the time from the earliest moment at which the target's leaving may have been acknowledged,
/// or its data centre been taken out of service. The rest then allows only for the way of the request.
constexpr auto earliest_time_fraction = 0.8;
/// Cost of a kilobyte from another data centre, expressed as waiting time: traffic between data centres is
/// expensive.
constexpr auto cross_data_centre_kilobyte_cost = duration{std::chrono::microseconds{5000}};
/// A target in the same data centre is preferred while it is expected to answer within this fraction of the
/// time left to the objective.
constexpr auto near_objective_fraction = 0.8;
/// Maximum sends of one request to a key's owner that sheds it although its own report shows free slots: it
/// then sheds at random.
constexpr auto max_sends_to_owner = 4U;
/// How long a request waits for units of its account from the controller.
constexpr auto max_unit_wait = duration{std::chrono::milliseconds{300}};

/// Whether a target's own report shows that it could have accepted a request.
auto reports_free_slot(const std::optional<load_report>& load) -> bool {
    return load && load->waiting == 0 && load->running < load->slots;
}

/// The time until the first of @a targets accepts requests again; nothing if one does not ask for quiet.
auto time_until_quiet_ends(const std::vector<target_view*>& targets, instant now) -> std::optional<duration> {
    auto shortest = std::optional<duration>{};
    for (const auto* view : targets) {
        if (now >= view->quiet_until) {
            return std::nullopt;
        }
        const auto left = view->quiet_until - now;
        shortest = shortest ? std::min(*shortest, left) : left;
    }
    return shortest;
}

} // namespace

struct request_router::target_choice {
    std::shared_ptr<known_target> target;
    std::optional<refusal> reason; ///< Set when there is no target.
    bool should_wait = false;      ///< A target may become available soon.
    duration retry_after{};
};

request_router::request_router(const gateway_settings& settings, cluster_state& cluster, metrics& measured,
                               memory_budget& answer_memory, asio::any_io_executor executor)
    : m_settings{settings}, m_cluster{cluster}, m_measured{measured}, m_answer_memory{answer_memory},
      m_executor{executor},
      m_own_hash{hash_text(settings.instance)}, m_pool{executor,
                                                       {.connect_timeout = std::chrono::milliseconds{150},
                                                        .idle_limit = std::chrono::seconds{8},
                                                        .user_timeout = std::chrono::milliseconds{1500},
                                                        .idle_per_peer = 8,
                                                        .reset_on_close = true}} {}

auto request_router::handle(responder& link, http_request request) -> asio::awaitable<bool> {
    auto current = request_context{.link = &link};
    m_measured.count(counter::requests);
    const auto reason = start_request(current, request);
    link.expect_until(current.deadline);
    if (reason) {
        co_return co_await refuse(link, current, *reason);
    }
    if (current.rule->kind == request_kind::at_most_once) {
        // Behind a response that closes the connection it counts as not read, and its caller sends it again.
        const auto is_turn = co_await link.wait_turn();
        if (!is_turn) {
            co_return false;
        }
    }
    auto outcome = route_outcome{};
    {
        const auto watch = disconnect_watch{link, [&current] {
                                                current.caller_left = true;
                                                const auto repeatable =
                                                    current.rule->kind != request_kind::at_most_once;
                                                if (current.active_exchange != nullptr && repeatable) {
                                                    abort_exchange(*current.active_exchange);
                                                }
                                            }};
        outcome = co_await route(current, request);
    }
    current.unit.reset(); // Before a caller that reads slowly gets its answer.
    if (current.caller_left) {
        m_measured.count(counter::callers_left);
        co_return false;
    }
    record_shortage(current, outcome);
    if (outcome.answer) {
        co_return co_await send_answer(link, current, std::move(*outcome.answer));
    }
    co_return co_await refuse(link, current, outcome.reason);
}

auto request_router::budget_options() const -> retry_budget_options {
    return {
        .ratio = m_settings.retry_ratio, .extra = m_settings.retry_extra, .window = m_settings.retry_window};
}

/// Drops the state of services that the configuration no longer has. A budget stays while it counts what was
/// sent: a service that comes back gets no second one.
auto request_router::drop_unknown_services(const route_table& table, instant now) -> void {
    m_services_version = table.version;
    drop_unknown(m_lateness, table);
    m_shortage.drop_unknown(table);
    std::erase_if(m_budgets, [&](const auto& entry) {
        return !table.services.contains(entry.first) && is_unused(entry.second, budget_options(), now);
    });
}

auto request_router::start_request(request_context& started, const http_request& request)
    -> std::optional<refusal> {
    const auto now = monotonic_now();
    started.arrived = now;
    started.caller = platform::read_caller_request(request);
    started.table = m_cluster.routes();
    started.is_head_request = request.method() == http::verb::head;
    if (started.table->version == 0) {
        return refusal::no_config;
    }
    if (started.table->version != m_services_version) {
        drop_unknown_services(*started.table, now);
    }
    const auto target = std::string_view{request.target().data(), request.target().size()};
    started.rule = find_route(*started.table, started.caller.host, target.substr(0, target.find('?')));
    if (started.rule == nullptr) {
        const auto is_unconfirmed = m_config_age && m_config_age() >= m_settings.config_apply;
        return is_unconfirmed ? refusal::config_unconfirmed : refusal::no_route;
    }
    const auto& rule = *started.rule;
    if (const auto reason = identify(started, request)) {
        return reason;
    }
    started.rank = rank_in_force(rule, started.account);
    started.history = find_history(m_rule_histories, *started.table, started.caller.host, rule);
    started.service = next_service(started.history->split, rule, m_random);
    started.policy = started.table->services.at(started.service);
    started.deadline = now + std::min(rule.timeout, started.caller.time_left.value_or(default_patience));
    started.objective = now + rule.objective;
    if (started.caller.time_left) {
        auto& patience = started.history->patience;
        started.was_refused_before = detect_retry(patience, *started.caller.time_left, {}, now);
        if (started.was_refused_before) {
            started.waited_before = waited_before(patience, *started.caller.time_left);
        }
    }
    m_shortage.record_arrival(started.service, started.value(), rule.objective, now);
    count_request(m_budgets[started.service], budget_options(), now);
    if (started.policy.keyed && started.caller.key) {
        ++m_sample.key_requests[started.service][*started.caller.key];
    }
    return std::nullopt;
}

/// Finds the client account of a request on a route, by the key that it carries. Returns why it is refused if
/// it needs a key and carries none that is known.
auto request_router::identify(request_context& started, const http_request& request) const
    -> std::optional<refusal> {
    if (!needs_account(*started.table, *started.rule)) {
        return std::nullopt;
    }
    if (m_settings.strict_revoke && (!m_config_age || m_config_age() >= m_settings.revoke)) {
        return refusal::accounts_unconfirmed;
    }
    const auto key = platform::read_credential(request);
    started.account = key ? find_account(*started.table->accounts, *key) : nullptr;
    if (started.account == nullptr) {
        started.key_fault = key ? credential_fault::unknown : key.error();
        return refusal::no_account;
    }
    return std::nullopt;
}

auto request_router::route(request_context& current, http_request& request)
    -> asio::awaitable<route_outcome> {
    platform::make_target_request(request);
    if (current.table->accounts != nullptr) {
        platform::set_request_account(request, current.account);
    }
    const auto patience_end = current.arrived + current.caller.time_left.value_or(default_patience);
    auto wait_deadline = std::min(monotonic_now() + owner_change_timeout, current.objective);
    auto last = send_outcome{};
    // A target's own failure response is a valid answer and is passed on to the caller, if no other send
    // follows.
    const auto end_with = [&last](refusal reason) {
        return route_outcome{.answer = std::move(last.answer), .reason = reason};
    };
    while (!current.caller_left) {
        if (m_quotas != nullptr && !current.unit && m_quotas->is_limited(current.account)) {
            const auto denied = co_await take_unit(current);
            if (denied) {
                co_return end_with(current.may_have_run ? refusal::target_failed : *denied);
            }
        }
        const auto now = monotonic_now();
        if (now + min_useful_time >= current.deadline) {
            co_return end_with(current.may_have_run ? refusal::answer_timeout : refusal::out_of_time);
        }
        if (!may_finish(current, now)) {
            co_return end_with(current.may_have_run ? refusal::target_failed : refusal::stopping);
        }
        auto chosen = choose(current);
        if (!chosen.target) {
            if (chosen.should_wait && now < wait_deadline) {
                co_await m_cluster.wait_for_change(
                    std::min(wait_deadline - now, duration{std::chrono::milliseconds{100}}));
                continue;
            }
            current.retry_after = chosen.retry_after;
            co_return end_with(current.may_have_run ? refusal::target_failed : *chosen.reason);
        }
        // A slow answer is no reason to abandon work that the target has started.
        const auto limit = current.deadline - now;
        platform::address_target_request(request, chosen.target->view.listed.id, patience_end - now);
        last = co_await attempt(current, chosen.target, request, limit);
        if (last.result == attempt_result::answered || last.result == attempt_result::withdrawn) {
            co_return end_with(refusal::target_failed);
        }
        current.may_have_run = current.may_have_run || last.result == attempt_result::failed ||
                               last.result == attempt_result::ambiguous ||
                               last.result == attempt_result::lost || last.result == attempt_result::reset ||
                               last.result == attempt_result::timed_out;
        if (!may_retry(current, last, monotonic_now())) {
            const auto late = last.result == attempt_result::timed_out;
            const auto unsent = m_has_given_up                               ? refusal::stopping
                                : last.result == attempt_result::out_of_time ? refusal::out_of_time
                                : last.result == attempt_result::not_sent    ? refusal::no_target
                                                                             : refusal::overload;
            const auto unknown = late ? refusal::answer_timeout : refusal::target_failed;
            if (!current.may_have_run) {
                current.retry_after = expected_finish(chosen.target->view, {}, monotonic_now()) / 2;
            }
            co_return end_with(current.may_have_run ? unknown : unsent);
        }
    }
    co_return route_outcome{};
}

/// Takes a unit of the account's quota for the next send. Returns why there is none.
auto request_router::take_unit(request_context& current) -> asio::awaitable<std::optional<refusal>> {
    const auto left = std::max(current.deadline - monotonic_now(), duration::zero());
    auto taken = co_await m_quotas->take(current.account->name, std::min(left, max_unit_wait));
    if (taken.reason == unit_result::taken) {
        if (taken.hold) {
            current.unit.emplace(std::move(*taken.hold));
        }
        co_return std::nullopt;
    }
    co_return taken.reason == unit_result::over_quota ? refusal::over_quota : refusal::quota_unknown;
}

/// Whether the answer to a request that would be sent now is certain to be waited for. One that may have run
/// already is sent again as long as anything is: a failure would be its only other end.
auto request_router::may_finish(const request_context& current, instant now) const -> bool {
    const auto is_late = now >= m_refuse_since && current.deadline > m_give_up_at;
    return !m_has_given_up && (current.may_have_run || !is_late);
}

auto request_router::choose(request_context& current) -> target_choice {
    return current.policy.keyed && current.caller.key ? choose_owner(current) : choose_any(current);
}

auto request_router::choose_owner(request_context& current) -> target_choice {
    const auto now = monotonic_now();
    const auto map = m_cluster.keys(current.service);
    const auto* range = map == nullptr ? nullptr : find_range(*map, *current.caller.key);
    if (range == nullptr) {
        return {.reason = refusal::no_owner, .retry_after = lost_owner_retry_after};
    }
    current.owner = range->holder.id;
    current.keys_revision = map->revision;
    auto owner = m_cluster.target(range->holder.id);
    if (current.stale_revision == map->revision) {
        return {.reason = refusal::no_owner, .should_wait = true, .retry_after = owner_change_timeout};
    }
    const auto owner_alive =
        owner != nullptr && owner->view.listed.start_time_ms == range->holder.start_time_ms;
    const auto owner_unavailable = !owner_alive || (now < owner->view.avoid_until &&
                                                    owner->view.silent_sends >= owner_failure_threshold);
    if (range->is_moving() || owner_unavailable) {
        // A running owner releases its keys as soon as its work has ended; the grant of a lost one must
        // expire first.
        return {.reason = refusal::no_owner,
                .should_wait = !owner_unavailable,
                .retry_after = owner_unavailable ? lost_owner_retry_after : owner_change_timeout};
    }
    auto& view = owner->view;
    const auto out_since = m_cluster.out_of_service_since(view.listed.data_centre);
    const auto is_over = [now](std::optional<instant> since, duration limit, double fraction) {
        return since && now > *since + std::chrono::duration_cast<duration>(limit * fraction);
    };
    if (is_over(owner->leaving_since, m_settings.drain, leaving_owner_fraction) ||
        (owner->leaving_since &&
         is_over(owner->leaving_not_before, m_settings.drain, earliest_time_fraction)) ||
        is_over(out_since, m_settings.evacuation, earliest_time_fraction)) {
        return {.reason = refusal::no_owner, .should_wait = true, .retry_after = owner_change_timeout};
    }
    if (is_known_full(view, {}, now)) {
        // It would be rejected there, and a key has no other target.
        m_measured.count(counter::known_full_refusals);
        return {.reason = refusal::overload,
                .retry_after = std::max(min_retry_after, expected_finish(view, {}, now) / 2)};
    }
    if (const auto reason = check_send(current, view, now)) {
        return {.reason = reason, .retry_after = current.retry_after};
    }
    return {.target = std::move(owner)};
}

auto request_router::choose_any(request_context& current) -> target_choice {
    const auto now = monotonic_now();
    const auto& candidates = m_cluster.candidates(current.service);
    auto context = choice_context{.own_data_centre = m_settings.data_centre, .tried_targets = current.tried};
    constexpr auto kilobyte = 1024.0;
    const auto kilobytes = mean_answer_bytes(*current.history, current.service) / kilobyte;
    context.distance_cost = duration{
        static_cast<duration::rep>(kilobytes * static_cast<double>(cross_data_centre_kilobyte_cost.count()))};
    const auto to_objective = std::max(current.objective - now, duration::zero());
    context.max_local_finish = std::chrono::duration_cast<duration>(to_objective * near_objective_fraction);
    auto open = std::vector<target_view*>{};
    for (auto* view : candidates) {
        // A cold target takes requests from a few instances only; each has its own share.
        if (!is_cold(*view, now) ||
            has_cold_credit(*view, m_cluster.cold_share_of(view->listed.id, current.policy.cold_rate), now)) {
            open.push_back(view);
        }
    }
    const auto rate = request_rate(m_budgets[current.service], budget_options(), now);
    reduce_to_subset(open, m_own_hash, subset_size(rate, {}), context, {});
    auto* best = choose_view(open, context, m_random(), now);
    if (best == nullptr) {
        if (candidates.empty()) {
            return {.reason = refusal::no_target, .should_wait = true, .retry_after = owner_change_timeout};
        }
        const auto quiet = time_until_quiet_ends(open, now);
        return {.reason = quiet ? refusal::quiet : refusal::overload,
                .retry_after = quiet.value_or(owner_change_timeout)};
    }
    if (const auto reason = check_send(current, *best, now)) {
        return {.reason = reason, .retry_after = current.retry_after};
    }
    return {.target = m_cluster.target(best->listed.id)};
}

/// Whether a request may be sent to @a view now; takes a credit of this instance's share if the target is
/// cold. Returns the reason if not.
auto request_router::check_send(request_context& current, target_view& view, instant now)
    -> std::optional<refusal> {
    if (now < view.full_until) {
        current.retry_after = std::max(min_retry_after, view.full_until - now);
        return refusal::overload;
    }
    if (now < view.quiet_until) {
        current.retry_after = std::max(min_retry_after, view.quiet_until - now);
        return refusal::quiet;
    }
    // A caller that was refused before gives up after a second refusal, so it may be served after the
    // objective, up to its deadline, rather than refused.
    const auto objective = current.was_refused_before ? current.deadline : current.objective;
    const auto refused = check_admission(
        view, {.deadline = current.deadline, .objective = objective},
        find_lateness(m_lateness, current.service, current.rule->objective),
        {.connection_limit = current.policy.connection_limit, .instances = m_cluster.fleet_size()}, now);
    if (refused) {
        current.retry_after = std::max(min_retry_after, *refused);
        return refusal::overload;
    }
    const auto to_objective = current.first_objective() - now;
    if (!current.may_have_run) {
        const auto yields = m_shortage.check(current.service, current.value(), view, to_objective, now);
        if (yields) {
            current.retry_after = std::max(min_retry_after, *yields);
            return refusal::shortage;
        }
    }
    if (is_cold(view, now) &&
        !take_cold_credit(view, m_cluster.cold_share_of(view.listed.id, current.policy.cold_rate), now)) {
        current.retry_after = std::max(min_retry_after, view.cold_until - now);
        return refusal::cold;
    }
    return std::nullopt;
}

/// Records what became of a request, for the decisions on later ones.
auto request_router::record_shortage(const request_context& current, const route_outcome& outcome) -> void {
    const auto now = monotonic_now();
    auto end = request_end::refused_otherwise;
    if (outcome.answer || outcome.reason == refusal::answer_timeout) {
        const auto is_late = !outcome.answer || now > current.first_objective();
        end = !is_late              ? request_end::in_time
              : current.found_queue ? request_end::late_in_queue
                                    : request_end::late;
    } else if (outcome.reason == refusal::overload) {
        end = request_end::no_capacity;
    } else if (outcome.reason == refusal::shortage) {
        end = request_end::yielded;
    }
    m_shortage.record_end(current.service, current.value(), end, now);
}

auto request_router::log_shortages() -> void {
    m_shortage.log_changes(monotonic_now());
}

auto request_router::may_retry(request_context& current, const send_outcome& last, instant now) -> bool {
    const auto end = last.result;
    const auto not_run =
        end == attempt_result::not_sent || end == attempt_result::shed || end == attempt_result::misdirected;
    if (current.caller_left || m_has_given_up || now + min_useful_time >= current.deadline) {
        return false;
    }
    if (!not_run && current.rule->kind == request_kind::at_most_once) {
        return false;
    }
    const auto keyed = current.policy.keyed && current.caller.key;
    if (keyed && end == attempt_result::reset) {
        return false; // The owner accepts no more connections for a while.
    }
    if (keyed && end == attempt_result::shed) {
        // A key has no other target, and a full target usually stays full for longer than the caller waits.
        return reports_free_slot(last.fields.load) && !last.fields.quiet_for &&
               current.sends < max_sends_to_owner &&
               take_extra(m_budgets[current.service], budget_options(), m_cluster.fleet_size(), now);
    }
    constexpr auto max_targets = 4U; // Per request, including targets that could not be reached.
    if (current.sends >= current.rule->max_attempts || current.tried.size() >= max_targets) {
        return false;
    }
    if (keyed) {
        current.tried.clear();
        if (end == attempt_result::misdirected) {
            const auto map = m_cluster.keys(current.service);
            current.stale_revision = map == nullptr ? store_revision{} : map->revision;
        }
    }
    if (current.sends == 0) {
        return true; // Nothing has reached any target yet.
    }
    return take_extra(m_budgets[current.service], budget_options(), m_cluster.fleet_size(), now);
}

} // namespace teaselcross
