#pragma once

// The description of data centres, services and targets maintained by operators.

#include "core/enum_names.h"
#include "core/finding.h"
#include "core/identifier.h"
#include "core/time.h"

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <map>
#include <optional>

namespace teaselcross {

/// Whether a data centre receives new work.
enum class data_centre_state { in, out };
constexpr enum_table<data_centre_state, 2> data_centre_state_names{"in", "out"};

/// The state of a target requested by operators. An operator declares that a lost target owns nothing.
enum class target_state { in, draining, lost };
constexpr enum_table<target_state, 3> target_state_names{"in", "draining", "lost"};

/// The part of a request that contains the key.
enum class key_source { none, path, header };
constexpr enum_table<key_source, 3> key_source_names{"none", "path", "header"};

/// How a caller's own operation identity is kept from running twice after a keeper is lost.
enum class operation_deduplication { durable_intent, keeper_only };
constexpr enum_table<operation_deduplication, 2> operation_deduplication_names{"durable_intent",
                                                                               "keeper_only"};

struct data_centre_description {
    data_centre_state state = data_centre_state::in;
};

struct service_description {
    key_source key = key_source::none;
    std::string key_header;
    std::uint32_t shards = 0; ///< A power of two for keyed services, 0 for the others.
    operation_deduplication operations = operation_deduplication::durable_intent;
    duration default_deadline = std::chrono::seconds{10};
    std::optional<duration>
        isolation_limit;            ///< How long a cut-off keeper goes on refreshing; none: for ever.
    std::uint32_t queue_limit = 64; ///< Requests waiting at one target.
    bool hedge = false;             ///< Idempotent unkeyed requests may be hedged.

    auto is_keyed() const -> bool { return key != key_source::none; }
};

struct target_description {
    service_id service;
    data_centre_id data_centre;
    std::string host; ///< An IP address.
    std::uint16_t port = 0;
    std::uint32_t slots = 1;      ///< Requests in flight when warm.
    std::uint32_t cold_slots = 1; ///< Requests in flight right after a start.
    std::uint32_t warm_up_requests =
        32; ///< Successful responses after which a cold target gets one more slot.
    std::uint32_t connections = 130;
    bool checks_fence = false; ///< The target refuses orders under an old fence or an ended term.
    target_state state = target_state::in;
};

/// The whole description. The version rises by one with every accepted patch.
struct description {
    std::uint64_t version = 0;
    std::map<data_centre_id, data_centre_description> data_centres;
    std::map<service_id, service_description> services;
    std::map<target_id, target_description> targets;

    /// Whether the target may own keys and receive new work, according to its configured state.
    auto is_in_service(const target_description& target) const -> bool;
};

/// Checks @a document against the schema and across fields, and builds the description.
/// Every fault is reported. Thread safe.
auto parse_description(const nlohmann::json& document) -> tl::expected<description, findings>;

/// Fills in the lines of @a found from the text the document was read from.
auto locate(findings found, const std::string& text) -> findings;

/// Parses JSON text. A syntax fault is a finding with its line.
auto parse_json(const std::string& text) -> tl::expected<nlohmann::json, findings>;

} // namespace teaselcross
