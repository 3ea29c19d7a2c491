#pragma once

// The admission queue of one target at its keeper: limits concurrency and queue length, enforces deadlines
// and shares the slots fairly among callers.

#include "admission/warmup.h"

#include <tl/expected.hpp>

#include <map>
#include <string>
#include <vector>

namespace teaselcross {

/// Identifies a request that waits or is in flight at one keeper.
enum class request_number : std::uint64_t {};

struct queued_request {
    request_number number{};
    std::string caller; ///< The caller whose fair share it uses.
    instant deadline{};
};

/// Why a request was refused. A refused request has not run.
enum class admission_refusal { queue_full, too_late, deadline_passed, target_leaving };
constexpr enum_table<admission_refusal, 4> admission_refusal_names{"queue_full", "too_late",
                                                                   "deadline_passed", "target_leaving"};

struct admission_rejection {
    admission_refusal reason = admission_refusal::queue_full;
    duration retry_after{};
};

/// A request that is refused, on arrival or while it waits.
struct dropped_request {
    request_number number{};
    admission_rejection rejection;
};

/// What the caller has to do after an event: requests to send now and requests to refuse.
struct admission_result {
    std::vector<request_number> start;
    std::vector<dropped_request> drop;
};

struct admission_queue {
    struct running_request {
        std::string caller;
        instant started{};
    };

    warmup_state warmup;
    std::uint32_t queue_limit = 64;
    bool leaving = false; ///< The target receives no new work.
    std::vector<queued_request> waiting;
    std::map<request_number, running_request> in_flight;
    /// Start tag of each active caller; the caller with the lowest tag is served first. Start-time fair
    /// queueing (Goyal, Vin, Cheng, 1996).
    std::map<std::string, std::uint64_t> start_tags;
    std::uint64_t virtual_time = 0; ///< Start tag of the request that was started last.
    double service_us = 0; ///< Smoothed time in the target in microseconds; 0 before the first completion.
};

/// Handles a new request: starts it, queues it, or refuses it at once if it cannot finish by its deadline.
auto submit(admission_queue& state, queued_request request, instant now) -> admission_result;

/// Handles the end of a request in flight; @a succeeded is false if it failed or timed out.
auto finish(admission_queue& state, request_number number, bool succeeded, instant now) -> admission_result;

/// Removes a waiting request whose caller has disconnected.
auto withdraw(admission_queue& state, request_number number, instant now) -> admission_result;

/// Refuses waiting requests that can no longer meet their deadline and starts others in free slots.
auto on_tick(admission_queue& state, instant now) -> admission_result;

/// Refuses all waiting requests; the callers may retry at another target or keeper.
auto drop_waiting(admission_queue& state) -> admission_result;

/// Stops admission for a target that leaves and refuses all waiting requests.
auto close_queue(admission_queue& state) -> admission_result;

/// Estimates the time until a request that arrives now would finish.
auto expected_time(const admission_queue& state) -> duration;

} // namespace teaselcross
