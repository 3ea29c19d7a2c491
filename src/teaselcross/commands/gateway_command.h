#pragma once

// Commands that run an instance on the platform or check its settings.

#include "commands/exit_code.h"

#include <string>
#include <vector>

namespace teaselcross {

/// `gateway [FILE]` and `check-gateway-settings [FILE]`. Without FILE, the path is read from the
/// environment variable platform::settings_variable.
auto gateway_command(const std::string& command, const std::vector<std::string>& arguments) -> exit_code;

} // namespace teaselcross
