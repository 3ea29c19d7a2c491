#pragma once

// The fault matrix of the ownership parts: what can fail, what it can strike, and at which step.

#include "support/ownership_world.h"

#include <functional>

namespace teaselcross::test {

/// What fails. Each fault begins at a step and heals by itself where its nature allows.
enum class fault {
    none,
    target_killed,    ///< Its process ends; a new one starts after a while.
    target_restarted, ///< At once, with nothing remembered.
    target_frozen,    ///< Returns as if nothing had happened.
    keeper_killed,
    keeper_paused,  ///< Given up by the others meanwhile; returns as if nothing had happened.
    keeper_cut_off, ///< From the store, and given up by the others; still reaches its targets.
    link_silent,    ///< Between a keeper and its target.
    controller_killed,
    controller_paused, ///< With a planned write that it makes on its return.
    store_down,
    replies_lost,   ///< Of writes that took effect.
    operators_race, ///< Another change of what is wanted, against the one under way.
};
constexpr enum_table<fault, 13> fault_names{
    "none",          "target_killed",  "target_restarted", "target_frozen",     "keeper_killed",
    "keeper_paused", "keeper_cut_off", "link_silent",      "controller_killed", "controller_paused",
    "store_down",    "replies_lost",   "operators_race"};

/// What is going on when the fault strikes.
enum class undertaking {
    first_grants, ///< From nothing to everything owned.
    refresh,      ///< Nothing but heartbeats.
    drain,
    data_centre_out,
    data_centre_in,
    take_over,    ///< Another controller goes on.
    delegation,   ///< Another keeper goes on.
    join,         ///< An instance joins and takes its share of targets.
    planned_stop, ///< An instance hands over and leaves.
    target_returns,
};
constexpr enum_table<undertaking, 10> undertaking_names{
    "first_grants", "refresh",    "drain", "data_centre_out", "data_centre_in",
    "take_over",    "delegation", "join",  "planned_stop",    "target_returns"};

struct matrix_cell {
    undertaking what = undertaking::refresh;
    fault first = fault::none;
    std::uint64_t first_step = 0; ///< Writes and deliveries after the undertaking has begun.
    fault second = fault::none;
    std::uint64_t second_step = 0; ///< After the first fault.
    bool checks_fence = true;
    mutation planted = mutation::none;
};

auto to_text(const matrix_cell& cell) -> std::string;

/// Runs one cell on virtual time. Returns the promise that broke, or "".
auto run_cell(const matrix_cell& cell) -> std::string;

} // namespace teaselcross::test
