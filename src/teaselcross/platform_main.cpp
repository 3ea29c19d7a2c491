// Command-line entry point of the platform-only build, which leaves out the parts that use gRPC because the
// platform does not need them.

#include "commands/gateway_command.h"

#include <iostream>

namespace {

constexpr auto help_text =
    R"(teaselcross: a request router for servers with exclusive key ownership (platform-only build)

  teaselcross gateway [FILE]                 run one instance on the platform until SIGTERM
  teaselcross check-gateway-settings [FILE]  check a settings file and report all errors
)";

} // namespace

auto main(int argc, char** argv) -> int {
    const auto arguments = std::vector<std::string>(argv + 1, argv + argc);
    const auto is_known_command =
        !arguments.empty() && (arguments[0] == "gateway" || arguments[0] == "check-gateway-settings");
    if (!is_known_command) {
        std::cerr << help_text;
        return static_cast<int>(teaselcross::exit_code::usage);
    }
    return static_cast<int>(
        teaselcross::gateway_command(arguments[0], {arguments.begin() + 1, arguments.end()}));
}
