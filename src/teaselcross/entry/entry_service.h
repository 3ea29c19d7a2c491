#pragma once

// Handles callers' requests: selects a target, forwards the request to its keeper, retries, and delivers the
// answer or an error that tells whether the request may have run.

#include "balance/choice.h"
#include "delivery/attempt.h"
#include "delivery/hedge.h"
#include "http/server.h"
#include "keyspace/routing.h"
#include "metrics/metrics.h"
#include "runtime/executor_thread.h"

#include <list>

namespace teaselcross {

/// Lives on the forward thread.
class entry_service {
public:
    entry_service(executor_thread& forward_thread, connection_pool& pool, metrics& metrics_registry,
                  std::uint64_t seed);

    auto handle(responder& connection, http_request request) -> boost::asio::awaitable<bool>;

    /// Replaces the routing and resumes the requests that wait for a newer one.
    auto set_routing(std::shared_ptr<const routing> routes) -> void;

private:
    struct caller_request;
    struct chosen_target;
    struct attempt_result;

    auto parse_request(const responder& connection, http_request request)
        -> tl::expected<caller_request, http_response>;
    auto run(responder& connection, caller_request& request) -> boost::asio::awaitable<bool>;
    auto select_target(caller_request& request, const target_id& excluded) -> std::optional<chosen_target>;
    auto make_forwarded_message(caller_request& request, const chosen_target& chosen) -> http_request;
    auto send_attempt(caller_request& request, chosen_target chosen)
        -> boost::asio::awaitable<attempt_result>;
    auto send_hedge(caller_request& request, target_id first, duration delay)
        -> boost::asio::awaitable<attempt_result>;
    auto send_with_hedge(responder& connection, caller_request& request, chosen_target chosen)
        -> boost::asio::awaitable<attempt_result>;
    auto deliver_answer(responder& connection, caller_request& request, open_answer answer)
        -> boost::asio::awaitable<bool>;
    auto wait_for_routing(duration max_wait) -> boost::asio::awaitable<void>;
    /// Completes when the keeper of @a target is an instance other than @a keeper.
    auto wait_for_keeper_change(target_id target, instance_id keeper) -> boost::asio::awaitable<void>;
    auto issue_operation_id(const target_id& home) -> std::string;
    auto handle_issue_request(responder& connection, const http_request& request)
        -> boost::asio::awaitable<bool>;

    executor_thread& m_forward_thread;
    connection_pool& m_pool;
    metrics& m_metrics;
    std::shared_ptr<const routing> m_routes;
    std::list<boost::asio::steady_timer> m_routing_waiters;
    target_chooser m_chooser;
    retry_token_bucket m_retry_budget;
    std::map<service_id, hedger> m_hedgers;
    std::uint64_t m_next_request;
};

} // namespace teaselcross
