#pragma once

// The router of an instance among scripted targets, with a client.

#include "gateway/request_router.h"

#include "platform/names.h"
#include "runtime/clock.h"
#include "support/http_client.h"
#include "support/scripted_target.h"

#include <gtest/gtest.h>

namespace teaselcross {

/// A router behind a server on a loopback port, with one service "s" and a client. Its rules are "safe" and
/// "once". Not thread safe; a test derives from it.
class router_world {
protected:
    explicit router_world(std::uint32_t max_attempts = 2,
                          std::size_t answer_memory = std::size_t{32} * 1024 * 1024)
        : m_answer_memory{answer_memory} {
        auto table = route_table{.version = 1};
        const auto service = std::vector<weighted_service>{{.service = service_id{"s"}}};
        const auto rule = [&](const std::string& name, request_kind kind, std::uint32_t attempts) {
            return route_rule{.name = name,
                              .path_prefix = "/" + name + "/",
                              .kind = kind,
                              .timeout = std::chrono::seconds{2},
                              .objective = std::chrono::seconds{1},
                              .max_attempts = attempts,
                              .services = service};
        };
        table.rules_by_host["a"] = {rule("safe", request_kind::idempotent, max_attempts),
                                    rule("once", request_kind::at_most_once, max_attempts)};
        table.services[service_id{"s"}] = {};
        m_cluster.set_routes(std::move(table));
    }

    /// Puts the services' keys under an owner.
    auto make_keyed(const std::string& owner, std::uint64_t revision = 1) -> void {
        auto table = *m_cluster.routes();
        table.version = 2;
        table.services[service_id{"s"}].keyed = true;
        m_cluster.set_routes(std::move(table));
        auto map = key_map{.revision = {.number = revision}};
        map.ranges.push_back({.fence = 1, .holder = {.id = target_id{owner}, .start_time_ms = 1}});
        m_cluster.set_keys(service_id{"s"}, std::move(map));
    }

    auto list(const std::string& name, const scripted_target& target, std::uint64_t revision = 1,
              std::uint64_t start_time_ms = 1) -> void {
        m_cluster.put_target({.id = target_id{name},
                              .service = service_id{"s"},
                              .host = "127.0.0.1",
                              .port = target.port(),
                              .slots = 4,
                              .start_time_ms = start_time_ms},
                             {.number = revision}, monotonic_now());
    }

    /// Sends one request on @a client and returns the response to it.
    auto ask(http_client& client, const std::string& rule, const std::string& id,
             const std::string& fields = {}) -> http_response {
        const auto before = client.responses().size();
        client.send("GET /" + rule + "/ HTTP/1.1\r\nHost: a\r\n" + platform::names::attempt_id + ": " + id +
                    "\r\n" + platform::names::time_left_ms + ": 2000\r\n" + fields + "\r\n");
        EXPECT_TRUE(run_until(m_context, [&] { return client.responses().size() > before; }));
        return client.responses().size() > before ? client.responses().back() : http_response{};
    }
    auto ask(const std::string& rule, const std::string& id, const std::string& fields = {})
        -> http_response {
        return ask(m_client, rule, id, fields);
    }

    static auto key(int number) -> std::string {
        return std::string{platform::names::shard_key} + ": " + std::to_string(number) + "\r\n";
    }

    memory_budget m_answer_memory;
    boost::asio::io_context m_context{1};
    gateway_settings m_settings{.instance = "i", .data_centre = data_centre_id{"west"}};
    metrics m_measured;
    cluster_state m_cluster{m_settings, m_context.get_executor()};
    request_router m_router{m_settings, m_cluster, m_measured, m_answer_memory, m_context.get_executor()};
    http_server m_server{m_context.get_executor(), {.host = "127.0.0.1"}, [this](auto& to, auto request) {
                             return m_router.handle(to, std::move(request));
                         }};
    http_client m_client{m_context, (m_server.start(), m_server.port())};
};

} // namespace teaselcross
