#pragma once

// How the client of quotas reaches the controller, which may be the same instance.

#include "gateway/quota_client.h"

namespace teaselcross {

/// A query that is not answered soon is of no use to the requests that wait.
constexpr auto quota_timeout = duration{std::chrono::milliseconds{200}};

constexpr auto quota_pool_options = pool_options{.connect_timeout = quota_timeout,
                                                 .idle_limit = std::chrono::seconds{20},
                                                 .user_timeout = std::chrono::milliseconds{800},
                                                 .idle_per_peer = 1,
                                                 .reset_on_close = true};

/// Queries go to the lease holder, or to @a own_service while this instance is the controller. All must
/// outlive the result and its queries.
auto make_quota_controller(const gateway_controller& own_controller, quota_service& own_service,
                           connection_pool& pool) -> quota_controller;

} // namespace teaselcross
