#pragma once

// Exploration of what a controller decides about the holders of keys: one range, two targets and the calls
// between them, in virtual time. Every path of choices is taken that meets a bounded number of faults.

#include "ownership/range_grantor.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselcross::test {

/// Faults and moves that one path may still meet.
struct path_budget {
    int faults = 0; ///< Late calls, lost answers, orders not sent, restarts, new controllers, late writes.
    int moves = 1;  ///< Moves that the controller starts without need.
    bool splits = false; ///< Whether a move may be one of half the keys.
};

/// A call of a controller to the address of a target. Whichever process is there reads it.
struct holder_call_state {
    holder_command command;
    bool is_sent = false;
    bool is_read = false;
    bool is_awaited = true; ///< The controller that sent it waits for the answer.
    instant sent{};
};

/// What a process knows of one half of the keys.
struct held_keys {
    std::uint64_t fence = 0; ///< The highest it was granted.
    instant until{};         ///< It holds the keys until then.
};

/// A target with its present process.
struct target_state {
    std::uint64_t start_time_ms = 1;
    std::uint64_t listed_start_time_ms = 1;
    std::array<held_keys, 2> halves;
};

struct holder_world {
    range_grantor controller;
    key_map recorded;
    std::optional<key_map> write; ///< A write of the map that is in flight.
    std::array<target_state, 2> targets;
    std::vector<holder_call_state> calls;
    instant now{};
    path_budget budget;
};

/// The times of the controller in the model: short multiples of the step, so that paths are short.
auto model_options() -> range_grantor_options;

/// Two targets, the first of which holds all keys by a grant that was answered just now.
auto world_with_one_range(const path_budget& budget) -> holder_world;

struct holder_exploration {
    std::uint64_t states = 0; ///< Distinct states seen.
    std::uint64_t steps = 0;  ///< Steps taken.
    std::string broken;       ///< The shortest path found to two holders of a key, by line; empty for none.
};

/// Takes every path of @a depth steps from @a world. Stops at the first path to two holders of a key.
auto explore_holders(const holder_world& world, int depth) -> holder_exploration;

} // namespace teaselcross::test
