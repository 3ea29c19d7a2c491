#include "admission/target_view.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace teaselcross {

namespace {

/// Reports of others count as absent after this time without one: about the longest interval between
/// reports of a target that is in use.
constexpr auto shared_report_validity = duration{std::chrono::seconds{2}};

/// Weight of the last report; decays exponentially with its age.
auto freshness(const target_view& view, const view_options& options, instant now) -> double {
    const auto age = static_cast<double>((now - view.reported_at).count());
    return std::exp(-age / static_cast<double>(options.report_decay_time.count()));
}

auto note_change(target_view& view, instant now) -> void {
    view.changes.at(view.change_count++ % view.changes.size()) = {.at = now, .before = view.in_flight};
}

auto may_get_request(const target_view& view, const choice_context& context, instant now) -> bool {
    if (view.listed.leaving || now < std::max({view.avoid_until, view.quiet_until, view.full_until})) {
        return false;
    }
    return std::find(context.tried_targets.begin(), context.tried_targets.end(), view.listed.id) ==
           context.tried_targets.end();
}

auto cost(const target_view& view, const choice_context& context, instant now) -> double {
    constexpr auto error_penalty = 4.0; // A failed answer costs the caller a retry and most of its timeout.
    const auto expected = expected_finish(view, context.view, now);
    auto finish = static_cast<double>(expected.count());
    finish *= 1.0 + error_penalty * view.error_rate;
    if (view.listed.data_centre != context.own_data_centre || expected > context.max_local_finish) {
        finish += static_cast<double>(context.distance_cost.count());
    }
    return finish;
}

} // namespace

auto expected_other_requests(const target_view& view, const view_options& options, instant now) -> double {
    const auto fresh = freshness(view, options, now);
    return view.usual_other_requests + (view.other_requests - view.usual_other_requests) * fresh;
}

auto has_shared_reports(const target_view& view, instant now) -> bool {
    return view.shared_at != instant{} && now - view.shared_at < shared_report_validity;
}

auto expected_slowness(const target_view& view, const view_options& options, instant now) -> double {
    return 1.0 + (view.slowness - 1.0) * freshness(view, options, now);
}

auto expected_service(const target_view& view, const view_options& options, instant now) -> duration {
    const auto usual =
        view.service_us > 0 ? view.service_us : static_cast<double>(options.default_service_time.count());
    return duration{static_cast<duration::rep>(usual * expected_slowness(view, options, now))};
}

auto expected_finish(const target_view& view, const view_options& options, instant now) -> duration {
    const auto service = static_cast<double>(expected_service(view, options, now).count());
    const auto slots = std::max(1U, view.listed.slots);
    const auto ahead = view.in_flight + expected_other_requests(view, options, now);
    // Partly used slots already make the next request slower on average, before a queue forms.
    const auto load = ahead / slots;
    const auto queued = std::max(0.0, ahead + 1.0 - slots) / slots;
    return duration{static_cast<duration::rep>(service * (1.0 + queued + 0.25 * std::min(load, 1.0)))};
}

auto is_cold(const target_view& view, instant now) -> bool {
    return now < view.cold_until;
}

auto has_cold_credit(const target_view& view, const cold_rate_limit& limit, instant now) -> bool {
    const auto seconds = std::chrono::duration<double>(now - view.cold_credit_updated).count();
    return std::min(limit.burst, view.cold_credit + limit.rate * seconds) >= 1.0;
}

auto take_cold_credit(target_view& view, const cold_rate_limit& limit, instant now) -> bool {
    if (!has_cold_credit(view, limit, now)) {
        return false;
    }
    const auto seconds = std::chrono::duration<double>(now - view.cold_credit_updated).count();
    view.cold_credit = std::min(limit.burst, view.cold_credit + limit.rate * seconds) - 1.0;
    view.cold_credit_updated = now;
    return true;
}

auto mark_cold(target_view& view, duration period, instant now) -> void {
    if (!is_cold(view, now)) {
        view.cold_credit = 0;
        view.cold_credit_updated = now;
    }
    view.cold_until = std::max(view.cold_until, now + period);
}

auto on_sent(target_view& view, instant now) -> void {
    note_change(view, now);
    ++view.in_flight;
}

auto in_flight_at(const target_view& view, instant when) -> std::uint32_t {
    const auto size = static_cast<std::uint32_t>(view.changes.size());
    auto then = view.in_flight;
    for (auto back = 1U; back <= std::min(view.change_count, size); ++back) {
        const auto& change = view.changes.at((view.change_count - back) % size);
        if (change.at <= when) {
            break;
        }
        then = change.before;
    }
    return then;
}

auto on_ended(target_view& view, send_result result, duration latency, const view_options& options,
              instant now) -> void {
    note_change(view, now);
    view.in_flight -= std::min(view.in_flight, 1U);
    if (result == send_result::withdrawn) {
        return;
    }
    if (result == send_result::reset) {
        const auto doublings = std::min(view.resets, 3U);
        view.full_until = now + std::min(options.full_backoff * (1U << doublings), options.max_full_backoff);
        ++view.resets;
        return;
    }
    if (result == send_result::no_answer) {
        const auto doublings = std::min(view.silent_sends, 3U);
        view.avoid_until = now + std::min(options.initial_backoff * (1U << doublings), options.max_backoff);
        ++view.silent_sends;
        return;
    }
    view.silent_sends = 0;
    view.resets = 0;
    view.avoid_until = {};
    const auto failed = result == send_result::failed ? 1.0 : 0.0;
    view.error_rate += (failed - view.error_rate) * options.smoothing;
    if (result != send_result::answered) {
        return;
    }
    ++view.answer_count;
    const auto slots = std::max(1U, view.listed.slots);
    const auto ahead = static_cast<double>(view.in_flight + view.other_requests);
    const auto turns = 1.0 + std::max(0.0, ahead + 1.0 - slots) / slots;
    const auto sample = static_cast<double>(latency.count()) / turns;
    view.service_us =
        view.service_us > 0 ? view.service_us + (sample - view.service_us) * options.smoothing : sample;
}

auto on_report(target_view& view, const load_report& report, instant now) -> void {
    const auto total = report.running + report.waiting;
    set_report(view, total > view.in_flight ? total - view.in_flight : 0, report.slowness, now);
}

auto set_report(target_view& view, std::uint32_t other_requests, double slowness, instant reported_at)
    -> void {
    view.other_requests = other_requests;
    view.usual_other_requests +=
        (view.other_requests - view.usual_other_requests) * view_options{}.report_smoothing;
    view.slowness = std::max(slowness, 0.1);
    view.reported_at = reported_at;
}

auto choose_view(const std::vector<target_view*>& targets, const choice_context& context,
                 std::uint64_t tie_break, instant now) -> target_view* {
    target_view* best = nullptr;
    auto lowest_cost = 0.0;
    for (auto* candidate : targets) {
        if (!may_get_request(*candidate, context, now)) {
            continue;
        }
        const auto weight = rendezvous_weight(tie_break, candidate->listed.id.value());
        const auto jitter_factor =
            1.0 + context.jitter * static_cast<double>(weight >> 11U) / static_cast<double>(1ULL << 53U);
        const auto candidate_cost = cost(*candidate, context, now) * jitter_factor;
        if (best == nullptr || candidate_cost < lowest_cost) {
            best = candidate;
            lowest_cost = candidate_cost;
        }
    }
    return best;
}

} // namespace teaselcross
