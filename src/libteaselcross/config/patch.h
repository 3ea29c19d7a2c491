#pragma once

// Numbered patches: each applies to the version it names, or is rejected as a whole.

#include "config/description.h"

#include <deque>
#include <variant>

namespace teaselcross {

/// A change that an operator asks for.
struct patch {
    std::string id; ///< Chosen by the operator; a repeat of the same ID never applies twice.
    std::uint64_t base = 0;
    std::string who;
    std::string why;
    wall_time when{};
    nlohmann::json changes; ///< JSON Merge Patch, RFC 7396.
};

/// An accepted patch, as the audit trail keeps it.
struct patch_record {
    std::uint64_t version = 0;
    patch accepted;
};

/// The configuration as the platform's store holds it.
struct configuration {
    std::uint64_t version = 0;
    nlohmann::json document;
    std::deque<patch_record> recent; ///< The last accepted patches, oldest first, to recognise repeats.
};

/// Accepted patches that the configuration object itself remembers.
constexpr std::size_t recent_patch_limit = 64;

/// The patch named a version that is not the one in force.
struct version_conflict {
    std::uint64_t current = 0;
};

/// The patch had taken effect before, at this version.
struct already_applied {
    std::uint64_t version = 0;
};

using patch_refusal = std::variant<version_conflict, already_applied, findings>;

/// Applies @a change to @a current. The patch is applied atomically: the result is a validated
/// configuration with the next version, or the reason for the rejection. Thread safe.
auto apply_patch(const configuration& current, const patch& change)
    -> tl::expected<configuration, patch_refusal>;

auto to_json(const patch_record& record) -> nlohmann::json;
auto to_json(const configuration& whole) -> nlohmann::json;
auto configuration_from_json(const nlohmann::json& object) -> configuration;

/// The version at which a patch with @a id took effect, if it is among the recent ones.
auto applied_version(const configuration& current, const std::string& id) -> std::optional<std::uint64_t>;

} // namespace teaselcross
