#pragma once

// What a soak has seen: broken promises with their time, and counts.

#include "core/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace teaselcross::soak {

/// Written by all parts of one soak; belongs to its event loop's thread.
struct journal {
    std::uint64_t broken = 0;                    ///< Promises.
    std::map<std::string, std::uint64_t> counts; ///< Answers and refusals by name.
    std::map<std::string, std::uint32_t> runs;   ///< Of each request at targets, by its id.
    std::set<std::string> said_not_run;          ///< Requests whose caller was told so.
    instant late_orders_until{};                 ///< Orders that a thawed instance sends late don't count.
};

/// Prints what happened with the time since the soak's start.
auto tell(const std::string& what) -> void;
/// The same for a broken promise, which fails the soak.
auto report_broken(journal& seen, const std::string& promise, const std::string& what) -> void;

} // namespace teaselcross::soak
