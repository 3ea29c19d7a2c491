#pragma once

// Two targets, one range of keys that is given to them and its controller, in virtual time. The decisions
// are those of the product; what befalls calls and processes is chosen step by step.

#include "ownership/range_grantor.h"
#include "support/chooser.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselcross::test {

/// Faults and moves that one path may still meet.
struct path_budget {
    int faults = 0; ///< Late calls, lost answers, orders not sent, restarts, new controllers, late writes,
                    ///< a controller that is paused, a target that is missing in the list.
    int moves = 1;  ///< Moves that the controller starts without need.
    bool splits = false; ///< Whether a move may be one of half the keys.
};

/// A call of a controller to the address of a target. Whichever process is there reads it.
struct holder_call_state {
    holder_command command;
    bool is_sent = false;
    bool is_read = false;
    std::optional<command_result> answer; ///< Not yet noticed by the controller.
    bool is_awaited = true;               ///< The controller that sent it waits for the answer.
    bool is_overdue = false;  ///< The controller listens for the answer beyond the time limit of the call.
    bool is_orphaned = false; ///< The controller that sent it is gone.
    std::vector<holder_command> behind; ///< Releases that are read after it, on its connection.
    bool has_release_answers = false;   ///< The controller has not noticed the answers to these yet.
    instant sent{};
    instant ended{};  ///< When the controller that sent it ended or aborted it, or counted it as overdue.
    instant closed{}; ///< When the connection of an overdue grant was closed.
};

/// What a process knows of one half of the keys.
struct held_keys {
    std::uint64_t fence = 0; ///< The highest it was granted.
    instant until{};         ///< It holds the keys until then.
    instant certain_until{}; ///< The same without a grant that its controller no longer counted with.
};

/// A target with its present process.
struct target_state {
    std::uint64_t start_time_ms = 1;
    std::uint64_t listed_start_time_ms = 1;
    bool is_listed = true;
    std::array<held_keys, 2> halves;
};

inline constexpr auto world_start = instant{std::chrono::seconds{10}};
inline constexpr auto step_length = std::chrono::milliseconds{100};

struct holder_world {
    range_grantor controller;
    key_map recorded;
    std::optional<key_map> write; ///< A write of the map that is in flight.
    std::array<target_state, 2> targets;
    std::vector<holder_call_state> calls;
    instant now{};
    path_budget budget;
    bool is_broken = false;  ///< Two targets have held a key, be it for a moment.
    bool is_paused = false;  ///< The controller does nothing until it goes on.
    duration excess_delay{}; ///< How much later than the controller counts with calls may be read.
    double excess_drift = 0; ///< How much slower clocks may be than the controller counts with.

    /// Whether grants that are not answered in time become overdue, and may be read as late as the path
    /// likes.
    bool has_overdue_grants = false;
    bool closes_overdue = true;   ///< Whether connections of overdue grants may be closed, which is a fault.
    bool sends_behind = true;     ///< Whether releases are sent behind overdue grants.
    bool notices_overdue = true;  ///< Whether the controller is told of answers to overdue grants.
    std::uint64_t calls_sent = 0; ///< The identifier of the last call.
};

/// The times of the controller in the model: short multiples of the step, so that paths are short.
auto model_options() -> range_grantor_options;

/// The identifier of the target with that index.
auto name_of(std::size_t target) -> target_id;
/// The index of that target.
auto index_of(const target_id& target) -> std::size_t;

/// Two targets, the first of which holds all keys by a grant that was answered just now.
auto world_with_one_range(const path_budget& budget) -> holder_world;

/// The same, with a grant that the first target has not read and that its controller no longer counts with.
/// Its connection is open, and a later grant was answered just now.
auto world_with_overdue_grant(const path_budget& budget) -> holder_world;

/// One step of the world; @a choices decides what happens in it. Returns false if two targets held a key.
/// That does not apply to the earlier one's grant if its controller no longer counted with it, be it for the
/// step in which the grant is read or because that controller is gone.
auto take_step(holder_world& world, chooser& choices) -> bool;

} // namespace teaselcross::test
