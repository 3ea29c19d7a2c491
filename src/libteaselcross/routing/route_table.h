#pragma once

// Routing rules by host and longest path prefix, with the services of each rule.

#include "accounts/client_accounts.h"
#include "core/enum_names.h"
#include "core/identifier.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace teaselcross {

/// Whether a request may be sent again if it is unknown whether it ran.
enum class request_kind {
    idempotent,   ///< May run more than once.
    at_most_once, ///< Sent again only if it is known not to have run.
    bulk,         ///< Idempotent, with a large answer.
};
constexpr enum_table<request_kind, 3> request_kind_names{"idempotent", "at_most_once", "bulk"};

struct weighted_service {
    service_id service;
    std::uint32_t weight = 1;
};

struct route_rule {
    std::string name;
    std::string path_prefix;
    request_kind kind = request_kind::at_most_once;
    duration timeout{};             ///< The longest time that a caller waits for an answer.
    duration objective{};           ///< Latency objective: an answer after it is worth less.
    std::uint32_t max_attempts = 1; ///< Maximum number of sends of one request.
    std::uint32_t rank = 0;         ///< Priority; 0 is the most urgent.
    bool is_public = false;         ///< Requests need no key of a client account.
    std::vector<weighted_service> services;
};

struct service_policy {
    std::string health_path;
    std::uint32_t connection_limit =
        0;                 ///< Connections that a target accepts from all instances together; 0: no limit.
    duration cold_start{}; ///< How long a target stays cold after a start.
    double cold_rate = 0;  ///< Requests per second that a cold target may get.
    bool keyed = false;    ///< Each key is owned by one target.
};

/// Limits on the size and duration of requests from callers.
struct caller_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = std::uint64_t{1024} * 1024;
    duration header_timeout = std::chrono::seconds{3};
    duration idle_timeout = std::chrono::seconds{15};
};

/// One version of the routing configuration.
struct route_table {
    std::uint64_t version = 0; ///< 0: no configuration received yet.
    caller_limits limits;
    std::map<std::string, std::vector<route_rule>, std::less<>> rules_by_host;
    std::map<service_id, service_policy> services;
    std::shared_ptr<const account_directory> accounts; ///< Null if the configuration has no accounts.
    std::vector<std::string> remarks; ///< Parts of the accounts' configuration that have no effect.
};

/// Whether a request on @a rule has to carry the key of a client account. With an empty list of accounts
/// there is no such key: removing the last account must not open the routes. Thread safe as long as the table
/// is not modified.
auto needs_account(const route_table& table, const route_rule& rule) -> bool;

/// The priority of a request on @a rule: that of its client account, or of the route if @a account has none
/// or is null. 0 is the most urgent. Thread safe.
auto rank_in_force(const route_rule& rule, const client_account* account) -> std::uint32_t;

/// Returns the rule of @a host with the longest matching prefix of @a path, or null. Thread safe as long as
/// the table is not modified.
auto find_route(const route_table& table, std::string_view host, std::string_view path) -> const route_rule*;

} // namespace teaselcross
