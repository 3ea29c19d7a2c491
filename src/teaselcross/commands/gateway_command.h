#pragma once

// The commands that run an instance on the platform.

#include "commands/exit_code.h"

#include <string>
#include <vector>

namespace teaselcross {

/// `gateway [FILE]` and `check-gateway-settings [FILE]`. Without a file, the platform's environment names it.
auto gateway_command(const std::string& command, const std::vector<std::string>& arguments) -> exit_code;

} // namespace teaselcross
