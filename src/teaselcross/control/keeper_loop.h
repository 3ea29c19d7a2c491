#pragma once

// The keeper on the wire: heartbeats to the targets kept here, taking over and handing over, reports.

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
    /// The forward thread's figures on the kept targets.
    auto on_target_loads(const std::vector<target_load>& loads) -> void;
    /// The forward thread met a refused connection, or silence, at a target.
    auto on_target_failure(const target_id& target) -> void;

    /// Another keeper asks for a target.
    auto answer_handover(const wire::HandoverRequest& request, std::function<void(wire::HandoverReply)> done)
        -> void;

    auto state() const -> const keeper& { return m_keeper; }
    /// The reports on all kept targets.
    auto reports() -> std::vector<wire::TargetReport>;

private:
    struct target_bookkeeping {
        wall_time memory_since{};
        bool predecessors_fenced = false; ///< No earlier keeper can reach the target.
        bool read_pending = false;        ///< A read of the partitions is under way.
        instant next_read{};
        instant next_handover{};
        std::string last_report; ///< As last sent.
        instant next_report{};
    };

    auto tick() -> void;
    auto advance_target(const target_id& id, kept_target& target, instant now) -> void;
    auto acquire_targets(const std::vector<target_id>& taken) -> void;
    auto release_targets(const std::vector<target_id>& dropped) -> void;
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
    std::map<target_id, std::uint64_t> m_unsent_views; ///< Views that the full ring has refused.
};

} // namespace teaselcross
