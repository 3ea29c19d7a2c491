#pragma once

// Names under which other writers may keep objects in the platform's store.

#include <string>
#include <vector>

namespace teaselcross::soak {

/// Names that begin with @a prefix and that a path, a query, a header field or a log line cannot contain as
/// they are.
auto foreign_names(const std::string& prefix) -> std::vector<std::string>;

} // namespace teaselcross::soak
