#pragma once

// Handles requests that entries forward to this instance as the keeper of their target.

#include "http/server.h"
#include "keeper/target_gate.h"
#include "store/store_client.h"

namespace teaselcross {

/// Tells the control thread that a connection or request to a target failed.
using target_failure_handler = std::function<void(const target_id&)>;

/// Lives on the forward thread.
class keeper_service {
public:
    keeper_service(executor_thread& forward_thread, store_client& store, connection_pool& pool,
                   metrics& metrics_registry, std::string process, target_failure_handler on_target_failure);

    /// Handles one forwarded request. Returns whether the connection can be kept open.
    auto handle(responder& connection, http_request request) -> boost::asio::awaitable<bool>;

    auto update_target(const keeper_view& view) -> void;
    auto close_target(const target_id& target) -> void;
    auto import_operations(const target_id& target, const operation_handover& handover) -> void;
    /// Exports what the next keeper of @a target needs. A target without any state here counts as stopped.
    auto export_operations(const target_id& target) -> operation_handover;
    auto tick(instant now) -> void;
    auto target_loads() const -> std::vector<target_load>;

private:
    struct forwarded_request;
    class slot_guard;

    auto find(const target_id& target) const -> std::shared_ptr<target_gate>;
    auto run_idempotent(responder& connection, forwarded_request& request) -> boost::asio::awaitable<bool>;
    auto run_operation(responder& connection, forwarded_request& request) -> boost::asio::awaitable<bool>;
    auto run_new_operation(responder& connection, forwarded_request& request, bool needs_intent)
        -> boost::asio::awaitable<bool>;
    auto send_to_target(forwarded_request& request)
        -> boost::asio::awaitable<tl::expected<open_answer, exchange_error>>;
    auto create_intent(const forwarded_request& request) -> boost::asio::awaitable<store_status>;

    executor_thread& m_forward_thread;
    store_client& m_store;
    connection_pool& m_pool;
    metrics& m_metrics;
    std::string m_process;
    std::uint64_t m_next_intent = 1;
    target_failure_handler m_on_target_failure;
    std::map<target_id, std::shared_ptr<target_gate>> m_gates;
    std::map<target_id, std::shared_ptr<target_gate>>
        m_closed_gates; ///< Of targets that other keepers have taken over, for export_operations().
};

} // namespace teaselcross
