#pragma once

// What the parts of one instance share.

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

/// The state of one instance. Everything but the duties, the store client and the metrics belongs to the
/// control thread.
struct instance_context {
    const settings& options;
    executor_thread& control_thread;
    executor_thread& forward_thread;
    store_client& store;
    metrics& metrics_registry;

    instance_id self;                ///< This process.
    std::uint64_t process_token = 0; ///< Drawn at the start of the process.
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

/// The objects of the mirror have changed: all parts look at them again.
auto on_mirror_changed(instance_context& instance, const object_mirror::changes& changed) -> void;

/// What entries need to find owners, as this instance knows it; null before a configuration is known.
auto make_routing(const instance_context& instance) -> std::shared_ptr<const routing>;

/// Something that routes depend on has changed: the forward thread gets a new routing.
auto publish_routing(instance_context& instance) -> void;

/// Takes an operator's order that holds in this data centre until the store can be reached.
auto apply_local_order(instance_context& instance, const wire::LocalOrder& order) -> void;

} // namespace teaselcross
