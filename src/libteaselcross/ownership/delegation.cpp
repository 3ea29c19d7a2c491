#include "ownership/delegation.h"

#include "core/rendezvous.h"

#include <algorithm>

namespace teaselcross {

namespace {

auto contains(const auto& list, const auto& item) -> bool {
    return std::find(list.begin(), list.end(), item) != list.end();
}

} // namespace

auto delegate(delegation_table& table, const target_id& target, const instance_id& keeper) -> void {
    auto& entry = table.targets[target];
    if (!entry.keeper.empty() && !contains(entry.predecessors, entry.keeper)) {
        entry.predecessors.push_back(entry.keeper);
    }
    // An instance that becomes keeper again knows that it has stopped under its earlier epoch.
    std::erase(entry.predecessors, keeper);
    entry.keeper = keeper;
    ++entry.epoch;
}

auto preferred_keeper(const target_id& target, const std::vector<instance_id>& candidates)
    -> std::optional<instance_id> {
    const auto item = hash_text(target.value());
    const auto best =
        std::max_element(candidates.begin(), candidates.end(), [&](const auto& a, const auto& b) {
            return rendezvous_weight(item, a.value()) < rendezvous_weight(item, b.value());
        });
    if (best == candidates.end()) {
        return std::nullopt;
    }
    return *best;
}

auto redelegate(delegation_table& table, const std::vector<target_id>& targets,
                const std::vector<instance_id>& candidates, const std::vector<target_id>& settled) -> bool {
    auto changed = false;
    for (const auto& target : settled) {
        const auto entry = table.targets.find(target);
        if (entry != table.targets.end() && !entry->second.predecessors.empty()) {
            entry->second.predecessors.clear();
            changed = true;
        }
    }
    for (const auto& target : targets) {
        const auto entry = table.targets.find(target);
        if (entry != table.targets.end() && contains(candidates, entry->second.keeper)) {
            continue;
        }
        if (const auto keeper = preferred_keeper(target, candidates)) {
            delegate(table, target, *keeper);
            changed = true;
        }
    }
    return changed;
}

auto rebalance_keepers(delegation_table& table, const std::vector<instance_id>& candidates) -> bool {
    auto counts = std::map<instance_id, std::size_t>{};
    for (const auto& candidate : candidates) {
        counts[candidate] = 0;
    }
    for (const auto& [target, entry] : table.targets) {
        if (const auto found = counts.find(entry.keeper); found != counts.end()) {
            ++found->second;
        }
    }
    const auto [least, most] = std::minmax_element(
        counts.begin(), counts.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    if (counts.empty() || most->second < least->second + 2) {
        return false;
    }
    for (const auto& [target, entry] : table.targets) {
        if (entry.keeper == most->first && entry.predecessors.empty()) {
            delegate(table, target, instance_id{least->first});
            return true;
        }
    }
    return false;
}

auto to_json(const delegation_table& table) -> nlohmann::json {
    auto targets = nlohmann::json::object();
    for (const auto& [target, entry] : table.targets) {
        auto predecessors = nlohmann::json::array();
        for (const auto& instance : entry.predecessors) {
            predecessors.push_back(instance.value());
        }
        targets[target.value()] = {entry.keeper.value(), entry.epoch, predecessors};
    }
    return {{"data_centre", table.data_centre.value()}, {"token", table.writer_token}, {"targets", targets}};
}

auto delegation_table_from_json(const nlohmann::json& object) -> delegation_table {
    auto table = delegation_table{};
    table.data_centre = data_centre_id{object.at("data_centre").get<std::string>()};
    table.writer_token = object.at("token").get<std::string>();
    for (const auto& [name, entry] : object.at("targets").items()) {
        auto& read = table.targets[target_id{name}];
        read.keeper = instance_id{entry.at(0).get<std::string>()};
        read.epoch = entry.at(1).get<delegation_epoch>();
        for (const auto& instance : entry.at(2)) {
            read.predecessors.emplace_back(instance.get<std::string>());
        }
    }
    return table;
}

} // namespace teaselcross
