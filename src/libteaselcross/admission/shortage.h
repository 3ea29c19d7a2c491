#pragma once

// Shortage by value: which requests a service that is short of capacity refuses first.
//
// A less urgent request may use a target only up to a queue length below that at which more urgent requests
// would be refused (trunk reservation: P. Key, "Optimal control and trunk reservation in loss networks",
// 1990). How far below is a level for each rank, learned from what became of more urgent requests, as in
// overload control by priority (Zhou et al., "Overload control for scaling WeChat microservices", SoCC 2018).
// The targets' own queues are the state that instances share; the levels are each instance's own.

#include "admission/gate.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace teaselcross {

/// A request as the shortage decision knows it.
struct valued_request {
    std::uint32_t rank = 0;    ///< 0 is the most urgent.
    std::string_view account;  ///< Name of the client account; empty without one.
    bool is_returning = false; ///< The caller was refused before.
};

/// What a target offers to a request that would be sent to it now.
struct send_estimate {
    duration finish{};       ///< Expected time until the answer.
    duration service{};      ///< Time of a usual request in a slot of the target at present.
    duration work{};         ///< Time of this request in a slot of the target at present.
    std::uint32_t slots = 1; ///< Requests that the target runs at once.
};

/// Describes the target of @a view for a usual request. The work is that of a usual request.
auto estimate_send(const target_view& view, const view_options& options, instant now) -> send_estimate;

/// How a request ended.
enum class request_end {
    in_time,
    late,              ///< Answered after its objective; its target had no queue when it was sent.
    late_in_queue,     ///< Answered after its objective; its target had a queue when it was sent.
    no_capacity,       ///< Refused, as no target could answer it in time.
    yielded,           ///< Refused for a more urgent request.
    refused_otherwise, ///< Refused for a reason that less urgent requests have no part in.
};

struct shortage_options {
    /// A rank counts as present for this long after its last request.
    duration presence = std::chrono::seconds{3};
    /// Time constant of the shares of more urgent requests that were refused or late.
    duration harm_memory = std::chrono::seconds{2};
    /// Shares of harmed requests above which a level rises, and below which it may fall.
    double rise_share = 0.05;
    double fall_share = 0.02;
    /// A level rises once in this time at most: about how long the effect of a step takes to show.
    duration rise_interval = std::chrono::milliseconds{150};
    double decrease_factor = 0.6; ///< Of the open part, with each step.
    double increase_rate = 0.1;   ///< Of the open part, per second.
    /// The same while targets have next to no queue, so that the end of a shortage is known at once.
    double fast_increase_rate = 2;
    double idle_pressure = 0.1; ///< Pressure below which this is the case.
    /// The same for the most urgent rank: less urgent ones no longer yield enough above it.
    double urgent_idle_pressure = 0.3;
    duration pressure_memory = std::chrono::milliseconds{200}; ///< Time constant of the pressure.
    double min_open = 0.2; ///< Smallest open part; above the idle pressure, so that a level can last.
    /// Parts that a new caller, and one that would be answered late, have of what a returning caller of the
    /// rank may use.
    double new_caller_part = 0.7;
    double late_part = 0;
    double floor = 0.25; ///< Served share of a rank or account relative to that of all requests.
    /// Allows for requests that the floor lets pass and that are then refused for another reason.
    double floor_margin = 1.3;
    duration floor_memory = std::chrono::seconds{5}; ///< Time constant of the served shares.
    std::size_t max_accounts = 256;                  ///< Accounts whose served share is known.
};

/// Requests, and how many of them were served or harmed; both counts decay exponentially.
struct decaying_share {
    double all = 0;
    double counted = 0;
    instant updated{};
};

/// What is known of the requests of one rank.
struct rank_record {
    instant last_arrival{};
    double objective_us = 0; ///< Smoothed time from a request's arrival to its objective.
    decaying_share served;
    decaying_share harmed;
    std::uint64_t harm_count = 0; ///< Harmed requests so far.
    double open = 1;              ///< Part of the more urgent requests' queueing time that it may use.
    instant adjusted_at{};
    instant raised_at{};
    std::uint64_t harm_seen = 0; ///< Harmed requests of more urgent ranks at the last step.
};

/// One service's state at one instance. Not thread safe.
struct service_shortage {
    std::map<std::uint32_t, rank_record> ranks;
    std::unordered_map<std::string, decaying_share> accounts;
    instant accounts_forgotten_at{};
    decaying_share served;
    double pressure = 0; ///< Smoothed part of the queueing time of urgent requests that is in use.
    instant pressure_at{};
    double work_us = 0; ///< Smoothed work of new requests.
    bool is_active = false;
};

/// Records a request, once, when it arrives. @a objective: time from its arrival to its objective.
auto record_arrival(service_shortage& state, const valued_request& request, duration objective,
                    const shortage_options& options, instant now) -> void;

/// Records that a request is sent to a target, or that the target rejected it without running it.
auto record_send(service_shortage& state, const valued_request& request, const shortage_options& options,
                 instant now) -> void;
auto record_rejection(service_shortage& state, const valued_request& request, const shortage_options& options,
                      instant now) -> void;

/// Records the end of a request, once for each that arrived, unless its caller has left.
auto record_end(service_shortage& state, const valued_request& request, request_end end,
                const shortage_options& options, instant now) -> void;

/// Records the load of a target when a response has just told it; an older estimate would hide the end of a
/// shortage.
auto record_load(service_shortage& state, const send_estimate& estimate, const shortage_options& options,
                 instant now) -> void;

/// Decides whether a request may be sent to the target described by @a estimate. Returns nothing if so,
/// otherwise the time until the target's queue is expected to be short enough. Always nothing for the most
/// urgent rank that is present. @a draw in [0, 1) spreads the decisions of instances with equal knowledge.
auto check_shortage(service_shortage& state, const valued_request& request, const send_estimate& estimate,
                    duration to_objective, double draw, const shortage_options& options, instant now)
    -> std::optional<duration>;

/// Whether a request that is sent to the target described by @a estimate finds a queue there.
auto has_queue(const send_estimate& estimate) -> bool;

/// The highest level of a rank: 0 without a shortage, up to 1 - min_open.
auto shortage_level(const service_shortage& state) -> double;

/// Returns true when a shortage began since the last call, false when one ended, nothing without a change.
/// A shortage begins at a level of 0.3 and ends below 0.05. Call it about once a second at least.
auto take_shortage_change(service_shortage& state, const shortage_options& options, instant now)
    -> std::optional<bool>;

} // namespace teaselcross
