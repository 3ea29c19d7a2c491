#pragma once

// The keeper on the wire: heartbeats to the targets kept here, taking over and handing over, reports.

#include "control/node.h"
#include "keeper/kept_view.h"
#include "ownership/keeper.h"

#include <boost/asio/steady_timer.hpp>

namespace teaselcross {

class keeper_loop {
public:
    explicit keeper_loop(node& node);

    auto start() -> void;
    auto on_mirror_changed(const object_mirror::changes& changed) -> void;
    auto on_membership_changed() -> void;
    auto on_local_orders() -> void;
    /// The forward thread's figures on the kept targets.
    auto on_measures(const std::vector<kept_measure>& measures) -> void;
    /// The forward thread met a refused connection, or silence, at a target.
    auto on_target_trouble(const target_id& target) -> void;

    /// Another keeper asks for a target.
    auto answer_handover(const wire::HandoverRequest& request, std::function<void(wire::HandoverReply)> done)
        -> void;

    auto state() const -> const keeper& { return m_keeper; }
    /// The reports on all kept targets.
    auto reports() -> std::vector<wire::TargetReport>;

private:
    struct upkeep {
        wall_time operations_since{};
        bool covered = false; ///< No earlier keeper can reach the target.
        bool reading = false; ///< A read of the partitions is under way.
        instant next_read{};
        instant next_handover{};
        std::string last_report; ///< As last sent.
        instant next_report{};
    };

    auto tick() -> void;
    auto tend(const target_id& id, kept_target& target, instant now) -> void;
    auto take_up(const std::vector<target_id>& taken) -> void;
    auto drop(const std::vector<target_id>& dropped) -> void;
    auto read_partitions(const target_id& id, kept_target& target, instant now) -> void;
    auto ask_predecessors(const target_id& id, const kept_target& target, instant now) -> void;
    auto check_gone(const target_id& id, const member& predecessor) -> void;
    auto predecessor_stopped(const target_id& id, const instance_id& predecessor) -> void;
    auto heartbeat(const target_id& id, const grant_request& request) -> void;
    auto on_heartbeat_answer(const target_id& id, delegation_epoch epoch,
                             const tl::expected<http_response, exchange_error>& answer) -> void;
    auto push_view(const target_id& id) -> void;
    auto report(instant now) -> void;
    auto isolated(const kept_target& target, instant now) const -> bool;
    auto live_controllers() const -> std::vector<member_address>;

    node& m_node;
    keeper m_keeper;
    connection_pool m_pool;
    boost::asio::steady_timer m_timer;
    std::map<target_id, upkeep> m_upkeep;
    std::map<target_id, std::uint64_t> m_dirty_views; ///< Views that the full ring has refused.
};

} // namespace teaselcross
