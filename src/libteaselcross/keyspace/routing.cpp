#include "keyspace/routing.h"

namespace teaselcross {

auto route_key(const routing& routes, const service_id& service, std::string_view key)
    -> std::optional<key_route> {
    const auto described = routes.config->services.find(service);
    if (described == routes.config->services.end() || !described->second.is_keyed()) {
        return std::nullopt;
    }
    const auto shard = shard_of(key, described->second.shards);
    const auto found = routes.partitions.find({service, partition_of(shard)});
    if (found == routes.partitions.end()) {
        return std::nullopt;
    }
    const auto& record = found->second->record(shard);
    return key_route{.shard = shard, .target = record.owner, .fence = record.fence, .state = record.state};
}

auto keeper_of(const routing& routes, const target_id& target) -> const member* {
    const auto delegated = routes.delegations.find(target);
    if (delegated == routes.delegations.end()) {
        return nullptr;
    }
    const auto found = routes.instances.find(delegated->second.keeper);
    return found == routes.instances.end() ? nullptr : &found->second;
}

auto available_targets(const routing& routes, const service_id& service) -> std::vector<target_id> {
    auto open = std::vector<target_id>{};
    for (const auto& [id, target] : routes.config->targets) {
        if (target.service == service && routes.config->is_in_service(target) &&
            !routes.local_draining.contains(id)) {
            open.push_back(id);
        }
    }
    return open;
}

} // namespace teaselcross
