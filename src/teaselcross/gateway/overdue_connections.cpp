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
        oldest = std::move(m_by_call.begin()->second);
        m_by_call.erase(m_by_call.begin());
    }
    const auto call = added.call;
    m_by_call[call] = std::move(added);
    return oldest;
}

auto overdue_connections::remove(std::uint64_t call) -> bool {
    return m_by_call.erase(call) > 0;
}

auto overdue_connections::remove_all() -> std::vector<overdue_connection> {
    auto removed = std::vector<overdue_connection>{};
    for (auto& [call, each] : std::exchange(m_by_call, {})) {
        removed.push_back(std::move(each));
    }
    return removed;
}

auto overdue_connections::find(std::uint64_t call) const -> std::shared_ptr<grant_exchange> {
    const auto found = m_by_call.find(call);
    return found == m_by_call.end() ? nullptr : found->second.exchange;
}

} // namespace teaselcross
