#pragma once

// Counters and latency histograms, exported in the Prometheus text format.

#include "core/enum_names.h"
#include "core/time.h"

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace teaselcross {

enum class counter {
    requests,
    answered,
    refused_not_run,
    outcome_unknown,
    bad_requests,
    cut_answers,
    attempts,
    hedges,
    joined_operations,
    repeated_answers,
    heartbeats,
    shards_assigned,
    shards_released,
    target_coolings,
    membership_bytes_sent,
    membership_bytes_received,
    connections_opened,
    callers_left,
    grants_made,
    grants_unanswered,
    ranges_moved,
    sends_to_data_centres_out,
    quiet_requests,
    unauthorized,
    load_messages,
    load_messages_unanswered,
    shared_reports_merged,
    known_full_refusals,
    orders_not_sent,
};
constexpr enum_table<counter, 29> counter_names{"requests_total",
                                                "answered_total",
                                                "refused_not_run_total",
                                                "outcome_unknown_total",
                                                "bad_requests_total",
                                                "cut_answers_total",
                                                "attempts_total",
                                                "hedges_total",
                                                "joined_operations_total",
                                                "repeated_answers_total",
                                                "heartbeats_total",
                                                "shards_assigned_total",
                                                "shards_released_total",
                                                "target_coolings_total",
                                                "membership_sent_bytes_total",
                                                "membership_received_bytes_total",
                                                "connections_opened_total",
                                                "callers_left_total",
                                                "grants_made_total",
                                                "grants_unanswered_total",
                                                "ranges_moved_total",
                                                "sends_to_data_centres_out_total",
                                                "quiet_requests_total",
                                                "unauthorized_total",
                                                "load_messages_total",
                                                "load_messages_unanswered_total",
                                                "shared_reports_merged_total",
                                                "known_full_refusals_total",
                                                "orders_not_sent_total"};

/// The operation whose latency is recorded.
enum class timing { request, keeper_queue, target, event_loop_delay, change_delay };
constexpr enum_table<timing, 5> timing_names{"request_seconds", "keeper_queue_seconds", "target_seconds",
                                             "event_loop_delay_seconds", "change_delay_seconds"};

/// A value that is read when the metrics are exported.
struct gauge {
    std::string name; ///< Without the common prefix.
    std::string kind; ///< Value of the label "kind".
    double value = 0;
};

/// The metrics of one process. Thread safe.
class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    auto operator=(const metrics&) -> metrics& = delete;
    ~metrics();

    auto count(counter which, std::uint64_t increment = 1) -> void;
    auto value(counter which) const -> std::uint64_t;
    auto time(timing which, duration latency) -> void;

    /// Sets the function that returns the gauges. It is called by to_text(), on that thread. Precondition: no
    /// other thread uses the metrics yet.
    auto set_gauge_source(std::function<std::vector<gauge>()> source) -> void {
        m_gauge_source = std::move(source);
    }

    /// Returns all metrics in the Prometheus text format, version 0.0.4.
    auto to_text() const -> std::string;

private:
    struct histograms;

    std::array<std::atomic<std::uint64_t>, counter_names.size()> m_counters{};
    mutable std::mutex m_mutex;
    std::unique_ptr<histograms> m_histograms;
    std::function<std::vector<gauge>()> m_gauge_source;
};

} // namespace teaselcross
