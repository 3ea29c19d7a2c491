#pragma once

// Counts by client account, of which metrics show the largest ones and the sum of the others.

#include "accounts/client_accounts.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace teaselcross {

/// Counts by name of the account.
using account_counts = std::map<std::string, std::uint64_t>;

/// Adds one to the count of the account @a name. Drops the counts of accounts that @a known does not contain
/// once there are more counts than accounts.
auto add_count(account_counts& counts, const std::string& name, const account_directory& known) -> void;

/// The largest of a number of counts.
struct largest_counts {
    std::vector<std::pair<std::string, std::uint64_t>> largest; ///< The largest first; equal ones by name.
    std::uint64_t rest = 0;                                     ///< Sum of the others.
};

/// Returns the @a most largest of @a counts. Thread safe.
auto select_largest(const account_counts& counts, std::size_t most = 10) -> largest_counts;

} // namespace teaselcross
