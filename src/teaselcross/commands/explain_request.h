#pragma once

// `teaselcross explain --request ID LOG...`: a request's story from the logs of any number of instances.

#include "commands/exit_code.h"

#include <string>
#include <vector>

namespace teaselcross {

/// Prints the story of the request @a id. Names every file that cannot be read; failed when no line of the
/// others names the request. Not thread safe: it writes to standard output.
auto explain_request(const std::string& id, const std::vector<std::string>& files) -> exit_code;

} // namespace teaselcross
