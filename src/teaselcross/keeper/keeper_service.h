#pragma once

// Requests that entries forward to this instance because it keeps their target.

#include "http/server.h"
#include "keeper/target_gate.h"
#include "store/store_client.h"

namespace teaselcross {

/// How the forward thread tells the control thread that something is wrong with a target.
using trouble_report = std::function<void(const target_id&)>;

/// Lives on the forward thread.
class keeper_service {
public:
    keeper_service(duty& forward, store_client& store, connection_pool& pool, metrics& measured,
                   std::string process, trouble_report trouble);

    /// Handles one forwarded request.
    auto handle(server_connection& from, http_request request) -> boost::asio::awaitable<bool>;

    auto update(const kept_view& view) -> void;
    auto close(const target_id& target) -> void;
    auto take_operations(const target_id& target, const handed_operations& handed) -> void;
    /// What a later keeper of @a target needs. Without a trace of the target, it has stopped.
    auto hand_over(const target_id& target) -> handed_operations;
    auto tick(instant now) -> void;
    auto measures() const -> std::vector<kept_measure>;

private:
    struct forwarded;
    class slot;

    auto find(const target_id& target) const -> std::shared_ptr<target_gate>;
    auto run_read(server_connection& from, forwarded& request) -> boost::asio::awaitable<bool>;
    auto run_operation(server_connection& from, forwarded& request) -> boost::asio::awaitable<bool>;
    auto run_new_operation(server_connection& from, forwarded& request, bool needs_intent)
        -> boost::asio::awaitable<bool>;
    auto dispatch(forwarded& request) -> boost::asio::awaitable<tl::expected<open_answer, exchange_error>>;
    auto create_intent(const forwarded& request) -> boost::asio::awaitable<store_status>;

    duty& m_forward;
    store_client& m_store;
    connection_pool& m_pool;
    metrics& m_measured;
    std::string m_process;
    std::uint64_t m_next_intent = 1;
    trouble_report m_trouble;
    std::map<target_id, std::shared_ptr<target_gate>> m_gates;
    std::map<target_id, std::shared_ptr<target_gate>>
        m_closed; ///< Of other keepers now, until they are done.
};

} // namespace teaselcross
