#pragma once

// Client accounts: whose requests share a priority and a quota.

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace teaselcross {

/// The limit on an account's requests, for all instances together.
struct account_quota {
    double rate = 0;  ///< Requests per second; 0: no limit.
    double burst = 0; ///< Requests beyond the rate at once.

    auto operator==(const account_quota&) const -> bool = default;
};

/// A client account as configured, without its keys.
struct client_account {
    std::string name;
    std::optional<std::uint32_t> rank; ///< Priority, 0 is the most urgent; unset: that of the route.
    account_quota quota;

    auto operator==(const client_account&) const -> bool = default;
};

/// The accounts of one version of the configuration. Immutable after it was built; thread safe.
struct account_directory {
    std::map<std::string, client_account> by_name;
};

} // namespace teaselcross
