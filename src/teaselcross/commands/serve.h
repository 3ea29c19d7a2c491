#pragma once

// `teaselcross serve`: one instance.

#include "commands/exit_code.h"
#include "settings/settings.h"

namespace teaselcross {

/// Runs an instance until SIGTERM or SIGINT, then lets its requests finish.
auto serve(const settings& options) -> exit_code;

} // namespace teaselcross
