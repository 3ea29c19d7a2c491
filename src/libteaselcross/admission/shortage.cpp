#include "admission/shortage.h"

#include <algorithm>
#include <cmath>

namespace teaselcross {

namespace {

/// A target's finish time at which its slots are just in use, relative to the time in a slot; see
/// expected_finish().
constexpr auto idle_finish_factor = 1.25;

auto as_us(duration period) -> double {
    return static_cast<double>(period.count());
}

auto from_us(double period) -> duration {
    return duration{static_cast<duration::rep>(period)};
}

auto decay(decaying_share& counts, duration memory, instant now) -> void {
    if (now > counts.updated) {
        const auto factor = std::exp(-as_us(now - counts.updated) / as_us(memory));
        counts.all *= factor;
        counts.counted *= factor;
        counts.updated = now;
    }
}

auto add(decaying_share& counts, double all, double counted, duration memory, instant now) -> void {
    decay(counts, memory, now);
    counts.all += all;
    counts.counted = std::max(0.0, counts.counted + counted);
}

/// The counted share, or @a fallback if too little is known.
auto share(const decaying_share& counts, double fallback) -> double {
    constexpr auto min_all = 0.5; // Less remains of a single request after a while.
    return counts.all < min_all ? fallback : counts.counted / counts.all;
}

auto is_present(const rank_record& record, const shortage_options& options, instant now) -> bool {
    return now - record.last_arrival < options.presence;
}

/// Makes room for accounts by forgetting those of which next to nothing is left, once a second at most.
auto forget_old_accounts(service_shortage& state, const shortage_options& options, instant now) -> void {
    constexpr auto negligible = 0.1;
    if (state.accounts.size() < options.max_accounts ||
        now - state.accounts_forgotten_at < std::chrono::seconds{1}) {
        return;
    }
    state.accounts_forgotten_at = now;
    for (auto entry = state.accounts.begin(); entry != state.accounts.end();) {
        decay(entry->second, options.floor_memory, now);
        entry = entry->second.all < negligible ? state.accounts.erase(entry) : std::next(entry);
    }
}

/// Adds to the counts of served callers: of all, of the rank, and of the account, if it has one.
auto add_served(service_shortage& state, const valued_request& request, double all, double counted,
                const shortage_options& options, instant now) -> void {
    add(state.served, all, counted, options.floor_memory, now);
    add(state.ranks[request.rank].served, all, counted, options.floor_memory, now);
    if (request.account.empty()) {
        return;
    }
    const auto name = std::string{request.account};
    forget_old_accounts(state, options, now);
    if (state.accounts.size() < options.max_accounts || state.accounts.contains(name)) {
        add(state.accounts[name], all, counted, options.floor_memory, now);
    }
}

auto idle_finish(const send_estimate& estimate) -> double {
    return idle_finish_factor * as_us(estimate.service);
}

/// Moves the open part of one rank, given the requests of more urgent ranks that were harmed.
auto adjust(rank_record& record, double harmed_share, std::uint64_t harm_count, bool is_idle,
            const shortage_options& options, instant now) -> void {
    const auto elapsed = std::chrono::duration<double>(now - record.adjusted_at).count();
    record.adjusted_at = now;
    if (harm_count > record.harm_seen && harmed_share > options.rise_share && !is_idle) {
        if (now - record.raised_at >= options.rise_interval) {
            record.open = std::max(record.open * options.decrease_factor, options.min_open);
            record.raised_at = now;
            record.harm_seen = harm_count;
        }
        return;
    }
    if (is_idle || harmed_share < options.fall_share || now - record.raised_at > options.harm_memory) {
        const auto rate = is_idle ? options.fast_increase_rate : options.increase_rate;
        record.open = std::min(1.0, record.open + rate * std::min(elapsed, 1.0));
        record.harm_seen = harm_count;
    }
}

/// Brings the levels of all ranks up to date. The most urgent rank has one for its late requests, which its
/// own harmed requests move. All are open while only one rank is present.
auto adjust_all(service_shortage& state, const shortage_options& options, instant now) -> void {
    const auto present = std::count_if(state.ranks.begin(), state.ranks.end(), [&](const auto& entry) {
        return is_present(entry.second, options, now);
    });
    if (present < 2) {
        for (auto& [rank, record] : state.ranks) {
            record.open = 1;
        }
        return;
    }
    auto harmed = decaying_share{};
    auto harm_count = std::uint64_t{0};
    auto has_more_urgent = false;
    for (auto& [rank, record] : state.ranks) {
        decay(record.harmed, options.harm_memory, now);
        const auto with_own = !has_more_urgent;
        harmed.all += with_own ? record.harmed.all : 0;
        harmed.counted += with_own ? record.harmed.counted : 0;
        harm_count += with_own ? record.harm_count : 0;
        const auto idle_pressure = with_own ? options.urgent_idle_pressure : options.idle_pressure;
        adjust(record, share(harmed, 0), harm_count, state.pressure < idle_pressure, options, now);
        harmed.all += with_own ? 0 : record.harmed.all;
        harmed.counted += with_own ? 0 : record.harmed.counted;
        harm_count += with_own ? 0 : record.harm_count;
        has_more_urgent = has_more_urgent || is_present(record, options, now);
    }
}

/// What a request may use: the time to the nearest objective of more urgent ranks, and its open part of it.
struct allowance {
    double objective_us = 0;
    double open = 1;
    bool is_most_urgent = false;
};

/// The allowance of the rank of @a request; nothing if only one rank is present. A rank has its part of what
/// the next more urgent one may use.
auto allowance_of(const service_shortage& state, const valued_request& request,
                  const shortage_options& options, instant now) -> std::optional<allowance> {
    auto found = allowance{};
    auto present_ranks = 0U;
    for (const auto& [rank, record] : state.ranks) {
        if (!is_present(record, options, now) && rank != request.rank) {
            continue;
        }
        ++present_ranks;
        if (rank > request.rank) {
            break;
        }
        const auto is_first = present_ranks == 1;
        if (rank == request.rank) {
            found.is_most_urgent = is_first;
            found.objective_us = is_first ? record.objective_us : found.objective_us;
            found.open *= record.open;
            continue;
        }
        found.open *= is_first ? 1.0 : record.open;
        found.objective_us =
            is_first ? record.objective_us : std::min(found.objective_us, record.objective_us);
    }
    return present_ranks > 1 && found.open < 1 ? std::optional{found} : std::nullopt;
}

/// Whether the rank or the account of @a request is served less than the floor allows.
auto is_below_floor(service_shortage& state, const valued_request& request, const shortage_options& options,
                    instant now) -> bool {
    const auto least = share(state.served, 1) * options.floor * options.floor_margin;
    const auto rank = state.ranks.find(request.rank);
    if (rank != state.ranks.end()) {
        decay(rank->second.served, options.floor_memory, now);
        if (share(rank->second.served, 1) < least) {
            return true;
        }
    }
    const auto account = state.accounts.find(std::string{request.account});
    return account != state.accounts.end() && share(account->second, 1) < least;
}

} // namespace

auto estimate_send(const target_view& view, const view_options& options, instant now) -> send_estimate {
    const auto service = expected_service(view, options, now);
    return {.finish = expected_finish(view, options, now),
            .service = service,
            .work = service,
            .slots = std::max(1U, view.listed.slots)};
}

auto record_arrival(service_shortage& state, const valued_request& request, duration objective,
                    const shortage_options& options, instant now) -> void {
    constexpr auto smoothing = 0.1; // Weight of the newest request.
    auto& record = state.ranks[request.rank];
    const auto sample = as_us(objective);
    record.objective_us =
        record.objective_us > 0 ? record.objective_us + (sample - record.objective_us) * smoothing : sample;
    record.last_arrival = now;
    if (!request.is_returning) {
        add_served(state, request, 1, 0, options, now);
    }
    adjust_all(state, options, now);
}

auto record_send(service_shortage& state, const valued_request& request, const shortage_options& options,
                 instant now) -> void {
    add_served(state, request, 0, 1, options, now);
}

auto record_rejection(service_shortage& state, const valued_request& request, const shortage_options& options,
                      instant now) -> void {
    add_served(state, request, 0, -1, options, now);
}

auto record_end(service_shortage& state, const valued_request& request, request_end end,
                const shortage_options& options, instant now) -> void {
    const auto is_harmed =
        end == request_end::late_in_queue || end == request_end::no_capacity || end == request_end::yielded;
    auto& record = state.ranks[request.rank];
    add(record.harmed, 1, is_harmed ? 1 : 0, options.harm_memory, now);
    record.harm_count += is_harmed ? 1 : 0;
    adjust_all(state, options, now);
}

auto record_load(service_shortage& state, const send_estimate& estimate, const shortage_options& options,
                 instant now) -> void {
    const auto first = std::find_if(state.ranks.begin(), state.ranks.end(), [&](const auto& entry) {
        return is_present(entry.second, options, now);
    });
    if (first == state.ranks.end()) {
        return;
    }
    const auto queueing = as_us(estimate.finish) - idle_finish(estimate);
    const auto used_part = std::clamp(queueing / std::max(first->second.objective_us, 1.0), 0.0, 1.0);
    const auto age = std::max(as_us(now - state.pressure_at), 0.0);
    const auto weight = 1 - std::exp(-age / as_us(options.pressure_memory));
    state.pressure += (used_part - state.pressure) * weight;
    state.pressure_at = now;
    adjust_all(state, options, now);
}

auto check_shortage(service_shortage& state, const valued_request& request, const send_estimate& estimate,
                    duration to_objective, double draw, const shortage_options& options, instant now)
    -> std::optional<duration> {
    constexpr auto smoothing = 0.05; // Weight of the newest request.
    const auto work = as_us(estimate.work);
    if (!request.is_returning) {
        state.work_us = state.work_us > 0 ? state.work_us + (work - state.work_us) * smoothing : work;
    }
    const auto idle = idle_finish(estimate);
    const auto allowed = allowance_of(state, request, options, now);
    if (!allowed || is_below_floor(state, request, options, now)) {
        return std::nullopt;
    }
    const auto is_late = estimate.finish > to_objective;
    if (allowed->is_most_urgent && !is_late) {
        return std::nullopt;
    }
    constexpr auto spread = 0.4; // Of the range; equal reports lead to gradual, not joint, changes.
    const auto class_part = is_late                ? options.late_part
                            : request.is_returning ? 1.0
                                                   : options.new_caller_part;
    const auto part = allowed->open * class_part * (1 - spread / 2 + spread * draw);
    const auto limit = idle + part * std::max(allowed->objective_us - idle, 0.0);
    // What the request delays those behind it by, beyond a usual one.
    const auto extra = std::max(0.0, work - state.work_us) / std::max(1U, estimate.slots);
    const auto use = as_us(estimate.finish) + extra;
    if (use <= limit) {
        return std::nullopt;
    }
    return from_us(std::max(use - limit, as_us(estimate.service) / std::max(1U, estimate.slots)));
}

auto has_queue(const send_estimate& estimate) -> bool {
    return as_us(estimate.finish) > idle_finish(estimate);
}

auto shortage_level(const service_shortage& state) -> double {
    auto least_open = 1.0;
    for (const auto& [rank, record] : state.ranks) {
        least_open = std::min(least_open, record.open);
    }
    return 1 - least_open;
}

auto take_shortage_change(service_shortage& state, const shortage_options& options, instant now)
    -> std::optional<bool> {
    adjust_all(state, options, now);
    constexpr auto begin_level = 0.3;
    constexpr auto end_level = 0.05;
    std::erase_if(state.ranks, [&](const auto& entry) {
        return now - entry.second.last_arrival > options.floor_memory + options.presence;
    });
    const auto level = shortage_level(state);
    const auto is_active = state.is_active ? level >= end_level : level >= begin_level;
    if (is_active == state.is_active) {
        return std::nullopt;
    }
    state.is_active = is_active;
    return is_active;
}

} // namespace teaselcross
