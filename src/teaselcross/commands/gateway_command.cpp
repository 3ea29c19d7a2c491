#include "commands/gateway_command.h"

#include "gateway/gateway.h"
#include "platform/settings.h"

#include <cstdlib>
#include <iostream>

namespace teaselcross {

auto gateway_command(const std::string& command, const std::vector<std::string>& arguments) -> exit_code {
    const auto* default_file = std::getenv(platform::settings_variable);
    if (arguments.empty() && default_file == nullptr) {
        std::cerr << "usage: teaselcross " << command << " FILE (or set " << platform::settings_variable
                  << ")\n";
        return exit_code::usage;
    }
    const auto file = arguments.empty() ? std::string{default_file} : arguments.front();
    return command == "gateway" ? run_gateway(file) : check_gateway_settings(file);
}

} // namespace teaselcross
