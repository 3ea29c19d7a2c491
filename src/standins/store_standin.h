#pragma once

// A small stand-in for the platform's object store and its list of instances, as docs/store-protocol.md
// describes them, with faults that one request switches on.

#include "http/server.h"

#include <nlohmann/json.hpp>

#include <list>
#include <map>

namespace teaselcross::lab {

struct store_faults {
    bool outage = false;            ///< Calls are left unanswered until it ends, then dropped.
    std::uint32_t delay_ms = 0;     ///< Before each reply.
    std::uint32_t lose_replies = 0; ///< So many writes take effect, but their replies are lost.
};

class store_standin {
public:
    store_standin(boost::asio::io_context& context, const std::string& host, std::uint16_t port);

    auto start() -> void { m_server.start(); }

private:
    struct object {
        std::uint64_t version = 0;
        std::string value;
        bool removed = false;
    };

    auto handle(responder& from, http_request request) -> boost::asio::awaitable<bool>;
    auto administer(const http_request& request) -> std::optional<http_response>;
    auto read(const http_request& request, const std::string& key) -> http_response;
    auto write(const http_request& request, const std::string& key) -> http_response;
    auto list(const http_request& request) -> boost::asio::awaitable<http_response>;
    auto list_after(const std::string& prefix, std::uint64_t after) const -> nlohmann::json;
    auto count(const std::string& kind) -> void;
    auto pause(duration period) -> boost::asio::awaitable<void>;

    boost::asio::io_context& m_context;
    http_server m_server;
    std::map<std::string, object> m_objects;
    std::uint64_t m_revision = 0;
    std::list<std::pair<std::string, boost::asio::steady_timer>> m_watches;
    std::map<std::string, std::uint64_t> m_counts;
    nlohmann::json m_instances = nlohmann::json::array();
    store_faults m_faults;
};

} // namespace teaselcross::lab
