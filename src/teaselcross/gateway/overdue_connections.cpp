#include "gateway/overdue_connections.h"

#include <algorithm>
#include <utility>

namespace teaselcross {

namespace {

/// Overdue connections may use one file in so many.
constexpr auto files_per_connection = std::size_t{16};
/// Below this, a single target that is silent for a moment would use up all of them.
constexpr auto min_connections = std::size_t{16};

} // namespace

auto max_overdue_connections(std::size_t file_limit) -> std::size_t {
    return std::max(min_connections, file_limit / files_per_connection);
}

auto overdue_connections::add(overdue_connection added) -> std::optional<overdue_connection> {
    auto oldest = std::optional<overdue_connection>{};
    if (m_by_call.size() >= m_limit) {
        oldest = take(m_by_call.begin());
    }
    ++m_counts[added.target];
    const auto call = added.call;
    m_by_call[call] = std::move(added);
    return oldest;
}

auto overdue_connections::remove(std::uint64_t call) -> bool {
    const auto found = m_by_call.find(call);
    if (found == m_by_call.end()) {
        return false;
    }
    static_cast<void>(take(found));
    return true;
}

auto overdue_connections::remove_all() -> std::vector<overdue_connection> {
    auto removed = std::vector<overdue_connection>{};
    while (!m_by_call.empty()) {
        removed.push_back(take(m_by_call.begin()));
    }
    return removed;
}

auto overdue_connections::find(std::uint64_t call) const -> std::shared_ptr<grant_exchange> {
    const auto found = m_by_call.find(call);
    return found == m_by_call.end() ? nullptr : found->second.exchange;
}

auto overdue_connections::count(const target_id& target) const -> std::size_t {
    const auto found = m_counts.find(target);
    return found == m_counts.end() ? 0 : found->second;
}

auto overdue_connections::take(std::map<std::uint64_t, overdue_connection>::iterator found)
    -> overdue_connection {
    auto taken = std::move(found->second);
    m_by_call.erase(found);
    const auto counted = m_counts.find(taken.target);
    --counted->second;
    if (counted->second == 0) {
        m_counts.erase(counted);
    }
    return taken;
}

} // namespace teaselcross
