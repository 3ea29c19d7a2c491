#include "quota/quota_share.h"

#include <algorithm>

namespace teaselcross {

namespace {

/// Sends within this time are counted as one group, which leaves the window with its last send.
constexpr auto group_time = duration{std::chrono::milliseconds{5}};
/// The reserve is what is expected within this time at the rate of the last second.
constexpr auto rate_time = duration{std::chrono::seconds{1}};
constexpr auto reserve_parts = std::int64_t{4};
/// A need lasts this long after the last request that got no unit.
constexpr auto demand_time = duration{std::chrono::seconds{1}};
/// Longest pause before an empty pool is asked again, for the sake of the controller.
constexpr auto max_ask_delay = duration{std::chrono::milliseconds{320}};

auto forget_old_sends(account_share& account, duration window, instant now) -> void {
    while (!account.recent.empty() && account.recent.front().at + window <= now) {
        account.sent -= account.recent.front().count;
        account.recent.pop_front();
    }
}

auto used(account_share& account, duration window, instant now) -> std::int64_t {
    forget_old_sends(account, window, now);
    return account.sent + account.reserved;
}

auto held(account_share& account, duration window, instant now) -> std::int64_t {
    return std::max(account.units, used(account, window, now));
}

auto reserve_of(const account_share& account, instant now) -> std::int64_t {
    auto count = std::int64_t{0};
    for (auto group = account.recent.rbegin(); group != account.recent.rend() && group->at + rate_time > now;
         ++group) {
        count += group->count;
    }
    return count / reserve_parts;
}

/// Gives up all units when they may no longer be used. The controller may have given them to others.
auto expire(quota_share& state, instant now) -> void {
    if (!state.valid_from || now < *state.valid_from + state.timing.validity) {
        return;
    }
    state.valid_from.reset();
    ++state.generation;
    for (auto& [name, account] : state.accounts) {
        account.units = 0;
        account.reserved = 0;
    }
}

auto has_need(const account_share& account, instant now) -> bool {
    return account.waiting > 0 ||
           (account.last_demand != instant{} && now < account.last_demand + demand_time);
}

auto wanted_units(const account_share& account, std::int64_t in_use, instant now) -> std::int64_t {
    const auto is_denied = account.waiting == 0 && has_need(account, now);
    const auto reserve = std::max<std::int64_t>(reserve_of(account, now), is_denied ? 1 : 0);
    const auto free = account.units - in_use;
    return 2 * free < reserve ? reserve - free : 0;
}

} // namespace

auto set_totals(quota_share& state, const quota_totals& totals) -> void {
    for (auto& [name, account] : state.accounts) {
        const auto found = totals.find(name);
        const auto total = found == totals.end() ? 0 : found->second;
        if (total < account.total) {
            account.units = account.units * total / account.total;
        }
        account.total = total;
    }
    for (const auto& [name, total] : totals) {
        state.accounts[name].total = total;
    }
}

auto has_limit(const quota_share& state, std::string_view account) -> bool {
    const auto found = state.accounts.find(account);
    return found != state.accounts.end() && found->second.total > 0;
}

auto take_unit(quota_share& state, std::string_view account, instant now) -> unit_result {
    expire(state, now);
    auto& share = state.accounts.find(account)->second;
    if (state.valid_from && used(share, state.timing.window, now) < share.units) {
        ++share.reserved;
        return unit_result::taken;
    }
    share.last_demand = now;
    const auto is_asked_later = state.is_unanswered || now < share.next_ask;
    return is_asked_later ? refusal_of(state, account) : unit_result::ask;
}

auto refusal_of(const quota_share& state, std::string_view account) -> unit_result {
    const auto has_share = state.accounts.find(account)->second.units > 0;
    const auto is_pool_empty = state.is_settled && !state.is_unanswered;
    return state.valid_from && (has_share || is_pool_empty) ? unit_result::over_quota : unit_result::unknown;
}

auto use_unit(quota_share& state, const quota_unit& unit, instant now) -> bool {
    expire(state, now);
    if (unit.generation != state.generation) {
        return false;
    }
    auto& share = state.accounts.find(unit.account)->second;
    --share.reserved;
    ++share.sent;
    if (share.recent.empty() || now >= share.recent.back().at + group_time) {
        share.recent.push_back({.at = now, .count = 1});
    } else {
        share.recent.back() = {.at = now, .count = share.recent.back().count + 1};
    }
    return true;
}

auto return_unit(quota_share& state, const quota_unit& unit) -> void {
    if (unit.generation == state.generation) {
        --state.accounts.find(unit.account)->second.reserved;
    }
}

auto is_query_due(const quota_share& state, bool is_controller_new, instant now) -> bool {
    if (now < state.last_query + state.timing.min_interval) {
        return false;
    }
    const auto is_interval_over = now >= state.last_query + state.timing.interval;
    const auto is_retry_due = !state.is_unanswered || is_interval_over;
    return std::any_of(state.accounts.begin(), state.accounts.end(), [&](const auto& each) {
        const auto& account = each.second;
        const auto is_in_use = account.units > 0 || account.sent + account.reserved > 0 ||
                               account.recorded > 0 || account.is_unconfirmed || has_need(account, now);
        return (account.waiting > 0 && now >= account.next_ask && is_retry_due) ||
               (is_interval_over && (is_in_use || (is_controller_new && account.total > 0)));
    });
}

auto make_query(quota_share& state, instant now) -> quota_query {
    expire(state, now);
    state.asked_at = now;
    state.last_query = now;
    auto query = quota_query{.instance = state.instance,
                             .start_time_ms = state.start_time_ms,
                             .number = ++state.number,
                             .epoch = state.epoch,
                             .is_full = state.is_full_due,
                             .age = now - state.started,
                             .accounts = {}};
    for (auto& [name, account] : state.accounts) {
        const auto in_use = used(account, state.timing.window, now);
        account.units = std::min(account.units, std::max(in_use + reserve_of(account, now), std::int64_t{0}));
        const auto own = held(account, state.timing.window, now);
        const auto wanted = wanted_units(account, in_use, now);
        const auto has_changed = account.is_unconfirmed || own != account.recorded;
        if (has_changed || wanted > 0 || account.waiting > 0 || (query.is_full && own > 0)) {
            account.is_unconfirmed = true;
            query.accounts.push_back({.account = name,
                                      .total = account.total,
                                      .share = account.units,
                                      .held = own,
                                      .waiting = account.waiting,
                                      .wanted = wanted});
        }
    }
    return query;
}

auto on_reply(quota_share& state, const quota_reply& reply, instant now) -> bool {
    if (!state.asked_at || reply.number != state.number || reply.epoch < state.epoch) {
        return false;
    }
    const auto sent_at = *state.asked_at;
    state.asked_at.reset();
    state.is_unanswered = false;
    if (reply.epoch > state.epoch || !reply.is_recorded) {
        state.epoch = reply.epoch;
        state.is_full_due = true;
        state.last_query = {}; // The full query follows at once.
        return true;
    }
    if (now >= sent_at + state.timing.validity) {
        return false;
    }
    expire(state, now);
    state.valid_from = sent_at;
    state.is_full_due = false;
    state.is_settled = reply.is_settled;
    for (const auto& grant : reply.accounts) {
        auto& account = state.accounts[grant.account];
        account.is_unconfirmed = grant.total != account.total;
        account.recorded = grant.recorded;
        const auto added = grant.total == account.total ? grant.added : 0;
        account.units = std::max(account.units + added, std::int64_t{0});
        if (grant.added > 0) {
            account.ask_delay = {};
        } else if (account.waiting > 0) {
            account.ask_delay = std::clamp(account.ask_delay * 2, state.timing.min_interval, max_ask_delay);
            account.next_ask = now + account.ask_delay;
        }
    }
    return true;
}

auto on_unanswered(quota_share& state) -> void {
    state.asked_at.reset();
    state.is_unanswered = true;
}

auto units_used(quota_share& state, std::string_view account, instant now) -> std::int64_t {
    const auto found = state.accounts.find(account);
    return found == state.accounts.end() ? 0 : used(found->second, state.timing.window, now);
}

} // namespace teaselcross
