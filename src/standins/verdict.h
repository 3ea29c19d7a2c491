#pragma once

// The table that closes a demonstration or an experiment, and whether a promise broke.

#include <nlohmann/json.hpp>

namespace teaselcross::lab {

/// Prints the result of a load and the targets' record as a table. False when a promise broke.
auto print_verdict(const nlohmann::json& load, const nlohmann::json& record) -> bool;

} // namespace teaselcross::lab
