#pragma once

// Probes of the targets that hold keys. What has reached the sockets of a process cannot be taken back, so a
// grant is sent only to one that has just answered.

#include "ownership/holder_command.h"

namespace teaselcross {

/// A call without effect to the process that @a grant is for: the release of a key that @a map gives to
/// another target. If there is none, the release of a key under fence 0, below that of any grant. Thread
/// safe.
auto make_probe(const key_map& map, const holder_command& grant) -> holder_command;

} // namespace teaselcross
