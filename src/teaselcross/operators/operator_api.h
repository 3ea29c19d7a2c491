#pragma once

// The HTTP API for operators, served by every instance; documented in docs/operators/http-api.md.

#include "control/instance_context.h"
#include "http/server.h"
#include "operators/patch_flow.h"

namespace teaselcross {

/// Serves the operators' HTTP API of one instance. Use it on the control thread only.
class operator_api {
public:
    explicit operator_api(instance_context& node);

    /// Listens on the operators' port. Throws boost::system::system_error when the port is in use.
    auto start() -> void;
    auto stop() -> void { m_server.stop(); }
    auto busy() const -> std::size_t { return m_server.busy(); }

private:
    auto handle(const http_request& request) -> boost::asio::awaitable<http_response>;
    auto status() -> boost::asio::awaitable<nlohmann::json>;
    auto is_ready() const -> bool;
    auto explain(const std::string& service, const std::string& key) const -> nlohmann::json;
    auto handle_patch(const http_request& request) -> boost::asio::awaitable<http_response>;
    auto wait_until_in_force(std::uint64_t version, duration timeout)
        -> boost::asio::awaitable<std::vector<std::string>>;
    auto handle_local_order(const http_request& request) -> http_response;

    instance_context& m_node;
    store_caller m_store;
    http_server m_server;
};

} // namespace teaselcross
