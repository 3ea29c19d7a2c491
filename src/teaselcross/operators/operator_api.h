#pragma once

// What operators ask of an instance over HTTP; docs/operators/http-api.md lists it.

#include "control/instance_context.h"
#include "http/server.h"
#include "operators/patch_flow.h"

namespace teaselcross {

/// Lives on the control thread.
class operator_api {
public:
    explicit operator_api(instance_context& node);

    /// Binds the operators' port. Throws boost::system::system_error when it is taken.
    auto start() -> void;
    auto stop() -> void { m_server.stop(); }
    auto busy() const -> std::size_t { return m_server.busy(); }

private:
    auto handle(const http_request& request) -> boost::asio::awaitable<http_response>;
    auto status() -> boost::asio::awaitable<nlohmann::json>;
    auto ready() const -> bool;
    auto explain(const std::string& service, const std::string& key) const -> nlohmann::json;
    auto patch_answer(const http_request& request) -> boost::asio::awaitable<http_response>;
    auto wait_in_force(std::uint64_t version, duration patience)
        -> boost::asio::awaitable<std::vector<std::string>>;
    auto order_answer(const http_request& request) -> http_response;

    instance_context& m_node;
    store_caller m_store;
    http_server m_server;
};

} // namespace teaselcross
