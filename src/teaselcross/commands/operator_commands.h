#pragma once

// Operators' commands: they talk to any instance over HTTP.

#include "commands/exit_code.h"

#include <string>
#include <vector>

namespace teaselcross {

/// What the command line said, beside the command itself.
struct operator_options {
    std::string instance = "127.0.0.1:8081"; ///< The operators' address of any instance, IP number and port.
    std::vector<std::string> arguments;
    std::uint64_t base = 0;
    bool has_base = false;
    std::string id;
    std::string who;
    std::string why;
    bool wait = false;
    bool json = false;
    bool local = false;
};

auto config_command(const operator_options& options) -> exit_code;
auto target_command(const operator_options& options) -> exit_code;
auto data_centre_command(const operator_options& options) -> exit_code;
auto status_command(const operator_options& options) -> exit_code;
auto explain_command(const operator_options& options) -> exit_code;

} // namespace teaselcross
