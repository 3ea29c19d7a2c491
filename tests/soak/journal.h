#pragma once

// What a soak has seen: broken promises with their time, and counts.

#include "core/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace teaselcross::soak {

/// What a caller's key is worth.
enum class key_state {
    lasting,  ///< In all versions of the configuration.
    unknown,  ///< In none, or the request has no key.
    changing, ///< Removed, but some instances may not know yet.
    removed,  ///< The instance has to know that it was removed.
};

/// What is expected of a request with regard to its account.
struct account_expectation {
    std::string account; ///< That a target has to be told.
    key_state key = key_state::lasting;
};

/// Written by all parts of one soak; belongs to its event loop's thread.
struct journal {
    std::uint64_t broken = 0;                    ///< Promises.
    std::map<std::string, std::uint64_t> counts; ///< Answers and refusals by name.
    std::map<std::string, std::uint32_t> runs;   ///< Of each request at targets, by its id.
    std::set<std::string> said_not_run;          ///< Requests whose caller was told so.
    std::map<std::string, std::size_t> taken_by; ///< The instance that each request was sent to.
    std::vector<instant> in_touch_from;          ///< By instance; the latest instant while it is disturbed.
    std::vector<std::uint64_t> lives;            ///< How often each instance's process was started.
    std::uint64_t config_version = 0;            ///< The latest that was written.
    instant config_written_at{};
    std::vector<std::pair<std::uint64_t, instant>> config_times; ///< Each version, and when it was written.
    std::uint64_t earlier_config_version = 0;            ///< The one before the latest; 0 if there is none.
    std::map<std::string, account_expectation> accounts; ///< By request; empty without accounts.
    instant late_orders_until{}; ///< Orders that a thawed instance sends late don't count.
};

/// Bounds in time hold for instances that have been undisturbed for so long, by the platform's rules.
constexpr auto stable_window = duration{std::chrono::seconds{3}};

/// Whether the instance that took @a request is held to bounds in time at @a now.
auto is_in_touch(const journal& seen, const std::string& request, instant now) -> bool;

/// Prints what happened with the time since the soak's start.
auto tell(const std::string& what) -> void;
/// The same for a broken promise, which fails the soak.
auto report_broken(journal& seen, const std::string& promise, const std::string& what) -> void;

} // namespace teaselcross::soak
