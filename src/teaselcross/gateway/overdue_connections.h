#pragma once

// The connections of grants whose answers are awaited beyond their time limit. Their number is limited, so
// that the process has files left for the connections of callers.

#include "gateway/holder_calls.h"

#include <map>
#include <memory>
#include <optional>

namespace teaselcross {

struct overdue_connection {
    std::uint64_t call = 0; ///< Of the grant.
    service_id service;
    target_id target;
    std::shared_ptr<grant_exchange> exchange;
};

/// The number of overdue connections for a process that may have @a file_limit files open. Thread safe.
auto max_overdue_connections(std::size_t file_limit) -> std::size_t;

/// Not thread safe.
class overdue_connections {
public:
    /// @pre @a limit is above 0
    explicit overdue_connections(std::size_t limit) : m_limit{limit} {}

    /// Adds a connection. At the limit, the oldest one is taken out and returned; the caller closes it.
    auto add(overdue_connection added) -> std::optional<overdue_connection>;
    /// Returns whether the connection of @a call was among them.
    auto remove(std::uint64_t call) -> bool;
    auto remove_all() -> std::vector<overdue_connection>;

    /// The exchange of @a call, or null.
    auto find(std::uint64_t call) const -> std::shared_ptr<grant_exchange>;
    auto size() const -> std::size_t { return m_by_call.size(); }
    auto limit() const -> std::size_t { return m_limit; }

private:
    std::size_t m_limit;
    std::map<std::uint64_t, overdue_connection> m_by_call; ///< Calls are numbered in the order of sending.
};

} // namespace teaselcross
