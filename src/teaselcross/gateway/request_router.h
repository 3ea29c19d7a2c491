#pragma once

// Routes callers' requests to targets and returns the target's answer or a refusal.

#include "admission/gate.h"
#include "admission/retry_detection.h"
#include "balance/target_speeds.h"
#include "delivery/retry_budget.h"
#include "gateway/cluster_state.h"
#include "http/server.h"
#include "metrics/metrics.h"
#include "ownership/lost_owners.h"

#include <random>
#include <set>
#include <unordered_map>

namespace teaselcross {

/// Service times of one target that are kept until the next report to the controller; more add little to what
/// is known of its speed.
constexpr auto max_service_times = std::size_t{8};

/// Requests by key, and service times, since the last report to the controller.
struct traffic_sample {
    std::map<service_id, std::unordered_map<shard_key, std::uint32_t>> key_requests;
    /// Of targets of services with keys; at most max_service_times for each target.
    std::map<target_id, std::vector<service_time_sample>> service_times;
};

/// Why a request ends without a target's answer.
enum class refusal {
    no_config,      ///< No configuration is known yet.
    no_route,       ///< No route matches.
    no_target,      ///< No target of the service is available.
    no_owner,       ///< The key currently has no owner.
    overload,       ///< It could not be answered in time.
    cold,           ///< Its target is cold and already has its share of requests.
    quiet,          ///< Its target has asked for no requests for some time.
    out_of_time,    ///< The deadline passed before it was sent.
    target_failed,  ///< It was sent, and its outcome is unknown.
    answer_timeout, ///< It was sent, and no answer came before the deadline.
    stopping,       ///< The process stops and may end before the answer comes.
};
constexpr enum_table<refusal, 11> refusal_names{"no_config",     "no_route",       "no_target", "no_owner",
                                                "overload",      "cold",           "quiet",     "out_of_time",
                                                "target_failed", "answer_timeout", "stopping"};

namespace platform {
struct target_answer;
}

class request_router {
public:
    /// Buffers answers' bodies within @a answer_memory, which must outlive the requests in progress.
    request_router(const gateway_settings& settings, cluster_state& cluster, metrics& measured,
                   memory_budget& answer_memory, boost::asio::any_io_executor executor);

    /// Handles one request; to be passed to http_server as its handler.
    auto handle(responder& link, http_request request) -> boost::asio::awaitable<bool>;

    /// Returns the requests counted since the last call.
    auto take_sample() -> traffic_sample { return std::exchange(m_sample, {}); }

    /// Prepares for the end of the process: requests that have not been sent by @a since are refused if their
    /// time may last beyond @a give_up, when give_up_waiting() will be called.
    auto refuse_unfinishable(instant since, instant give_up) -> void;
    /// Ends the requests that wait for an answer of their target, before the process ends; their callers get
    /// a response that leaves open whether they have run. Nothing is sent to targets afterwards.
    auto give_up_waiting() -> void;

private:
    struct request_context;
    struct target_choice;
    struct send_outcome;
    struct route_outcome;
    enum class attempt_result;

    auto budget_options() const -> retry_budget_options;
    auto start_request(request_context& started, const http_request& request) -> std::optional<refusal>;
    auto route(request_context& current, http_request& request) -> boost::asio::awaitable<route_outcome>;
    auto choose(request_context& current) -> target_choice;
    auto choose_owner(request_context& current) -> target_choice;
    static auto transfer_wait_end(const request_context& current, const target_view* next, instant now)
        -> instant;
    auto choose_any(request_context& current) -> target_choice;
    auto check_send(request_context& current, target_view& view, instant now) -> std::optional<refusal>;
    auto attempt(request_context& current, const std::shared_ptr<known_target>& target,
                 const http_request& request, duration limit) -> boost::asio::awaitable<send_outcome>;
    auto exchange(request_context& current, const known_target& target, const http_request& request,
                  instant until) -> boost::asio::awaitable<send_outcome>;
    auto receive_answer_to(const request_context& current, open_answer& answer,
                           platform::target_answer& fields, instant until) const
        -> boost::asio::awaitable<bool>;
    static auto max_idle_at_most_once(const request_context& current, const target_id& target) -> duration;
    auto record_requests_of_target(const request_context& current, target_view& view,
                                   const send_outcome& outcome, instant now) -> void;
    auto classify_answer(const request_context& current, open_answer answer, platform::target_answer fields)
        -> send_outcome;
    auto may_finish(const request_context& current, instant now) const -> bool;
    auto may_retry(request_context& current, const send_outcome& last, instant now) -> bool;
    auto record_answer_size(const std::string& rule, std::size_t bytes) -> void;
    auto release_connection(const request_context& current, open_answer answer) -> void;
    auto send_answer(responder& link, request_context& current, open_answer answer)
        -> boost::asio::awaitable<bool>;
    auto refuse(responder& link, request_context& current, refusal reason) -> boost::asio::awaitable<bool>;

    const gateway_settings& m_settings;
    cluster_state& m_cluster;
    metrics& m_measured;
    memory_budget& m_answer_memory;
    boost::asio::any_io_executor m_executor;
    std::uint64_t m_own_hash; ///< Hash of the instance name; ranks targets when choosing a subset.
    connection_pool m_pool;
    route_splitter m_splitter;
    std::map<service_id, retry_budget> m_budgets;
    /// Mean answer size in bytes, exponentially smoothed, by rule.
    std::map<std::string, double> m_mean_answer_bytes;
    std::map<std::string, patience_window> m_patience; ///< By rule.
    std::map<service_id, lateness_estimate> m_lateness;
    lost_owners m_lost_owners;
    traffic_sample m_sample;
    std::set<request_context*> m_waiting;    ///< Requests that wait for an answer of their target.
    instant m_refuse_since = instant::max(); ///< From when on requests that may not finish are refused.
    instant m_give_up_at = instant::max();
    bool m_has_given_up = false;
    std::mt19937_64 m_random{std::random_device{}()};
};

} // namespace teaselcross
