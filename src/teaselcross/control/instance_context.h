#pragma once

// The state that the parts of one instance share.

#include "control/object_mirror.h"
#include "keyspace/routing.h"
#include "metrics/metrics.h"
#include "peer/peer_client.h"
#include "runtime/executor_thread.h"
#include "settings/settings.h"
#include "store/store_client.h"

namespace teaselcross {

class membership_loop;
class sync_loop;
class keeper_loop;
class controller_loop;
class forwarder;

/// The state of one instance. All members except the threads, the store client and the metrics belong to the
/// control thread.
struct instance_context {
    const settings& options;
    executor_thread& control_thread;
    executor_thread& forward_thread;
    store_client& store;
    metrics& metrics_registry;

    instance_id self;                ///< ID of this process.
    std::uint64_t process_token = 0; ///< Random; drawn when the process starts.
    object_mirror mirror;
    peer_client peers;

    std::set<target_id> local_draining;
    std::vector<wire::LocalOrder> local_orders;
    bool stopping = false;

    membership_loop* membership = nullptr;
    sync_loop* sync = nullptr;
    keeper_loop* keeper = nullptr;
    controller_loop* controller = nullptr;
    forwarder* forwarding = nullptr;
};

/// Notifies all parts that objects of the mirror have changed.
auto on_mirror_changed(instance_context& instance, const object_mirror::changes& changed) -> void;

/// Builds the routing data with which entries find the keeper of a target. Null until the first
/// configuration is known.
auto make_routing(const instance_context& instance) -> std::shared_ptr<const routing>;

/// Sends a new routing to the forward thread, after a change to the data that it is built from.
auto publish_routing(instance_context& instance) -> void;

/// Applies an operator's order that is in force in this data centre until the store can be reached again. An
/// order that is already known, or that arrives before the first configuration, changes nothing.
auto apply_local_order(instance_context& instance, const wire::LocalOrder& order) -> void;

} // namespace teaselcross
