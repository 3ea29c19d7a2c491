#pragma once

// The calls of a controller to targets in the small world of holder_world.h: how they are sent, read,
// answered and ended. For the source files of that world.

#include "support/holder_world.h"

namespace teaselcross::test {

/// Adds @a what to the trace, if there is one.
auto note(const holder_world& world, chooser& choices, const std::string& what) -> void;

/// The first key of that half of all keys.
auto first_key(std::size_t half) -> shard_key;

/// Until when the controller that sent @a call counts with it, unless it waits for the answer.
auto counted_until(const holder_world& world, const holder_call_state& call) -> instant;

/// The process at the address of @a command carries it out. @a is_certain says whether the controller still
/// counts with it.
auto carry_out(holder_world& world, const holder_command& command, bool is_certain) -> command_result;

/// The controller is told that @a call has ended with @a result.
auto finish(holder_world& world, holder_call_state& call, command_result result) -> void;

/// Chooses whether a fault happens, if one may.
auto chooses_fault(holder_world& world, chooser& choices) -> bool;

/// What becomes of the calls of earlier steps.
auto proceed_calls(holder_world& world, chooser& choices) -> void;

/// Sends the calls that the controller decides now.
auto send_due_commands(holder_world& world, chooser& choices) -> void;

} // namespace teaselcross::test
