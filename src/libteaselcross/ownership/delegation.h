#pragma once

// Delegations: which instance keeps each target of a data centre. One object per data centre in the store.

#include "core/identifier.h"
#include "ownership/grant.h"

#include <map>
#include <optional>
#include <vector>

namespace teaselcross {

struct delegation {
    instance_id keeper;
    delegation_epoch epoch = 0;
    /// Earlier keepers that are not yet known to have stopped, the latest last.
    std::vector<instance_id> predecessors;

    auto operator==(const delegation&) const -> bool = default;
};

struct delegation_table {
    data_centre_id data_centre;
    std::string writer_token;
    std::map<target_id, delegation> targets;
};

/// Delegates @a target to @a keeper under the next epoch. The previous keeper becomes a predecessor.
auto delegate(delegation_table& table, const target_id& target, const instance_id& keeper) -> void;

/// Selects the keeper of a target among @a candidates by rendezvous hashing. Empty when there are none.
auto preferred_keeper(const target_id& target, const std::vector<instance_id>& candidates)
    -> std::optional<instance_id>;

/// Moves one settled target from the busiest to the least busy candidate, if their loads differ by two or
/// more. Returns whether it did.
auto rebalance_keepers(delegation_table& table, const std::vector<instance_id>& candidates) -> bool;

/// Updates @a table for @a targets and the live @a candidates, moving as few targets as possible.
/// @a settled are targets whose keeper reports that its predecessors have stopped.
/// Returns whether anything changed.
auto redelegate(delegation_table& table, const std::vector<target_id>& targets,
                const std::vector<instance_id>& candidates, const std::vector<target_id>& settled) -> bool;

auto to_json(const delegation_table& table) -> nlohmann::json;
auto delegation_table_from_json(const nlohmann::json& object) -> delegation_table;

} // namespace teaselcross
