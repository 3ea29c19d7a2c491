#include "quota/quota_messages.h"

#include <algorithm>
#include <cmath>

namespace teaselcross {

namespace {

/// More than any fleet serves in a window; products of two such numbers fit into 64 bits.
constexpr auto max_units = 1e9;

auto to_units(double value) -> std::int64_t {
    return static_cast<std::int64_t>(std::floor(std::clamp(value, 0.0, max_units)));
}

} // namespace

auto is_limited(const account_quota& quota) -> bool {
    return quota.rate > 0;
}

auto quota_units(const account_quota& quota, const quota_bounds& bounds) -> std::int64_t {
    if (!is_limited(quota)) {
        return 0;
    }
    const auto allowed = quota.rate * std::chrono::duration<double>(bounds.window).count() + quota.burst;
    return to_units(allowed) + to_units((bounds.overage * allowed + bounds.slack) / 2);
}

auto max_share(std::int64_t total, std::size_t fleet) -> std::int64_t {
    constexpr auto even_parts = std::int64_t{4};
    constexpr auto small_share = std::int64_t{10}; // For accounts with few callers.
    const auto instances = static_cast<std::int64_t>(std::max<std::size_t>(fleet, 1));
    return std::min(total, even_parts * ((total + instances - 1) / instances) + small_share);
}

auto quota_totals_of(const account_directory& accounts, const quota_bounds& bounds) -> quota_totals {
    auto totals = quota_totals{};
    for (const auto& [name, account] : accounts.by_name) {
        if (is_limited(account.quota)) {
            totals.emplace(name, quota_units(account.quota, bounds));
        }
    }
    return totals;
}

} // namespace teaselcross
