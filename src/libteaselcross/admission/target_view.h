#pragma once

// One instance's load data of a target, and the choice of the target for the next request.
//
// Many instances send to few slots independently of each other. Each instance adds the requests that it has
// sent itself to the target's last load report, so that a stale report doesn't mislead it.

#include "core/identifier.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselcross {

/// A target as described in the platform's list.
struct listed_target {
    target_id id;
    service_id service;
    std::string host; ///< An IP address.
    std::uint16_t port = 0;
    data_centre_id data_centre;
    std::uint32_t slots = 1;
    bool leaving = false;
    duration cold_remaining{};       ///< How much longer it counts as cold, as of this description.
    std::uint64_t start_time_ms = 0; ///< Process start, milliseconds since the Unix epoch; 0 if not reported.

    std::uint64_t sequence = 0; ///< Number of this description among those of the same process.

    auto operator==(const listed_target&) const -> bool = default;
};

/// The load that a target reports of itself.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    double slowness = 1; ///< Current processing time relative to the usual one.
};

/// A change of the number of this instance's own requests at a target.
struct in_flight_change {
    instant at{};
    std::uint32_t before = 0;
};

struct target_view {
    listed_target listed;
    std::uint32_t in_flight = 0;      ///< Sent by this instance and not yet ended.
    double service_us = 0;            ///< Smoothed time of one request in a slot; 0 before the first answer.
    std::uint32_t other_requests = 0; ///< Requests of other instances at the last report.
    double usual_other_requests = 0;  ///< Smoothed over reports; assumed once a report is stale.
    double slowness = 1;              ///< As last reported.
    instant reported_at{};
    std::uint32_t silent_sends = 0; ///< Consecutive sends without any answer.
    instant avoid_until{};          ///< End of the backoff; choose_view() skips the target before.
    /// The target has asked this instance for no requests before this time.
    instant quiet_until{};
    /// The target accepts no more connections; requests before this time would be lost with theirs.
    instant full_until{};
    std::uint32_t resets = 0; ///< Consecutive connections that the target reset at once.
    double error_rate = 0;    ///< Smoothed share of failed answers.
    instant cold_until{};
    double cold_credit = 0; ///< Tokens of the cold rate limit; one per send.
    instant cold_credit_updated{};
    std::uint64_t answer_count = 0;
    /// The latest changes of in_flight, as a ring; see in_flight_at().
    std::array<in_flight_change, 8> changes{};
    std::uint32_t change_count = 0;
    instant shared_at{};       ///< When a report of another instance last arrived.
    std::uint32_t full_at = 0; ///< Requests at the target when its queue was last full; 0 if unknown.
};

/// Token bucket that limits what this instance sends to a cold target.
struct cold_rate_limit {
    double rate = 0;  ///< Sends per second.
    double burst = 1; ///< Size of the bucket.
};

struct view_options {
    /// Time constant of the decay of a report; interference from other processes on the target's machine
    /// changes about as fast.
    duration report_decay_time = std::chrono::milliseconds{400};
    /// Backoff after a send without any answer; doubles with each further one.
    duration initial_backoff = std::chrono::milliseconds{250};
    duration max_backoff = std::chrono::milliseconds{2000};
    /// How long nothing is sent to a target that accepts no more connections: some requests end meanwhile.
    /// Doubles with each further reset; a full queue takes seconds to empty.
    duration full_backoff = std::chrono::milliseconds{150};
    duration max_full_backoff = std::chrono::milliseconds{1200};
    double smoothing = 0.15;                                        ///< Weight of the newest completion.
    double report_smoothing = 0.2;                                  ///< Weight of the newest report.
    duration default_service_time = std::chrono::milliseconds{100}; ///< Assumed before the first answer.
};

/// Estimates the requests of other instances at the target: the last report, which decays exponentially
/// towards the mean of the reports.
auto expected_other_requests(const target_view& view, const view_options& options, instant now) -> double;

/// Estimates the time that a request takes in a slot of the target at @a now.
auto expected_service(const target_view& view, const view_options& options, instant now) -> duration;

/// Estimates the time until a request sent at @a now is answered.
auto expected_finish(const target_view& view, const view_options& options, instant now) -> duration;

/// Estimates how much longer than usual the target takes now: the last report, which decays towards 1.
auto expected_slowness(const target_view& view, const view_options& options, instant now) -> double;

/// Whether reports of other instances about the target arrive.
auto has_shared_reports(const target_view& view, instant now) -> bool;

/// Whether @a view is cold at @a now.
auto is_cold(const target_view& view, instant now) -> bool;

/// Takes a token for one send to a cold target; false if there is none.
auto take_cold_credit(target_view& view, const cold_rate_limit& limit, instant now) -> bool;
/// Whether take_cold_credit() would succeed.
auto has_cold_credit(const target_view& view, const cold_rate_limit& limit, instant now) -> bool;

/// Marks a target as cold from @a now on, for at least @a period.
auto mark_cold(target_view& view, duration period, instant now) -> void;

/// Records that a request was sent at @a now, which only in_flight_at() uses.
auto on_sent(target_view& view, instant now = {}) -> void;

/// This instance's own requests at the target at @a when, as far as the latest changes tell.
auto in_flight_at(const target_view& view, instant when) -> std::uint32_t;

/// How a send ended.
enum class send_result {
    answered,  ///< Success, or an error caused by the request itself.
    failed,    ///< An error of the target.
    shed,      ///< The target refused it without running it.
    no_answer, ///< No connection, a reset, or no answer in time.
    reset,     ///< A new connection was reset at once, as by a target that has too many.
    withdrawn, ///< The caller disconnected; says nothing about the target.
};

/// Records the end of a send after @a latency. Precondition: on_sent() was called for it.
auto on_ended(target_view& view, send_result result, duration latency, const view_options& options,
              instant now) -> void;
/// Records a load report of the target.
auto on_report(target_view& view, const load_report& report, instant now) -> void;
/// Records a report of @a reported_at, with the requests of other instances that it shows.
auto set_report(target_view& view, std::uint32_t other_requests, double slowness, instant reported_at)
    -> void;

/// What the choice among the targets of a service considers besides their load.
struct choice_context {
    data_centre_id own_data_centre;
    duration distance_cost{}; ///< Added for a target in another data centre, for the cost of traffic.
    /// A target in the own data centre that is expected to answer later than this is not preferred.
    duration max_local_finish = duration::max();
    std::vector<target_id> tried_targets; ///< Targets to which this request was already sent.
    /// Costs are raised by a random part of up to this, so that instances with the same reports do not choose
    /// the same target.
    double jitter = 0.12;
    view_options view;
};

/// Returns the target with the lowest cost (expected finish, error rate, distance), or null if none may get a
/// request now. @a tie_break seeds a small jitter and should differ between requests.
/// Precondition: @a targets holds no null pointer and no cold target without a token.
auto choose_view(const std::vector<target_view*>& targets, const choice_context& context,
                 std::uint64_t tie_break, instant now) -> target_view*;

} // namespace teaselcross
