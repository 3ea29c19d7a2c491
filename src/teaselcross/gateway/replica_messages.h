#pragma once

// Messages by which instances copy and compare the objects of one kind.

#include "core/time.h"
#include "replication/object_replica.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>

namespace teaselcross {

/// The request of an instance that follows another: the changes after a number, of the process with an epoch.
struct follow_query {
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
};

/// An object in an answer of another instance.
struct relayed_object {
    store_object object; ///< Its value is a difference when there is a base.
    store_revision base; ///< Version from which the difference was computed; 0 for a whole value.
    /// How long ago the store first reported this version to one of the instances that passed it on. Nothing
    /// if that is not known.
    std::optional<duration> known_for;
};

/// The answer to a follow_query.
struct follow_answer {
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    store_revision complete_to;
    std::uint64_t digest = 0; ///< That of the relay's copy.
    bool is_whole = false;    ///< The complete list, not the changes since the query's number.
    std::vector<relayed_object> objects;
    /// How long ago the copy of the answering instance was last known to be complete.
    duration age = duration::max();
    duration held{}; ///< How long the request waited for a change.
    /// How long entries that expired in an outage of the store may stay missing, as known to that instance.
    duration outage_grace{};
};

/// The answer to a comparison.
struct compare_answer {
    replica_comparison comparison;
    std::map<std::string, duration> known_for; ///< By key; as in relayed_object.
    duration age = duration::max();            ///< As in follow_answer.
    duration outage_grace{};                   ///< As in follow_answer.
};

/// State of an instance's copy of the objects of one kind.
struct copy_state {
    std::uint64_t digest = 0;
    store_revision complete_to;     ///< All changes up to this revision of the store are contained.
    duration age = duration::max(); ///< As in follow_answer.
};
using copy_states = std::map<std::string, copy_state>; ///< By kind.

// Encoders return JSON. Decoders return nothing when the text is not such a message. All are thread safe.
auto encode(const std::string& kind, const follow_query& query) -> std::string;
auto encode(const follow_answer& answer) -> std::string;
auto encode(const std::string& kind, const object_versions& versions) -> std::string;
auto encode(const compare_answer& answer) -> std::string;
auto decode_follow_query(const std::string& text) -> std::optional<follow_query>;
auto decode_follow_answer(const std::string& text) -> std::optional<follow_answer>;
auto decode_versions(const nlohmann::json& query) -> std::optional<object_versions>;
auto decode_compare_answer(const std::string& text) -> std::optional<compare_answer>;
/// The answer of an instance that will serve followers once it has read the store.
auto starting_answer() -> std::string;
auto is_starting_answer(const std::string& text) -> bool;
auto to_json(const copy_states& states) -> nlohmann::json;
/// Throws nlohmann::json::exception when @a document does not contain the states.
auto copy_states_from_json(const nlohmann::json& document) -> copy_states;

} // namespace teaselcross
