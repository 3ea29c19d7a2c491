#pragma once

// The controller's side of quotas: which units of each account's window are out at which instance.

#include "quota/quota_messages.h"

#include <optional>
#include <set>

namespace teaselcross {

/// Record of the units of all accounts, for one term of a controller. Not thread safe.
struct quota_ledger {
    struct account {
        std::int64_t total = 0;
        std::int64_t pool = 0; ///< Units that may be given; negative after the quota was lowered.
    };
    /// What a process holds of an account, as it stated, with what it was given since.
    struct holding {
        std::int64_t held = 0;
        std::int64_t share = 0;
        std::int64_t total = 0; ///< By the configuration that the instance applied.
    };
    /// A process of an instance.
    struct holder {
        std::uint64_t number = 0; ///< Of its last query.
        instant heard_at{};
        std::optional<instant> replaced_at; ///< When a later process of the instance was heard.
        /// Until then an earlier process of the instance may have sent requests within the window.
        instant successor_until{};
        std::map<std::string, holding, std::less<>> accounts;
    };

    quota_timing timing;
    quota_epoch epoch;
    std::size_t fleet = 1; ///< Number of instances; limits what one is given.
    instant began{};
    bool is_settled = false; ///< No units are out that no instance has stated.
    std::optional<instant> all_stated_at;
    std::map<std::string, account, std::less<>> accounts;
    std::map<std::string, std::map<std::uint64_t, holder>, std::less<>> holders; ///< By instance and start.
};

/// What the controller knows of its predecessors and the fleet.
struct quota_takeover {
    /// From when on no earlier controller answers queries.
    instant earlier_ended{};
    /// Names of all instances; nothing if some may be unknown.
    std::optional<std::set<std::string>> instances;
    /// It holds the lease, so that no later controller has begun.
    bool holds_lease = false;
};

/// Begins a term at @a now. @a is_first_start: there was no earlier controller, so all units are in the pool.
auto begin_ledger(const quota_timing& timing, const quota_epoch& epoch, bool is_first_start, instant now)
    -> quota_ledger;

/// Applies the units of the configuration. A lowered total leaves the pool at once; a raised one adds to it.
auto set_totals(quota_ledger& state, const quota_totals& totals) -> void;

/// Handles a query at @a now. Nothing is given unless @a may_give. Returns nothing if the query is older than
/// one that was handled.
auto on_query(quota_ledger& state, const quota_query& query, bool may_give, instant now)
    -> std::optional<quota_reply>;

/// Returns to the pool what is no longer out at @a now: the shares of processes that are silent or were
/// replaced, and after a takeover the units that nobody stated. Before those are known to be free, the pool
/// has what is left if each instance of which nothing is known holds the most that it may have been given by
/// a controller that knew half as many instances, unless an earlier controller may still act. Precondition:
/// the fleet at most doubles within the lifetime of a share.
auto reclaim_units(quota_ledger& state, const quota_takeover& takeover, instant now) -> void;

/// Units of @a account that are out at instances, as recorded.
auto units_out(const quota_ledger& state, std::string_view account) -> std::int64_t;

} // namespace teaselcross
