#pragma once

// An instance on the platform: a single event loop that serves callers, follows the store and may act as
// controller.

#include "commands/exit_code.h"

#include <string>

namespace teaselcross {

/// Runs until SIGTERM and a graceful stop. Reloads @a settings_file on SIGHUP and when the file changes.
auto run_gateway(const std::string& settings_file) -> exit_code;

/// Checks a settings file and prints all errors found in it.
auto check_gateway_settings(const std::string& settings_file) -> exit_code;

} // namespace teaselcross
