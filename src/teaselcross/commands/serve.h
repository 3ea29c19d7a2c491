#pragma once

// `teaselcross serve`: runs one instance.

#include "commands/exit_code.h"
#include "settings/settings.h"

namespace teaselcross {

/// Runs an instance until SIGTERM or SIGINT, then waits for open requests to finish, at most for the drain
/// time in @a options. Ends the process without returning, unless a listener cannot be opened.
auto serve(const settings& options) -> exit_code;

} // namespace teaselcross
