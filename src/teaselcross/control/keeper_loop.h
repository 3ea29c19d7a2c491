#pragma once

// The I/O of the keeper: heartbeats to its targets, handovers from and to other keepers, and reports to the
// controllers.

#include "control/instance_context.h"
#include "keeper/keeper_view.h"
#include "ownership/keeper.h"

#include <boost/asio/steady_timer.hpp>

namespace teaselcross {

class keeper_loop {
public:
    explicit keeper_loop(instance_context& instance);

    auto start() -> void;
    auto on_mirror_changed(const object_mirror::changes& changed) -> void;
    auto on_membership_changed() -> void;
    auto on_local_orders() -> void;
    /// Takes the load figures that the forward thread measured at the kept targets.
    auto on_target_loads(const std::vector<target_load>& loads) -> void;
    /// The forward thread could not connect to a target or got no answer from it: sends the next heartbeat
    /// early.
    auto on_target_failure(const target_id& target) -> void;

    /// Answers the request of another keeper to stop sending to a target and to hand over its operation
    /// memory.
    auto answer_handover(const wire::HandoverRequest& request, std::function<void(wire::HandoverReply)> done)
        -> void;

    auto state() const -> const keeper& { return m_keeper; }
    /// Reports on all kept targets.
    auto reports() -> std::vector<wire::TargetReport>;

private:
    struct target_bookkeeping {
        wall_time memory_since{};
        bool predecessors_fenced = false; ///< No earlier keeper can reach the target any more.
        bool read_pending = false;        ///< A read of the partitions is in progress.
        instant next_read{};
        instant next_handover{};
        std::string last_report; ///< The last report sent, serialised.
        instant next_report{};
    };

    auto tick() -> void;
    auto advance_target(const target_id& id, kept_target& target, instant now) -> void;
    auto acquire_targets(const std::vector<target_id>& ids) -> void;
    auto release_targets(const std::vector<target_id>& ids) -> void;
    auto read_partitions(const target_id& id, kept_target& target, instant now) -> void;
    auto request_handovers(const target_id& id, const kept_target& target, instant now) -> void;
    auto probe_predecessor(const target_id& id, const member& predecessor) -> void;
    auto record_predecessor_stop(const target_id& id, const instance_id& predecessor) -> void;
    auto send_heartbeat(const target_id& id, const grant_request& request) -> void;
    auto on_heartbeat_reply(const target_id& id, delegation_epoch epoch,
                            const tl::expected<http_response, exchange_error>& answer) -> void;
    auto push_target_view(const target_id& id) -> void;
    auto send_reports(instant now) -> void;
    auto is_isolated(const kept_target& target, instant now) const -> bool;
    auto live_controllers() const -> std::vector<member_address>;

    instance_context& m_instance;
    keeper m_keeper;
    connection_pool m_pool;
    boost::asio::steady_timer m_timer;
    std::map<target_id, target_bookkeeping> m_bookkeeping;
    std::map<target_id, std::uint64_t>
        m_unsent_views; ///< Views rejected because the ring was full, to be sent again.
};

} // namespace teaselcross
