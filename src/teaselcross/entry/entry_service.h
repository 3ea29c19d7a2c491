#pragma once

// Callers' requests: found a target, sent to its keeper, and answered whole or refused truthfully.

#include "balance/choice.h"
#include "delivery/attempt.h"
#include "delivery/hedge.h"
#include "http/server.h"
#include "keyspace/routing.h"
#include "metrics/metrics.h"
#include "runtime/duty.h"

#include <list>

namespace teaselcross {

/// Lives on the forward thread.
class entry_service {
public:
    entry_service(duty& forward, connection_pool& pool, metrics& measured, std::uint64_t seed);

    auto handle(server_connection& from, http_request request) -> boost::asio::awaitable<bool>;

    /// A newer routing: requests that wait for one go on.
    auto publish(std::shared_ptr<const routing> routes) -> void;

private:
    struct caller_request;
    struct chosen_target;
    struct attempt_result;

    auto read_request(const server_connection& from, http_request request)
        -> tl::expected<caller_request, http_response>;
    auto run(server_connection& from, caller_request& request) -> boost::asio::awaitable<bool>;
    auto choose(caller_request& request, const target_id& avoided) -> std::optional<chosen_target>;
    auto prepare(caller_request& request, const chosen_target& chosen) -> http_request;
    auto send(caller_request& request, chosen_target chosen) -> boost::asio::awaitable<attempt_result>;
    auto send_hedge(caller_request& request, target_id first, duration delay)
        -> boost::asio::awaitable<attempt_result>;
    auto send_once(server_connection& from, caller_request& request, chosen_target chosen)
        -> boost::asio::awaitable<attempt_result>;
    auto deliver(server_connection& from, caller_request& request, open_answer answer)
        -> boost::asio::awaitable<bool>;
    auto wait_for_routes(duration longest) -> boost::asio::awaitable<void>;
    /// Ends when another instance keeps the target than the one that the request went to.
    auto keeper_replaced(target_id target, instance_id keeper) -> boost::asio::awaitable<void>;
    auto issue_identity(const target_id& home) -> std::string;
    auto answer_issued(server_connection& from, const http_request& request) -> boost::asio::awaitable<bool>;

    duty& m_forward;
    connection_pool& m_pool;
    metrics& m_measured;
    std::shared_ptr<const routing> m_routes;
    std::list<boost::asio::steady_timer> m_waiting;
    target_chooser m_chooser;
    retry_token_bucket m_budget;
    std::map<service_id, hedger> m_hedgers;
    std::uint64_t m_next_request;
};

} // namespace teaselcross
