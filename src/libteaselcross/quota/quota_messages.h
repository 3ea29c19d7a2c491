#pragma once

// Terms of the quota protocol that both sides share. See docs/design/quotas.md.

#include "accounts/client_accounts.h"
#include "core/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace teaselcross {

/// How far all instances together may exceed a quota, and over which time it is counted.
struct quota_bounds {
    duration window = std::chrono::seconds{5};
    double overage = 0.1; ///< Fraction of the quota.
    double slack = 20;    ///< Requests.
};

/// Times of the protocol.
struct quota_timing {
    duration window = quota_bounds{}.window;     ///< As in quota_bounds.
    duration validity = std::chrono::seconds{8}; ///< Of a share, from the last query that was answered.
    duration margin = std::chrono::seconds{1};   ///< For clocks, when a share is taken back.
    duration interval = std::chrono::milliseconds{400};    ///< Between two queries while units are in use.
    duration min_interval = std::chrono::milliseconds{20}; ///< Between two queries at any time.
};

/// Whether @a quota limits anything: a rate of 0 is no limit.
auto is_limited(const account_quota& quota) -> bool;

/// The units of an account: how many of its requests may be sent in any window, by all instances together.
/// Half of what @a bounds allow beyond the quota is left unused. 0 if the quota is no limit. Thread safe.
auto quota_units(const account_quota& quota, const quota_bounds& bounds) -> std::int64_t;

/// The most units of an account that one of @a fleet instances is given: several times an even part, as
/// callers spread unevenly. It bounds what an instance of which nothing is known may hold. Thread safe.
auto max_share(std::int64_t total, std::size_t fleet) -> std::int64_t;

/// Units by account, of the accounts that have a limit.
using quota_totals = std::map<std::string, std::int64_t, std::less<>>;

/// The units of all accounts of @a accounts that have a limit. Thread safe.
auto quota_totals_of(const account_directory& accounts, const quota_bounds& bounds) -> quota_totals;

/// Orders the terms of controllers.
struct quota_epoch {
    std::uint64_t era = 0;
    std::uint64_t number = 0;

    auto operator<=>(const quota_epoch&) const = default;
};

/// What an instance states about an account.
struct quota_statement {
    std::string account;
    std::int64_t total = 0;   ///< Units of the account by the configuration that the instance applies.
    std::int64_t share = 0;   ///< Units that it may use.
    std::int64_t held = 0;    ///< Its share, or what it ran in the last window if that is more.
    std::int64_t waiting = 0; ///< Units for requests that wait.
    std::int64_t wanted = 0;  ///< Further units for requests expected soon.
};

/// An instance's statement of its shares and needs.
struct quota_query {
    std::string instance;
    std::uint64_t start_time_ms = 0; ///< Identifies its process.
    std::uint64_t number = 0;        ///< Rises with each query of the process.
    quota_epoch epoch;               ///< Of the controller that it is meant for.
    bool is_full = false;            ///< It holds nothing of the accounts that are not listed.
    duration age{};                  ///< How long its process has run, without time in suspension.
    std::vector<quota_statement> accounts;
};

/// The controller's answer about one account.
struct quota_grant {
    std::string account;
    std::int64_t total = 0; ///< By the configuration that the controller applies.
    std::int64_t added = 0; ///< Units that the instance gets; negative: that it has to give up.
    std::int64_t recorded =
        0; ///< Units that the instance holds by the controller's record, added ones included.
};

struct quota_reply {
    std::uint64_t number = 0;          ///< Of the query.
    quota_epoch epoch;                 ///< Of the controller.
    bool is_recorded = false;          ///< False: a full query with this epoch is needed first.
    bool is_settled = false;           ///< No units are out that no instance has stated.
    std::vector<quota_grant> accounts; ///< One for each account of the query.
};

} // namespace teaselcross
