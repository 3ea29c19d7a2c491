#pragma once

// Requests between instances on the internal port, other than those that copy the store's objects.

#include "core/identifier.h"
#include "http/exchange.h"

namespace teaselcross {

constexpr auto peer_timeout = duration{std::chrono::milliseconds{400}};
constexpr auto max_peer_body_bytes = std::size_t{256} * 1024;

/// Builds a POST request to a peer. Thread safe.
auto make_peer_request(const std::string& path, const endpoint& to, std::string body) -> http_request;

/// The name of the instance whose process, named NAME#START, is @a process. Thread safe.
auto instance_of(const instance_id& process) -> std::string;

} // namespace teaselcross
