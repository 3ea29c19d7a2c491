#pragma once

// The I/O of the controller: holds the lease, writes delegations and partitions to the store, and applies
// the results of these writes.

#include "control/instance_context.h"
#include "ownership/lease.h"

#include <boost/asio/steady_timer.hpp>

namespace teaselcross {

class controller_loop {
public:
    explicit controller_loop(instance_context& instance);

    auto start() -> void;
    auto on_mirror_changed() -> void { m_plan_due = true; }
    /// Passes a keeper's report to the controller.
    auto on_report(const wire::KeeperReport& report) -> void;
    /// Releases the lease, if it is held, before a shutdown.
    auto resign() -> void;

    auto is_controller(instant now) const -> bool { return holds_lease(m_lease, now); }
    auto state() const -> const controller& { return m_controller; }

private:
    auto tick() -> void;
    auto read_lease() -> void;
    auto write_lease(const lease_write& write) -> void;
    auto become_controller(std::uint64_t epoch) -> void;
    auto run_plan(instant now) -> void;
    /// Writes an object on condition of its version and applies the result to the mirror. Returns false when
    /// the queue of the store client is full; @a done is not called then.
    auto write_object(const std::string& key, std::uint64_t expected_version, std::string value,
                      const std::function<void(const store_reply&)>& done) -> bool;
    auto write_partition(const partition_write& write) -> void;
    auto log_partition_write(const std::string& key, const partition_write& write, const store_reply& reply)
        -> void;
    auto write_delegations(const delegation_write& write) -> void;
    auto check_delegations(const data_centre_id& data_centre) -> void;
    auto read_back(const std::string& key) -> void;
    auto controlled_data_centres() const -> std::set<data_centre_id>;

    instance_context& m_instance;
    boost::asio::steady_timer m_timer;
    lease_candidate m_lease;
    controller m_controller;
    std::uint64_t m_epoch = 0;
    bool m_reading_lease = false;
    instant m_next_lease_read{};
    bool m_plan_due = true;
    instant m_next_plan{};
    std::set<partition_key> m_pending_writes;
    bool m_delegations_write_pending = false;
    std::set<data_centre_id> m_pending_checks;
};

} // namespace teaselcross
