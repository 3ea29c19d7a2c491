#pragma once

// A small world for operations that must not repeat: a caller that repeats through two entries, two keepers
// of which the second succeeds the first, one target that counts what it runs, and the store of intents.
// Every message may be lost, delayed, or delivered late.

#include "delivery/attempt.h"
#include "delivery/operation_table.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace teaselcross::test {

/// Defects that a test plants, to show that the oracle sees them.
enum class delivery_mutation {
    none,
    successor_trusts_memory, ///< A new keeper treats every identity as new.
    intent_not_checked,      ///< The refusal of an intent is ignored.
    lost_is_not_run,         ///< A keeper calls a lost answer "not run".
    sent_again,              ///< A keeper sends a lost operation again.
};

struct delivery_options {
    bool issued_identity = false; ///< Else the caller has chosen it, and the store keeps an intent.
    bool issued_by_entry = false; ///< For this very request: the caller learns it with the answer only.
    bool handed_over = false;     ///< The first keeper hands its memory to the second.
    delivery_mutation planted = delivery_mutation::none;
};

/// Where one try of the caller's operation stands.
enum class try_state {
    not_made,
    to_keeper,     ///< On its way to a keeper.
    intent_wanted, ///< At the keeper, which waits for the store.
    to_target,     ///< On its way to the target.
    at_target,     ///< Run; the answer is on its way back.
    joined,        ///< At the keeper, waiting for another try.
    answered,
    said_not_run,
    said_unknown,
};

struct operation_try {
    try_state state = try_state::not_made;
    std::size_t keeper = 0;
    bool first_send = false;
    bool abandoned = false; ///< The entry has given up on its keeper's answer; the try may go on.
    bool maybe_run = false; ///< As far as its entry can tell.
};

struct delivery_keeper {
    operation_table operations;
    bool at_work = true;
};

/// The whole world. Copies are independent of each other.
struct delivery_world {
    delivery_options options;
    std::string identity;
    instant now{std::chrono::seconds{100}};
    wall_time wall{100'000};
    std::vector<operation_try> tries;
    std::vector<delivery_keeper> keepers;
    std::size_t delegate = 0;          ///< The keeper that the entries know.
    bool target_fenced = false;        ///< The target refuses the first keeper.
    std::optional<std::size_t> intent; ///< The keeper whose intent the store has.
    int runs = 0;
    int losses_left = 1;
    bool succeeded = false;
};

struct delivery_step {
    std::string name;
    std::function<void(delivery_world&)> take;
};

auto make_delivery_world(const delivery_options& options) -> delivery_world;
auto possible_steps(const delivery_world& world) -> std::vector<delivery_step>;

/// The broken promise, or "": at most one run, and no false "not run".
auto broken_promise(const delivery_world& world) -> std::string;

struct delivery_exploration {
    std::uint64_t states = 0;
    std::string broken;
};

/// Takes every path to its end.
auto explore(const delivery_options& options) -> delivery_exploration;

} // namespace teaselcross::test
