#pragma once

// An instance on the platform: one event loop that takes callers, follows the store and may control key
// owners.

#include "commands/exit_code.h"

#include <string>

namespace teaselcross {

/// Runs until SIGTERM and a graceful stop. @a settings_file is read again on SIGHUP and when it changes.
auto run_gateway(const std::string& settings_file) -> exit_code;

/// Checks a settings file and prints all its faults.
auto check_gateway_settings(const std::string& settings_file) -> exit_code;

} // namespace teaselcross
