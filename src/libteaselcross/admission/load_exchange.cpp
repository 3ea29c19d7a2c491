#include "admission/load_exchange.h"

#include "core/rendezvous.h"

#include <algorithm>

namespace teaselcross {

namespace {

auto keep_report(load_exchange& state, const std::string& instance, const shared_report& report) -> void {
    auto& known = state.reports[report.target];
    if (known.sequence != 0) {
        if (known.report.reported_at >= report.reported_at) {
            return;
        }
        state.by_sequence.erase(known.sequence);
    }
    known = {.report = report, .source = instance, .sequence = ++state.last_sequence};
    state.by_sequence.emplace(known.sequence, report.target);
}

/// Removes what is too old to be returned to anyone.
auto remove_old(load_exchange& state, const exchange_options& options, instant now) -> void {
    if (now < state.next_cleaning) {
        return;
    }
    state.next_cleaning = now + options.max_age;
    for (auto each = state.reports.begin(); each != state.reports.end();) {
        if (now - each->second.report.reported_at > options.max_age) {
            state.by_sequence.erase(each->second.sequence);
            each = state.reports.erase(each);
        } else {
            ++each;
        }
    }
    for (auto each = state.instances.begin(); each != state.instances.end();) {
        const auto is_old = now - each->second.heard_at > options.forget_instance_after;
        each = is_old ? state.instances.erase(each) : std::next(each);
    }
}

auto note_requests(target_view& view, std::uint32_t requests, bool rejected) -> void {
    if (rejected) {
        view.full_at = requests;
    } else if (requests > view.full_at) {
        view.full_at = 0; // It queues more than it did.
    }
}

} // namespace

auto target_hash(const listed_target& listed) -> std::uint64_t {
    constexpr auto unused_bits = 16U;
    return hash_text(listed.id.value() + "#" + std::to_string(listed.start_time_ms)) >> unused_bits;
}

auto add_report(load_outbox& outbox, const shared_report& report) -> void {
    const auto [found, added] = outbox.try_emplace(report.target, report);
    if (!added && found->second.reported_at < report.reported_at) {
        found->second = report;
    }
}

auto take_reports(load_outbox& outbox, std::size_t limit) -> std::vector<shared_report> {
    auto taken = std::vector<shared_report>{};
    taken.reserve(outbox.size());
    std::transform(outbox.begin(), outbox.end(), std::back_inserter(taken),
                   [](const auto& each) { return each.second; });
    outbox.clear();
    if (taken.size() > limit) {
        std::nth_element(
            taken.begin(), taken.begin() + static_cast<std::ptrdiff_t>(limit), taken.end(),
            [](const auto& left, const auto& right) { return left.reported_at > right.reported_at; });
        taken.resize(limit);
    }
    return taken;
}

auto exchange_reports(load_exchange& state, const std::string& instance,
                      const std::vector<shared_report>& heard, const exchange_options& options, instant now)
    -> std::vector<shared_report> {
    remove_old(state, options, now);
    for (const auto& each : heard) {
        keep_report(state, instance, each);
    }
    auto& known = state.instances[instance];
    known.heard_at = now;
    auto returned = std::vector<shared_report>{};
    for (auto each = state.by_sequence.rbegin(); each != state.by_sequence.rend(); ++each) {
        if (each->first <= known.returned || returned.size() >= options.max_reports) {
            break;
        }
        const auto& report = state.reports.at(each->second);
        if (report.source != instance && now - report.report.reported_at <= options.max_age) {
            returned.push_back(report.report);
        }
    }
    known.returned = state.last_sequence;
    return returned;
}

auto on_shared_report(target_view& view, const shared_report& report, instant now) -> bool {
    view.shared_at = now;
    if (view.service_us <= 0) {
        view.service_us = static_cast<double>(report.service.count());
    }
    if (report.reported_at <= view.reported_at) {
        return false;
    }
    const auto own = in_flight_at(view, report.reported_at);
    set_report(view, report.requests - std::min(own, report.requests), report.slowness, report.reported_at);
    note_requests(view, report.requests, report.rejected);
    return true;
}

auto is_known_full(const target_view& view, const view_options& options, instant now) -> bool {
    if (view.full_at == 0 || !has_shared_reports(view, now)) {
        return false;
    }
    const auto usual =
        view.service_us > 0 ? view.service_us : static_cast<double>(options.default_service_time.count());
    const auto until_half_empty = usual * view.full_at / (2.0 * std::max(1U, view.listed.slots));
    const auto valid =
        std::min(options.report_decay_time, duration{static_cast<duration::rep>(until_half_empty)});
    return now - view.reported_at < valid && view.in_flight + view.other_requests >= view.full_at;
}

auto note_queue(target_view& view, const load_report& report, bool rejected) -> void {
    if (!rejected || says_full(report)) {
        note_requests(view, report.running + report.waiting, rejected);
    }
}

auto says_full(const load_report& report) -> bool {
    return report.running >= report.slots && report.waiting > 0;
}

} // namespace teaselcross
