#pragma once

// The forward duty of an instance: callers' requests in, forwarded requests in, and what the control thread
// tells it. The functions marked so are safe to call from the control thread; all else is the forward
// thread's.

#include "entry/entry_service.h"
#include "keeper/keeper_service.h"
#include "peer.pb.h"
#include "settings/settings.h"

namespace teaselcross {

/// What the forward thread hands to the control thread.
struct forwarder_callbacks {
    std::function<void(const target_id&)> on_target_failure;
    std::function<void(const std::vector<target_load>&)> on_target_loads;
};

class forwarder {
public:
    forwarder(const settings& options, executor_thread& forward, executor_thread& control,
              store_client& store, metrics& metrics_registry, std::uint64_t process_token,
              forwarder_callbacks callbacks);

    /// Binds the callers' and the instances' ports. Throws boost::system::system_error when one is taken.
    auto start() -> void;

    /// A newer routing. Control thread.
    auto set_routing(std::shared_ptr<const routing> routes) -> void;
    /// A newer view of a kept target. False when the ring is full and it has to be said again. Control
    /// thread.
    auto update_target(keeper_view view) -> bool;
    /// A target that is not kept here any more. Control thread.
    auto close_target(const target_id& target) -> void;
    /// Collects what the next keeper of @a target needs; @a done is called on the control thread.
    auto export_operations(const target_id& target, std::function<void(wire::HandoverReply)> done) -> void;
    /// What an earlier keeper remembers. Control thread.
    auto import_operations(const target_id& target, const wire::HandoverReply& reply) -> void;

    /// Stops accepting; @a done is called on the control thread when nothing is in flight. Control thread.
    auto stop(std::function<void()> done) -> void;

private:
    auto tick() -> void;

    executor_thread& m_forward;
    executor_thread& m_control;
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
