#pragma once

// What one instance knows of a target, and where its next request goes.
//
// Answers the pattern of many independent callers in front of few slots: each instance joins the target's own
// load report with what it has sent since, so that the report's age does not mislead it.

#include "core/identifier.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselcross {

/// A target as the platform's list describes it.
struct listed_target {
    target_id id;
    service_id service;
    std::string host; ///< An IP number.
    std::uint16_t port = 0;
    data_centre_id data_centre;
    std::uint32_t slots = 1;
    bool leaving = false;
    duration cold_remaining{};       ///< How much longer it bears little, as of this description.
    std::uint64_t start_time_ms = 0; ///< Milliseconds since the Unix epoch; 0 when it has not said.

    auto operator==(const listed_target&) const -> bool = default;
};

/// A target's own word on its load.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    double slowness = 1; ///< How long work takes there now; 1 is as usual.
};

struct target_view {
    listed_target listed;
    std::uint32_t in_flight = 0;      ///< Sent by this instance and not answered.
    double service_us = 0;            ///< Time of one request in a slot, smoothed; 0 before the first answer.
    std::uint32_t other_requests = 0; ///< Requests of other instances there at the last report.
    double usual_other_requests =
        0;               ///< The same, smoothed over reports: what an old report is taken to have become.
    double slowness = 1; ///< As last reported.
    instant reported_at{};
    std::uint32_t silent_sends = 0; ///< Sends in a row without any answer.
    instant avoid_until{};          ///< Nothing is sent before, unless there is no other choice.
    double error_rate = 0;          ///< Share of failed answers, smoothed.
    instant cold_until{};
    double cold_credit = 0; ///< Sends allowed now while cold.
    instant cold_credit_updated{};
    std::uint64_t answer_count = 0;
};

/// How many sends a second a cold target may get from this instance.
struct cold_rate_limit {
    double rate = 0;  ///< Sends a second.
    double burst = 1; ///< Sends at once.
};

struct view_options {
    duration report_decay_time =
        std::chrono::milliseconds{400}; ///< The noise of neighbours changes that often.
    duration initial_backoff = std::chrono::milliseconds{250}; ///< After a send without any answer.
    duration max_backoff = std::chrono::milliseconds{2000};
    double smoothing = 0.15;                                        ///< Weight of the newest completion.
    double report_smoothing = 0.2;                                  ///< Weight of the newest report.
    duration default_service_time = std::chrono::milliseconds{100}; ///< Assumed before the first answer.
};

/// Requests of other instances that are at the target at @a now, as far as is known: the last report, which
/// fades into what reports usually say.
auto expected_other_requests(const target_view& view, const view_options& options, instant now) -> double;

/// When a request sent at @a now would be answered, as far as is known.
auto expected_finish(const target_view& view, const view_options& options, instant now) -> duration;

/// Whether @a view is cold at @a now.
auto is_cold(const target_view& view, instant now) -> bool;

/// Whether a cold target may get one more send; takes the credit.
auto take_cold_credit(target_view& view, const cold_rate_limit& share, instant now) -> bool;
/// Whether take_cold_credit() would succeed.
auto has_cold_credit(const target_view& view, const cold_rate_limit& share, instant now) -> bool;

/// A target is cold from @a now on, for @a period.
auto mark_cold(target_view& view, duration period, instant now) -> void;

auto on_sent(target_view& view) -> void;

/// How a send ended.
enum class send_result {
    answered,  ///< With success, or a failure that is the request's own.
    failed,    ///< With a failure of the target.
    shed,      ///< Refused without running it.
    no_answer, ///< No connection, a reset, or no answer in time.
    withdrawn, ///< The caller left; nothing is learned.
};

/// A send ended after @a latency. Precondition: on_sent() was called for it.
auto on_ended(target_view& view, send_result result, duration latency, const view_options& options,
              instant now) -> void;
auto on_report(target_view& view, const load_report& report, instant now) -> void;

/// What a choice among the targets of a service weighs beside their load.
struct choice_context {
    data_centre_id own_data_centre;
    duration distance_cost{}; ///< Added for a target in another data centre: its bytes are dear.
    /// A near target that is expected to answer later than this is not preferred for being near.
    duration max_local_finish = duration::max();
    std::vector<target_id> tried_targets; ///< Targets that have had this request.
    view_options view;
};

/// The target with the earliest expected finish, or null when none may get a request now.
/// @a targets must hold no null pointer and no cold target that has had its share. @a tie_break orders equal
/// ones, different for each request.
auto choose_view(const std::vector<target_view*>& targets, const choice_context& context,
                 std::uint64_t tie_break, instant now) -> target_view*;

} // namespace teaselcross
