#pragma once

// One request on its way through the router, shared by the router's own sources.

#include "gateway/request_router.h"
#include "platform/messages.h"

namespace teaselcross {

/// Failures in a row after which the owner of a key is taken to be unreachable for a moment.
constexpr auto owner_failure_threshold = 2U;
/// The shortest time after which a refused caller is asked to come back: about one send's time.
constexpr auto min_retry_after = duration{std::chrono::milliseconds{40}};

/// How a send to a target ended.
enum class request_router::attempt_result {
    answered,    ///< The target's answer is there and may go to the caller.
    failed,      ///< The target's answer is there and says that it failed.
    not_sent,    ///< Nothing reached the target.
    shed,        ///< The target did not run it.
    misdirected, ///< Another target has the address, or it does not hold the key.
    lost,        ///< Sent; the answer is missing, cut or spoilt.
    timed_out,   ///< Sent; no answer came within the limit.
    withdrawn,   ///< The caller left.
};

/// One request on its way.
struct request_router::request_context {
    std::shared_ptr<const route_table> table; ///< Keeps the rule alive across a change of the configuration.
    const route_rule* rule = nullptr;
    platform::caller_request caller;
    service_id service;
    service_policy policy;
    instant arrived{};
    instant deadline{};  ///< The caller leaves, or the route's time is up.
    instant objective{}; ///< An answer is worth most until then.
    std::uint32_t sends = 0;
    bool may_have_run = false;
    std::vector<target_id> tried;
    open_answer answer;
    platform::target_answer target_answer_fields;
    bool has_answer = false;
    open_answer* active_exchange = nullptr; ///< The exchange in progress, to be cut when the caller leaves.
    bool caller_left = false;
    duration retry_after{};
    target_id last_target;
    std::optional<std::uint64_t> stale_revision; ///< Of the key map that led to a target without the key.
    bool is_head_request = false;
    target_id owner;                 ///< Of its key, as last known.
    std::uint64_t keys_revision = 0; ///< Of the key map that said so.
    bool was_refused_before = false; ///< The caller was refused before.
};

} // namespace teaselcross
