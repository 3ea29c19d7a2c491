#pragma once

// Load reports of targets that the instances of a data centre share with each other.
//
// Each instance sends what it has heard to one of them, the exchange, and receives what others have heard
// since its last message. Times travel as ages, because the instances' clocks differ.

#include "admission/target_view.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace teaselcross {

/// A target's load report as one instance tells it to others.
struct shared_report {
    std::uint64_t target = 0;   ///< See target_hash().
    std::uint32_t requests = 0; ///< Running and waiting at the target.
    double slowness = 1;        ///< Current processing time relative to the usual one.
    duration service{};         ///< Usual time of a request in a slot, as the sender knows it; 0 if unknown.
    bool rejected = false;      ///< The target has rejected a request with it because its queue was full.
    instant reported_at{};

    auto operator==(const shared_report&) const -> bool = default;
};

/// Identifies a process of a target in shared reports, in 48 bits. Two of 10,000 targets have the same value
/// with a probability below one in a million. Thread safe.
auto target_hash(const listed_target& listed) -> std::uint64_t;

/// What an instance has heard and not yet sent: the newest report of each target.
using load_outbox = std::map<std::uint64_t, shared_report>;

/// Adds @a report unless a newer one of its target is known.
auto add_report(load_outbox& outbox, const shared_report& report) -> void;
/// Removes the @a limit newest reports from the outbox and returns them. Older ones are dropped.
auto take_reports(load_outbox& outbox, std::size_t limit) -> std::vector<shared_report>;

struct exchange_options {
    /// A report that is older says nothing about the present load.
    duration max_age = std::chrono::milliseconds{1500};
    /// An instance that has not been heard of for longer gets all reports again.
    duration forget_instance_after = std::chrono::seconds{10};
    std::size_t max_reports = 96; ///< In one message; about three kilobytes.
};

/// What the exchange keeps: the newest report of each target, and up to which one each instance has them.
/// Not thread safe.
struct load_exchange {
    struct known_report {
        shared_report report;
        std::string source;         ///< The instance that sent it, which does not get it back.
        std::uint64_t sequence = 0; ///< In the order of arrival.
    };
    struct known_instance {
        std::uint64_t returned = 0; ///< The last sequence that was considered for it.
        instant heard_at{};
    };

    std::unordered_map<std::uint64_t, known_report> reports; ///< By target.
    std::map<std::uint64_t, std::uint64_t> by_sequence;      ///< The target of each sequence.
    std::map<std::string, known_instance> instances;
    std::uint64_t last_sequence = 0;
    instant next_cleaning{};
};

/// Handles the message of @a instance with the reports that it has heard. Returns the newest reports of other
/// instances that it has not been sent yet, the latest first.
auto exchange_reports(load_exchange& state, const std::string& instance,
                      const std::vector<shared_report>& heard, const exchange_options& options, instant now)
    -> std::vector<shared_report>;

/// Merges a report that another instance has heard into this instance's view of the target. Returns false if
/// a report that is as new is already known.
auto on_shared_report(target_view& view, const shared_report& report, instant now) -> bool;

/// Whether the target's queue is known to be full, so that it would reject a request. A report says so
/// until half of the queue may have been served, so that no request is kept from an empty one.
auto is_known_full(const target_view& view, const view_options& options, instant now) -> bool;

/// Learns how much the target queues from its own @a report, which came with a rejection or an answer. A
/// rejection beside a free slot says nothing about the queue.
auto note_queue(target_view& view, const load_report& report, bool rejected) -> void;

/// Whether a rejection with @a report says that the queue was full. Thread safe.
auto says_full(const load_report& report) -> bool;

} // namespace teaselcross
