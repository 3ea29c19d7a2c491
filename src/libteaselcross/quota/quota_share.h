#pragma once

// An instance's side of quotas: how many requests of each account it may send in any window.

#include "quota/quota_messages.h"

#include <deque>
#include <optional>

namespace teaselcross {

/// An instance's units of one account.
struct account_share {
    struct sends {
        instant at{}; ///< Of the latest one.
        std::int64_t count = 0;
    };

    std::int64_t total = 0;      ///< Units of all instances.
    std::int64_t units = 0;      ///< The share.
    std::int64_t reserved = 0;   ///< Units of requests that have not been sent yet.
    std::deque<sends> recent;    ///< Sends within the window.
    std::int64_t sent = 0;       ///< Number of sends in @a recent.
    std::int64_t waiting = 0;    ///< Requests that wait for a unit.
    std::int64_t recorded = 0;   ///< Units held by the controller's record, as last heard.
    bool is_unconfirmed = false; ///< The controller may have another record than it said.
    instant last_demand{};       ///< Of a request that got no unit.
    instant next_ask{};          ///< The controller had no units for it; it is not asked before.
    duration ask_delay{};
};

/// An instance's units of all accounts. Not thread safe.
struct quota_share {
    quota_timing timing;
    std::string instance;
    std::uint64_t start_time_ms = 0;
    instant started{}; ///< Start of the process.
    quota_epoch epoch; ///< Of the latest controller that was heard.
    std::uint64_t number = 0;
    bool is_full_due = true;           ///< The controller has no record of this process.
    bool is_settled = true;            ///< As the controller said.
    bool is_unanswered = false;        ///< The last query was not answered in time.
    std::uint64_t generation = 0;      ///< Rises when the shares expire.
    std::optional<instant> valid_from; ///< When the last query that was answered was sent.
    std::optional<instant> asked_at;   ///< When the latest query was sent, until it is answered.
    instant last_query{};
    std::map<std::string, account_share, std::less<>> accounts;
};

/// The right to send one request.
struct quota_unit {
    std::string account;
    std::uint64_t generation = 0; ///< Of quota_share.
};

enum class unit_result {
    taken,      ///< The request may be sent; also if the account has no limit.
    ask,        ///< The controller may have units.
    over_quota, ///< No units are left.
    unknown,    ///< No share may be used.
};

/// Applies the units of the configuration. A lowered total scales the share down.
auto set_totals(quota_share& state, const quota_totals& totals) -> void;

/// Whether @a account has a limit.
auto has_limit(const quota_share& state, std::string_view account) -> bool;

/// Reserves a unit of @a account if there is one. Precondition: the account has a limit.
auto take_unit(quota_share& state, std::string_view account, instant now) -> unit_result;

/// Why a request of @a account that waited in vain gets no unit.
auto refusal_of(const quota_share& state, std::string_view account) -> unit_result;

/// Counts a send with @a unit, which was taken before and is used up. Returns false if the unit is no longer
/// valid, so that nothing may be sent.
auto use_unit(quota_share& state, const quota_unit& unit, instant now) -> bool;

/// Returns a unit that was taken, because nothing was sent.
auto return_unit(quota_share& state, const quota_unit& unit) -> void;

/// Whether a query should be sent at @a now. @a is_controller_new: the controller may have changed since the
/// last answer.
auto is_query_due(const quota_share& state, bool is_controller_new, instant now) -> bool;

/// Makes the next query, and gives up the units that are not needed.
auto make_query(quota_share& state, instant now) -> quota_query;

/// Handles a reply; one that is not to the latest query is ignored. Returns whether it was accepted.
auto on_reply(quota_share& state, const quota_reply& reply, instant now) -> bool;

/// Records that the latest query was not answered in time.
auto on_unanswered(quota_share& state) -> void;

/// Sends of @a account within the window before @a now, and units reserved.
auto units_used(quota_share& state, std::string_view account, instant now) -> std::int64_t;

} // namespace teaselcross
