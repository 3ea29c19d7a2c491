#include "quota/quota_ledger.h"

#include <algorithm>

namespace teaselcross {

namespace {

/// One query gets at most this part of the pool for requests that are only expected.
constexpr auto reserve_parts = std::int64_t{8};

auto return_units(quota_ledger& state, quota_ledger::holder& from) -> void {
    for (const auto& [account, holding] : from.accounts) {
        state.accounts[account].pool += holding.held;
    }
    from.accounts.clear();
}

/// Marks earlier processes of an instance of which a later one was heard. The mark goes when such a process
/// is heard again: start times are times of day, which may jump.
auto mark_replaced(std::map<std::uint64_t, quota_ledger::holder>& processes, std::uint64_t heard, instant now)
    -> void {
    for (auto& [start, process] : processes) {
        if (start < heard && !process.replaced_at) {
            process.replaced_at = now;
        } else if (start == heard) {
            process.replaced_at.reset();
        }
    }
}

/// Records a statement. Under different configurations a lower one would free units that the other
/// configuration does not have, so it counts only once both agree.
auto record_statement(quota_ledger& state, quota_ledger::holding& holding, const quota_statement& stated,
                      bool is_first) -> void {
    auto& account = state.accounts[stated.account];
    const auto before = holding.held;
    const auto stated_held = std::max({stated.held, stated.share, std::int64_t{0}});
    holding.held = stated.total == account.total ? stated_held : std::max(before, stated_held);
    holding.share = std::max<std::int64_t>(stated.share, 0);
    holding.total = stated.total;
    // The units that a process states first are among those that are out after a takeover.
    if (!is_first || state.is_settled) {
        account.pool += before - holding.held;
    }
}

auto give_units(quota_ledger::account& account, quota_ledger::holding& to, const quota_statement& stated,
                std::size_t fleet) -> std::int64_t {
    const auto left = std::max<std::int64_t>(max_share(account.total, fleet) - to.held, 0);
    const auto available = std::min(account.pool, left);
    const auto waiting = std::min(available, std::max<std::int64_t>(stated.waiting, 0));
    const auto spare = std::min((account.pool - waiting) / reserve_parts, available - waiting);
    const auto given = waiting + std::min(spare, std::max<std::int64_t>(stated.wanted, 0));
    account.pool -= given;
    to.held += given;
    to.share += given;
    return given;
}

/// The part of the shares beyond @a total that the holder of @a from has to give up. Those of instances that
/// apply an earlier, higher total count as what they will be when these apply the present one.
auto excess_share(const quota_ledger& state, std::string_view account, std::int64_t total,
                  quota_ledger::holding& from) -> std::int64_t {
    auto sum = std::int64_t{0};
    for (const auto& [name, processes] : state.holders) {
        for (const auto& [start, process] : processes) {
            const auto found = process.accounts.find(account);
            if (found != process.accounts.end()) {
                const auto& holding = found->second;
                sum += holding.total > total ? holding.share * total / holding.total : holding.share;
            }
        }
    }
    if (sum <= total) {
        return 0;
    }
    const auto cut = (from.share * (sum - total) + sum - 1) / sum;
    from.share -= cut;
    return cut;
}

/// A full query holds nothing of the accounts that it does not list.
auto drop_unlisted(quota_ledger& state, quota_ledger::holder& from, const quota_query& query) -> void {
    auto listed = std::set<std::string_view>{};
    for (const auto& each : query.accounts) {
        listed.insert(each.account);
    }
    for (auto& [account, holding] : from.accounts) {
        if (!listed.contains(account)) {
            state.accounts[account].pool += holding.held;
            holding = {};
        }
    }
}

/// Records one statement and decides what its sender gets.
auto answer_statement(quota_ledger& state, quota_ledger::holder& from, const quota_statement& stated,
                      bool is_first, bool may_give) -> quota_grant {
    auto& holding = from.accounts[stated.account];
    record_statement(state, holding, stated, is_first);
    auto& account = state.accounts[stated.account];
    auto added = std::int64_t{0};
    if (stated.total == account.total && account.pool > 0) {
        added = may_give ? give_units(account, holding, stated, state.fleet) : 0;
    } else if (stated.total == account.total && account.pool < 0) {
        added = -excess_share(state, stated.account, account.total, holding);
    }
    return {.account = stated.account, .total = account.total, .added = added, .recorded = holding.held};
}

/// Number of instances that may hold units which they have not stated, or had an earlier process that may
/// have used units within the window.
auto count_unknown(const quota_ledger& state, const std::set<std::string>& instances, instant now)
    -> std::int64_t {
    auto count = std::int64_t{0};
    for (const auto& name : instances) {
        count += state.holders.contains(name) ? 0 : 1;
    }
    for (const auto& [name, processes] : state.holders) {
        const auto is_new = std::any_of(processes.begin(), processes.end(), [now](const auto& each) {
            return now < each.second.successor_until;
        });
        count += is_new ? 1 : 0;
    }
    return count;
}

/// Frees what cannot be out even if each unknown instance holds as much as it may.
auto free_unheld_units(quota_ledger& state, const std::set<std::string>& instances, instant now) -> void {
    const auto unknown = count_unknown(state, instances, now);
    for (auto& [name, account] : state.accounts) {
        const auto bound = unknown * max_share(account.total, (state.fleet + 1) / 2);
        account.pool = std::max<std::int64_t>(account.total - units_out(state, name) - bound, 0);
    }
}

/// Settles the ledger once no units can be out that no instance has stated.
auto settle_when_known(quota_ledger& state, const quota_takeover& takeover, instant now) -> void {
    const auto lifetime = state.timing.validity + state.timing.window + state.timing.margin;
    // A process that replaces one which has stated its share may get units of an earlier controller that has
    // not ended.
    const auto has_earlier_ended = takeover.earlier_ended <= state.began;
    const auto have_all_stated = has_earlier_ended && takeover.instances &&
                                 std::all_of(takeover.instances->begin(), takeover.instances->end(),
                                             [&](const auto& name) { return state.holders.contains(name); });
    state.all_stated_at =
        have_all_stated ? std::optional{state.all_stated_at.value_or(now)} : std::optional<instant>{};
    const auto have_all_expired = now >= std::max(state.began, takeover.earlier_ended) + lifetime;
    if (!have_all_expired && !(have_all_stated && now >= *state.all_stated_at + state.timing.window)) {
        if (takeover.instances && has_earlier_ended) {
            free_unheld_units(state, *takeover.instances, now);
        }
        return;
    }
    state.is_settled = true;
    for (auto& [name, account] : state.accounts) {
        account.pool = account.total - units_out(state, name);
    }
}

} // namespace

auto begin_ledger(const quota_timing& timing, const quota_epoch& epoch, bool is_first_start, instant now)
    -> quota_ledger {
    auto state = quota_ledger{};
    state.timing = timing;
    state.epoch = epoch;
    state.began = now;
    state.is_settled = is_first_start;
    return state;
}

auto set_totals(quota_ledger& state, const quota_totals& totals) -> void {
    const auto apply = [&state](quota_ledger::account& account, std::int64_t total) {
        const auto change = total - account.total;
        // Before the ledger is settled, units of a raised quota may be out already.
        account.pool += change < 0 || state.is_settled ? change : 0;
        account.total = total;
    };
    for (auto& [name, account] : state.accounts) {
        if (!totals.contains(name)) {
            apply(account, 0);
        }
    }
    for (const auto& [name, total] : totals) {
        apply(state.accounts[name], total);
    }
}

auto on_query(quota_ledger& state, const quota_query& query, bool may_give, instant now)
    -> std::optional<quota_reply> {
    auto reply = quota_reply{
        .number = query.number, .epoch = state.epoch, .is_settled = state.is_settled, .accounts = {}};
    const auto known = state.holders.find(query.instance);
    const auto is_known = known != state.holders.end() && known->second.contains(query.start_time_ms);
    if (query.epoch != state.epoch || (!is_known && !query.is_full)) {
        return reply;
    }
    auto& processes = state.holders[query.instance];
    auto& from = processes[query.start_time_ms];
    if (is_known && query.number <= from.number) {
        return std::nullopt;
    }
    mark_replaced(processes, query.start_time_ms, now);
    from.number = query.number;
    from.heard_at = now;
    if (!is_known) {
        from.successor_until = now + state.timing.window + state.timing.margin - query.age;
    }
    reply.is_recorded = true;
    if (query.is_full) {
        drop_unlisted(state, from, query);
    }
    for (const auto& each : query.accounts) {
        reply.accounts.push_back(answer_statement(state, from, each, !is_known, may_give));
    }
    std::erase_if(from.accounts, [](const auto& each) { return each.second.held == 0; });
    return reply;
}

auto reclaim_units(quota_ledger& state, const quota_takeover& takeover, instant now) -> void {
    const auto lifetime = state.timing.validity + state.timing.window + state.timing.margin;
    for (auto instance = state.holders.begin(); instance != state.holders.end();) {
        auto& processes = instance->second;
        for (auto process = processes.begin(); process != processes.end();) {
            auto& held = process->second;
            // A process that states its share to a later controller is silent here but goes on using it.
            const auto is_silent = takeover.holds_lease && now >= held.heard_at + lifetime;
            const auto has_ended = held.replaced_at && now >= *held.replaced_at + state.timing.window;
            if (is_silent || has_ended) {
                return_units(state, held);
            }
            // Before the ledger is settled, a process has to stay known as one that has stated its share.
            const auto is_forgotten = state.is_settled && (is_silent || has_ended);
            process = is_forgotten ? processes.erase(process) : std::next(process);
        }
        instance = processes.empty() ? state.holders.erase(instance) : std::next(instance);
    }
    if (!state.is_settled) {
        settle_when_known(state, takeover, now);
    }
}

auto units_out(const quota_ledger& state, std::string_view account) -> std::int64_t {
    auto sum = std::int64_t{0};
    for (const auto& [name, processes] : state.holders) {
        for (const auto& [start, process] : processes) {
            const auto found = process.accounts.find(account);
            sum += found == process.accounts.end() ? 0 : found->second.held;
        }
    }
    return sum;
}

} // namespace teaselcross
