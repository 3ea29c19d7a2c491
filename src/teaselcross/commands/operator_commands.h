#pragma once

// Operators' commands, which call the HTTP API of an instance.

#include "commands/exit_code.h"

#include <string>
#include <vector>

namespace teaselcross {

/// Options and arguments of an operator's command.
struct operator_options {
    std::string instance = "127.0.0.1:8081"; ///< Operators' address of any instance, as IP:PORT.
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
