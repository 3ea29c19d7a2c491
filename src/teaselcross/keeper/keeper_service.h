#pragma once

// Requests that entries forward to this instance because it keeps their target.

#include "http/server.h"
#include "keeper/target_gate.h"
#include "store/store_client.h"

namespace teaselcross {

/// How the forward thread tells the control thread that something is wrong with a target.
using target_failure_handler = std::function<void(const target_id&)>;

/// Lives on the forward thread.
class keeper_service {
public:
    keeper_service(executor_thread& forward, store_client& store, connection_pool& pool,
                   metrics& metrics_registry, std::string process, target_failure_handler on_target_failure);

    /// Handles one forwarded request.
    auto handle(server_connection& from, http_request request) -> boost::asio::awaitable<bool>;

    auto update_target(const keeper_view& view) -> void;
    auto close_target(const target_id& target) -> void;
    auto import_operations(const target_id& target, const operation_handover& handed) -> void;
    /// What a later keeper of @a target needs. Without a trace of the target, it has stopped.
    auto export_operations(const target_id& target) -> operation_handover;
    auto tick(instant now) -> void;
    auto target_loads() const -> std::vector<target_load>;

private:
    struct forwarded_request;
    class slot_guard;

    auto find(const target_id& target) const -> std::shared_ptr<target_gate>;
    auto run_idempotent(server_connection& from, forwarded_request& request) -> boost::asio::awaitable<bool>;
    auto run_operation(server_connection& from, forwarded_request& request) -> boost::asio::awaitable<bool>;
    auto run_new_operation(server_connection& from, forwarded_request& request, bool needs_intent)
        -> boost::asio::awaitable<bool>;
    auto send_to_target(forwarded_request& request)
        -> boost::asio::awaitable<tl::expected<open_answer, exchange_error>>;
    auto create_intent(const forwarded_request& request) -> boost::asio::awaitable<store_status>;

    executor_thread& m_forward;
    store_client& m_store;
    connection_pool& m_pool;
    metrics& m_metrics;
    std::string m_process;
    std::uint64_t m_next_intent = 1;
    target_failure_handler m_on_target_failure;
    std::map<target_id, std::shared_ptr<target_gate>> m_gates;
    std::map<target_id, std::shared_ptr<target_gate>>
        m_closed_gates; ///< Of other keepers now, until they are done.
};

} // namespace teaselcross
