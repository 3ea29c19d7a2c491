#include "control/node.h"

#include "control/controller_loop.h"
#include "control/keeper_loop.h"
#include "control/membership_loop.h"
#include "control/sync_loop.h"
#include "entry/forwarder.h"
#include "logging/log.h"

#include <algorithm>

namespace teaselcross {

auto on_mirror_changed(node& node, const object_mirror::changes& changed) -> void {
    if (!changed.any()) {
        return;
    }
    if (changed.config) {
        const auto version = node.mirror.description()->version;
        log::info("configuration_in_force", {{"version", version}});
        set_config_version(node.membership->state(), version);
    }
    node.keeper->on_mirror_changed(changed);
    node.controller->on_mirror_changed();
    node.sync->on_mirror_changed();
    publish_routing(node);
}

auto make_routing(const node& node) -> std::shared_ptr<const routing> {
    if (!node.mirror.description()) {
        return nullptr;
    }
    auto routes = std::make_shared<routing>();
    routes->config = node.mirror.description();
    routes->partitions = node.mirror.shared_partitions();
    for (const auto& [data_centre, table] : node.mirror.delegations()) {
        routes->delegations.insert(table.object.targets.begin(), table.object.targets.end());
    }
    const auto& detector = node.membership->state();
    for (const auto& [id, record] : detector.members) {
        if (record.state <= member_state::suspect) {
            routes->instances.emplace(id, record);
        }
    }
    routes->instances.emplace(detector.self.id, detector.self);
    routes->local_draining = node.local_draining;
    return routes;
}

auto publish_routing(node& node) -> void {
    if (auto routes = make_routing(node)) {
        node.forwarding->publish(std::move(routes));
    }
}

auto take_local_order(node& node, const wire::LocalOrder& order) -> void {
    const auto known = std::any_of(node.local_orders.begin(), node.local_orders.end(),
                                   [&](const auto& each) { return each.id() == order.id(); });
    if (known || !node.mirror.description()) {
        return;
    }
    log::warning("local_order", {{"id", order.id()},
                                 {"who", order.who()},
                                 {"why", order.why()},
                                 {"data_centre_out", order.data_centre_out()},
                                 {"target_draining", order.target_draining()}});
    node.local_orders.push_back(order);
    for (const auto& [id, target] : node.mirror.description()->targets) {
        if (target.data_centre.value() == order.data_centre_out() || id.value() == order.target_draining()) {
            node.local_draining.insert(id);
        }
    }
    node.keeper->on_local_orders();
    node.controller->on_mirror_changed();
    publish_routing(node);
}

} // namespace teaselcross
