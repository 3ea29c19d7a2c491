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
struct forwarder_reports {
    std::function<void(const target_id&)> trouble;
    std::function<void(const std::vector<kept_measure>&)> measures;
};

class forwarder {
public:
    forwarder(const settings& options, duty& forward, duty& control, store_client& store, metrics& measured,
              std::uint64_t process_token, forwarder_reports reports);

    /// Binds the callers' and the instances' ports. Throws boost::system::system_error when one is taken.
    auto start() -> void;

    /// A newer routing. Control thread.
    auto publish(std::shared_ptr<const routing> routes) -> void;
    /// A newer view of a kept target. False when the ring is full and it has to be said again. Control
    /// thread.
    auto update_kept(kept_view view) -> bool;
    /// A target that is not kept here any more. Control thread.
    auto close_kept(const target_id& target) -> void;
    /// Collects what the next keeper of @a target needs; @a done is called on the control thread.
    auto collect_operations(const target_id& target, std::function<void(wire::HandoverReply)> done) -> void;
    /// What an earlier keeper remembers. Control thread.
    auto take_operations(const target_id& target, const wire::HandoverReply& reply) -> void;

    /// Stops accepting; @a done is called on the control thread when nothing is in flight. Control thread.
    auto stop(std::function<void()> done) -> void;

private:
    auto tick() -> void;

    duty& m_forward;
    duty& m_control;
    forwarder_reports m_reports;
    connection_pool m_pool;
    keeper_service m_keeper;
    entry_service m_entry;
    http_server m_callers;
    http_server m_instances;
    boost::asio::steady_timer m_timer;
    instant m_next_measure{};
    std::function<void()> m_stopped;
};

} // namespace teaselcross
