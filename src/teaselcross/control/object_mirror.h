#pragma once

// This instance's copy of the store's shared objects, with a change sequence for the instances that pull
// from it.

#include "config/patch.h"
#include "ownership/controller.h"
#include "store/store_client.h"

namespace teaselcross {

/// The instance that controls a data centre.
struct controller_object {
    instance_id holder;
    std::uint64_t epoch = 0;
};

/// Objects by key, each at the highest version seen. Lives on the control thread.
class object_mirror {
public:
    /// Which objects a batch changed.
    struct changes {
        bool config = false;
        std::vector<partition_key> partitions;
        std::vector<data_centre_id> delegations;
        bool controllers = false;

        auto any() const -> bool {
            return config || controllers || !partitions.empty() || !delegations.empty();
        }
    };

    explicit object_mirror(std::uint64_t generation) : m_generation{generation} {}

    /// Stores the objects that are newer than the present copies and ignores the others.
    auto apply(const std::vector<store_object>& objects) -> changes;

    /// The objects that changed after @a sequence, or all objects if @a generation is not that of this
    /// mirror.
    auto changed_since(std::uint64_t generation, std::uint64_t sequence) const -> std::vector<store_object>;

    auto generation() const -> std::uint64_t { return m_generation; }
    auto sequence() const -> std::uint64_t { return m_sequence; }
    auto size() const -> std::size_t { return m_objects.size(); }

    /// The configuration in force; null until the first one is known.
    auto config() const -> const std::shared_ptr<const configuration>& { return m_config; }
    auto description() const -> const std::shared_ptr<const teaselcross::description>& {
        return m_description;
    }
    auto partitions() const -> const std::map<partition_key, versioned<partition>>& { return m_partitions; }
    /// The same partitions, for use in other threads.
    auto shared_partitions() const -> const std::map<partition_key, std::shared_ptr<const partition>>& {
        return m_shared_partitions;
    }
    auto delegations() const -> const std::map<data_centre_id, versioned<delegation_table>>& {
        return m_delegations;
    }
    auto controllers() const -> const std::map<data_centre_id, controller_object>& { return m_controllers; }

private:
    struct entry {
        store_object object;
        std::uint64_t sequence = 0;
    };

    auto interpret(const store_object& object, changes& changed) -> void;

    std::uint64_t m_generation;
    std::uint64_t m_sequence = 0;
    std::map<std::string, entry> m_objects;
    std::map<std::uint64_t, std::string> m_by_sequence;

    std::shared_ptr<const configuration> m_config;
    std::shared_ptr<const teaselcross::description> m_description;
    std::map<partition_key, versioned<partition>> m_partitions;
    std::map<partition_key, std::shared_ptr<const partition>> m_shared_partitions;
    std::map<data_centre_id, versioned<delegation_table>> m_delegations;
    std::map<data_centre_id, controller_object> m_controllers;
};

} // namespace teaselcross
