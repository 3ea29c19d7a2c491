#pragma once

// `teaselcross explain --request ID LOG...`: prints a request's timeline from the logs of any number of
// instances.

#include "commands/exit_code.h"

#include <string>
#include <vector>

namespace teaselcross {

/// Prints the timeline of the request @a id and reports every file that cannot be read. Returns
/// exit_code::failed when no line of the readable files contains the request ID, and exit_code::usage for
/// invalid arguments or when a file could not be read. Not thread safe: it writes to standard output.
auto explain_request(const std::string& id, const std::vector<std::string>& files) -> exit_code;

} // namespace teaselcross
