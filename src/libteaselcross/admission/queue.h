#pragma once

// One target's queue at its keeper: exact slots, a bound, deadlines, and a fair share for each caller.

#include "admission/warmup.h"

#include <tl/expected.hpp>

#include <map>
#include <string>
#include <vector>

namespace teaselcross {

/// A request waiting or in flight at one keeper.
enum class request_number : std::uint64_t {};

struct queued_request {
    request_number number{};
    std::string caller; ///< Whose share it counts against.
    instant deadline{};
};

/// Why a request was not taken. It has not run.
enum class admission_refusal { queue_full, too_late, deadline_passed, target_leaving };
constexpr enum_table<admission_refusal, 4> admission_refusal_names{"queue_full", "too_late",
                                                                   "deadline_passed", "target_leaving"};

struct admission_rejection {
    admission_refusal reason = admission_refusal::queue_full;
    duration retry_after{};
};

/// A waiting request that is refused after all.
struct dropped_request {
    request_number number{};
    admission_rejection rejection;
};

/// What to do after an event: requests to send now and requests to refuse.
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
    /// Requests started for each caller that has any, counted from the floor: the least served goes first,
    /// after start-time fair queueing (Goyal, Vin, Cheng, 1996).
    std::map<std::string, std::uint64_t> start_tags;
    std::uint64_t virtual_time = 0;
    double service_us = 0; ///< Time in the target in microseconds, smoothed; 0 before the first completion.
};

/// A request arrives. It starts, waits, or is refused at once when it cannot finish by its deadline.
auto submit(admission_queue& state, queued_request request, instant now) -> admission_result;

/// A request in flight ended; @a good unless it failed or timed out.
auto finish(admission_queue& state, request_number number, bool good, instant now) -> admission_result;

/// A waiting request's caller has gone.
auto withdraw(admission_queue& state, request_number number, instant now) -> admission_result;

/// Refuses the requests whose deadline cannot be met any more and starts what fits.
auto on_tick(admission_queue& state, instant now) -> admission_result;

/// Refuses everything that waits; another target or keeper may take it.
auto drop_waiting(admission_queue& state) -> admission_result;

/// The target takes no new work: everything waiting is refused.
auto close_queue(admission_queue& state) -> admission_result;

/// The time until a request that arrives now would finish, as far as is known.
auto expected_time(const admission_queue& state) -> duration;

} // namespace teaselcross
