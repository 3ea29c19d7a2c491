#include "control/instance_context.h"

#include "control/controller_loop.h"
#include "control/keeper_loop.h"
#include "control/membership_loop.h"
#include "control/sync_loop.h"
#include "entry/forwarder.h"
#include "logging/log.h"

#include <algorithm>

namespace teaselcross {

auto on_mirror_changed(instance_context& instance, const object_mirror::changes& changed) -> void {
    if (!changed.any()) {
        return;
    }
    if (changed.config) {
        const auto version = instance.mirror.description()->version;
        log::info("configuration_applied", {{"version", version}});
        set_config_version(instance.membership->state(), version);
    }
    instance.keeper->on_mirror_changed(changed);
    instance.controller->on_mirror_changed();
    instance.sync->on_mirror_changed();
    publish_routing(instance);
}

auto make_routing(const instance_context& instance) -> std::shared_ptr<const routing> {
    if (!instance.mirror.description()) {
        return nullptr;
    }
    auto routes = std::make_shared<routing>();
    routes->config = instance.mirror.description();
    routes->partitions = instance.mirror.shared_partitions();
    for (const auto& [data_centre, table] : instance.mirror.delegations()) {
        routes->delegations.insert(table.object.targets.begin(), table.object.targets.end());
    }
    const auto& detector = instance.membership->state();
    for (const auto& [id, record] : detector.members) {
        if (record.state <= member_state::suspect) {
            routes->instances.emplace(id, record);
        }
    }
    routes->instances.emplace(detector.self.id, detector.self);
    routes->local_draining = instance.local_draining;
    return routes;
}

auto publish_routing(instance_context& instance) -> void {
    if (auto routes = make_routing(instance)) {
        instance.forwarding->set_routing(std::move(routes));
    }
}

auto apply_local_order(instance_context& instance, const wire::LocalOrder& order) -> void {
    const auto is_known = std::any_of(instance.local_orders.begin(), instance.local_orders.end(),
                                      [&](const auto& each) { return each.id() == order.id(); });
    if (is_known || !instance.mirror.description()) {
        return;
    }
    log::warning("local_order", {{"id", order.id()},
                                 {"who", order.who()},
                                 {"why", order.why()},
                                 {"data_centre_out", order.data_centre_out()},
                                 {"target_draining", order.target_draining()}});
    instance.local_orders.push_back(order);
    for (const auto& [id, target] : instance.mirror.description()->targets) {
        if (target.data_centre.value() == order.data_centre_out() || id.value() == order.target_draining()) {
            instance.local_draining.insert(id);
        }
    }
    instance.keeper->on_local_orders();
    instance.controller->on_mirror_changed();
    publish_routing(instance);
}

} // namespace teaselcross
