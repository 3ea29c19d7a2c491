#pragma once

// Routes callers' requests to targets and returns the target's answer or a refusal.

#include "accounts/account_counts.h"
#include "delivery/retry_budget.h"
#include "gateway/cluster_state.h"
#include "gateway/load_sharing.h"
#include "gateway/shortage_control.h"
#include "http/server.h"
#include "metrics/metrics.h"
#include "routing/answer_lateness.h"
#include "routing/rule_history.h"

#include <functional>
#include <random>
#include <set>
#include <unordered_map>

namespace teaselcross {

/// Requests by key since the last report to the controller.
struct traffic_sample {
    std::map<service_id, std::unordered_map<shard_key, std::uint32_t>> key_requests;
};

/// Why a request ends without a target's answer.
enum class refusal {
    no_config,      ///< No configuration is known yet.
    no_route,       ///< No route matches.
    no_target,      ///< No target of the service is available.
    no_owner,       ///< The key currently has no owner.
    overload,       ///< It could not be answered in time.
    shortage,       ///< The service is short of capacity, and others go first.
    cold,           ///< Its target is cold and already has its share of requests.
    quiet,          ///< Its target has asked for no requests for some time.
    out_of_time,    ///< The deadline passed before it was sent.
    target_failed,  ///< It was sent, and its outcome is unknown.
    answer_timeout, ///< It was sent, and no answer came before the deadline.
    stopping,       ///< The process stops and may end before the answer comes.
    no_account,     ///< It carries no key of a client account.
    /// It is not known whether its key still holds, as the configuration has not been confirmed for long.
    accounts_unconfirmed,
    over_quota,    ///< Its account has used its quota.
    quota_unknown, ///< No units of its account's quota may be used, as the controller is out of reach.
    /// No route matches, but the configuration has not been confirmed in time: a later one may have a route.
    config_unconfirmed,
};
constexpr enum_table<refusal, 17> refusal_names{"no_config",
                                                "no_route",
                                                "no_target",
                                                "no_owner",
                                                "overload",
                                                "shortage",
                                                "cold",
                                                "quiet",
                                                "out_of_time",
                                                "target_failed",
                                                "answer_timeout",
                                                "stopping",
                                                "no_account",
                                                "accounts_unconfirmed",
                                                "over_quota",
                                                "quota_unknown",
                                                "config_unconfirmed"};

namespace platform {
struct target_answer;
}
class quota_client;

class request_router {
public:
    /// Buffers answers' bodies within @a answer_memory, which must outlive the requests in progress.
    request_router(const gateway_settings& settings, cluster_state& cluster, metrics& measured,
                   memory_budget& answer_memory, boost::asio::any_io_executor executor);

    /// Handles one request; to be passed to http_server as its handler.
    auto handle(responder& link, http_request request) -> boost::asio::awaitable<bool>;

    /// Sets the function that returns how long ago the configuration was last known to be the store's newest;
    /// duration::max() for never. Without a function, keys of client accounts count as never confirmed, and a
    /// route that is missing as missing in the newest configuration, too.
    auto set_config_age(std::function<duration()> config_age) -> void {
        m_config_age = std::move(config_age);
    }

    /// How many requests of each client account were refused and have not run.
    auto refused_by_account() const -> const account_counts& { return m_refused_by_account; }
    /// Limits the requests of accounts by @a quotas, which must outlive the requests in progress.
    auto set_quotas(quota_client& quotas) -> void { m_quotas = &quotas; }

    /// Returns the requests counted since the last call.
    auto take_sample() -> traffic_sample { return std::exchange(m_sample, {}); }

    /// Logs what changed of services' shortages. To be called every second or more often.
    auto log_shortages() -> void;
    auto shortage() const -> const shortage_control& { return m_shortage; }

    /// Passes load reports of targets on to @a sharing, which must outlive this object.
    auto set_load_sharing(load_sharing& sharing) -> void { m_sharing = &sharing; }

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
    auto drop_unknown_services(const route_table& table, instant now) -> void;
    auto start_request(request_context& started, const http_request& request) -> std::optional<refusal>;
    auto identify(request_context& started, const http_request& request) const -> std::optional<refusal>;
    auto route(request_context& current, http_request& request) -> boost::asio::awaitable<route_outcome>;
    auto take_unit(request_context& current) -> boost::asio::awaitable<std::optional<refusal>>;
    auto choose(request_context& current) -> target_choice;
    auto choose_owner(request_context& current) -> target_choice;
    auto choose_any(request_context& current) -> target_choice;
    auto check_send(request_context& current, target_view& view, instant now) -> std::optional<refusal>;
    auto record_shortage(const request_context& current, const route_outcome& outcome) -> void;
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
    auto release_connection(const request_context& current, open_answer answer) -> void;
    auto send_answer(responder& link, request_context& current, open_answer answer)
        -> boost::asio::awaitable<bool>;
    static auto account_name_of(const request_context& current) -> std::string_view;
    auto count_refusal(const request_context& current, unsigned status) -> void;
    auto refuse(responder& link, request_context& current, refusal reason) -> boost::asio::awaitable<bool>;

    const gateway_settings& m_settings;
    cluster_state& m_cluster;
    metrics& m_measured;
    memory_budget& m_answer_memory;
    boost::asio::any_io_executor m_executor;
    std::uint64_t m_own_hash; ///< Hash of the instance name; ranks targets when choosing a subset.
    connection_pool m_pool;
    std::map<service_id, retry_budget> m_budgets;
    rule_histories m_rule_histories;
    answer_lateness m_lateness;
    std::uint64_t m_services_version = 0; ///< Version of the configuration whose services have state.
    shortage_control m_shortage;
    traffic_sample m_sample;
    account_counts m_refused_by_account;
    std::function<duration()> m_config_age;
    quota_client* m_quotas = nullptr;        ///< Null: no account has a limit.
    std::set<request_context*> m_waiting;    ///< Requests that wait for an answer of their target.
    instant m_refuse_since = instant::max(); ///< From when on requests that may not finish are refused.
    instant m_give_up_at = instant::max();
    bool m_has_given_up = false;
    load_sharing* m_sharing = nullptr; ///< Null if reports are not shared.
    std::mt19937_64 m_random{std::random_device{}()};
};

} // namespace teaselcross
