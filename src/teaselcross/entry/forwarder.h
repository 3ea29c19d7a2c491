#pragma once

// The forwarding of one instance: serves callers' requests and the requests that other instances forward,
// and receives updates from the control thread. The public functions may be called on the control thread;
// everything else belongs to the forward thread.

#include "entry/entry_service.h"
#include "keeper/keeper_service.h"
#include "peer.pb.h"
#include "settings/settings.h"

namespace teaselcross {

/// Callbacks from the forward thread, called on the control thread.
struct forwarder_callbacks {
    std::function<void(const target_id&)> on_target_failure;
    std::function<void(const std::vector<target_load>&)> on_target_loads;
};

class forwarder {
public:
    forwarder(const settings& options, executor_thread& forward_thread, executor_thread& control_thread,
              store_client& store, metrics& metrics_registry, std::uint64_t process_token,
              forwarder_callbacks callbacks);

    /// Binds the ports for callers and for other instances. Throws boost::system::system_error when one is
    /// in use.
    auto start() -> void;

    /// Replaces the routing. Call on the control thread.
    auto set_routing(std::shared_ptr<const routing> routes) -> void;
    /// Replaces the view of a kept target. Returns false when the ring is full; the view then has to be sent
    /// again. Call on the control thread.
    auto update_target(keeper_view view) -> bool;
    /// Stops sending to a target that is no longer kept here. Call on the control thread.
    auto close_target(const target_id& target) -> void;
    /// Collects what the next keeper of @a target needs; @a done is called on the control thread.
    auto export_operations(const target_id& target, std::function<void(wire::HandoverReply)> done) -> void;
    /// Imports the operation memory of an earlier keeper. Call on the control thread.
    auto import_operations(const target_id& target, const wire::HandoverReply& reply) -> void;

    /// Stops accepting requests; @a done is called on the control thread when none is in flight. Call on the
    /// control thread.
    auto stop(std::function<void()> done) -> void;

private:
    auto tick() -> void;

    executor_thread& m_forward_thread;
    executor_thread& m_control_thread;
    forwarder_callbacks m_callbacks;
    connection_pool m_pool;
    keeper_service m_keeper;
    entry_service m_entry;
    http_server m_caller_server;
    http_server m_instance_server;
    boost::asio::steady_timer m_timer;
    instant m_next_load_report{};
    std::function<void()> m_on_stopped;
};

} // namespace teaselcross
