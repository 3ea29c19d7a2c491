#include "control/object_mirror.h"

#include "logging/log.h"
#include "ownership/object_keys.h"

namespace teaselcross {

auto object_mirror::apply(const std::vector<store_object>& objects) -> changes {
    auto changed = changes{};
    for (const auto& object : objects) {
        auto& stored = m_objects[object.key];
        if (object.version <= stored.object.version) {
            continue;
        }
        m_by_sequence.erase(stored.sequence);
        stored = {.object = object, .sequence = ++m_sequence};
        m_by_sequence[stored.sequence] = object.key;
        try {
            interpret(object, changed);
        } catch (const nlohmann::json::exception& error) {
            log::error("object_parse_failed", {{"key", object.key}, {"error", error.what()}});
        }
    }
    return changed;
}

auto object_mirror::changed_since(std::uint64_t generation, std::uint64_t sequence) const
    -> std::vector<store_object> {
    const auto from = generation == m_generation ? sequence : 0;
    auto objects = std::vector<store_object>{};
    for (auto each = m_by_sequence.upper_bound(from); each != m_by_sequence.end(); ++each) {
        objects.push_back(m_objects.at(each->second).object);
    }
    return objects;
}

auto object_mirror::interpret(const store_object& object, changes& changed) -> void {
    const auto& key = object.key;
    if (object.removed) {
        return;
    }
    const auto document = nlohmann::json::parse(object.value);
    if (key == object_keys::configuration) {
        auto received = configuration_from_json(document);
        if (m_config && received.version <= m_config->version) {
            return;
        }
        auto parsed = parse_description(received.document);
        if (!parsed) {
            log::error("configuration_rejected", {{"findings", to_text(parsed.error(), "config")}});
            return;
        }
        parsed->version = received.version;
        m_description = std::make_shared<const teaselcross::description>(std::move(*parsed));
        m_config = std::make_shared<const configuration>(std::move(received));
        changed.config = true;
    } else if (key.starts_with(object_keys::partition_prefix)) {
        auto received = partition_from_json(document);
        const auto id = partition_key{received.service, received.index};
        m_shared_partitions[id] = std::make_shared<const partition>(received);
        m_partitions[id] = {.version = object.version.number, .object = std::move(received)};
        changed.partitions.push_back(id);
    } else if (key.starts_with(object_keys::delegation_prefix)) {
        auto table = delegation_table_from_json(document);
        const auto id = table.data_centre;
        m_delegations[id] = {.version = object.version.number, .object = std::move(table)};
        changed.delegations.push_back(id);
    } else if (key.starts_with(object_keys::controller_prefix)) {
        m_controllers[data_centre_id{document.at("data_centre").get<std::string>()}] = {
            .holder = instance_id{document.at("holder").get<std::string>()},
            .epoch = document.at("epoch").get<std::uint64_t>()};
        changed.controllers = true;
    }
}

} // namespace teaselcross
