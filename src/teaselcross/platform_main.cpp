// The command line of a build for the platform alone: without the parts that speak gRPC, which it does not
// need.

#include "commands/gateway_command.h"

#include <iostream>

namespace {

constexpr auto help_text =
    R"(teaselcross: a router for servers that own keys exclusively (build for the platform alone)

  teaselcross gateway [FILE]                 run one instance on the platform until SIGTERM
  teaselcross check-gateway-settings [FILE]  check a settings file, report all faults
)";

} // namespace

auto main(int argc, char** argv) -> int {
    const auto words = std::vector<std::string>(argv + 1, argv + argc);
    const auto known = !words.empty() && (words[0] == "gateway" || words[0] == "check-gateway-settings");
    if (!known) {
        std::cerr << help_text;
        return static_cast<int>(teaselcross::exit_code::usage);
    }
    return static_cast<int>(teaselcross::gateway_command(words[0], {words.begin() + 1, words.end()}));
}
