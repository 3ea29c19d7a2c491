#pragma once

// Client accounts in the soak: the list that a configuration has, the keys that callers carry, and what must
// hold for them at targets and in responses.

#include "journal.h"

#include "http/server.h"

#include <nlohmann/json.hpp>

#include <random>
#include <string>

namespace teaselcross::soak {

/// Earlier seeds have no accounts.
constexpr auto first_seed_with_accounts = std::uint64_t{7000};

/// The list of accounts in version @a version of the configuration. Besides its lasting key each account has
/// one that only this version knows.
auto accounts_of_version(std::uint64_t version) -> nlohmann::json;

/// Draws the key that a caller puts into @a request, or none, and notes in @a seen what is expected of the
/// request @a id. A part of the callers claim another account's name, too.
auto add_credential(http_request& request, const std::string& id, journal& seen, std::mt19937_64& random)
    -> void;

/// Reports a request that carries a key or the wrong account's name at a target, or that must not run at all.
auto check_account(const http_request& request, const std::string& id, journal& seen) -> void;

/// Reports a response with @a status to the request @a id that does not go with its key.
auto judge_account(const std::string& id, unsigned status, journal& seen) -> void;

/// Reports a log that a key was written to.
auto check_log(const std::string& file, journal& seen) -> void;

} // namespace teaselcross::soak
