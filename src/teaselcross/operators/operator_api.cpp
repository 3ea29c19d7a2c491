#include "operators/operator_api.h"

#include "control/membership_loop.h"
#include "control/sync_loop.h"
#include "logging/log.h"
#include "operators/patch_flow.h"
#include "operators/status_report.h"
#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);
constexpr auto in_force_timeout = duration{std::chrono::seconds{10}};
constexpr auto order_timeout = duration{std::chrono::milliseconds{800}};

auto findings_json(const findings& found) -> nlohmann::json {
    auto list = nlohmann::json::array();
    for (const auto& each : found) {
        list.push_back({{"place", each.place}, {"message", each.message}, {"line", each.line}});
    }
    return list;
}

auto text_response(const http_request& request, const char* type, std::string body) -> http_response {
    auto answer = json_answer(request, http::status::ok, body);
    answer.set(http::field::content_type, type);
    return answer;
}

auto error_json(const std::string& text) -> std::string {
    return nlohmann::json{{"error", text}}.dump() + "\n";
}

/// Splits a path into its segments, without the query.
auto split_path(std::string path) -> std::vector<std::string> {
    path.resize(std::min(path.size(), path.find('?')));
    auto parts = std::vector<std::string>{};
    auto begin = std::size_t{1};
    while (begin < path.size()) {
        const auto end = std::min(path.size(), path.find('/', begin));
        parts.push_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

auto parse_patch(const nlohmann::json& document) -> tl::expected<patch, findings> {
    auto found = findings{};
    const auto require = [&](const char* name, bool valid) {
        if (!valid) {
            found.push_back(
                {.place = std::string{"/"} + name, .message = "The field is missing or has the wrong type."});
        }
    };
    if (!document.is_object()) {
        return tl::unexpected(findings{{.place = "", .message = "A patch must be a JSON object."}});
    }
    require("id", document.contains("id") && document.at("id").is_string());
    require("base", document.contains("base") && document.at("base").is_number_unsigned());
    require("changes", document.contains("changes") && document.at("changes").is_object());
    require("who", document.contains("who") && document.at("who").is_string());
    if (!found.empty()) {
        return tl::unexpected(found);
    }
    return patch{.id = document.at("id").get<std::string>(),
                 .base = document.at("base").get<std::uint64_t>(),
                 .who = document.at("who").get<std::string>(),
                 .why = document.value("why", std::string{}),
                 .when = wall_now(),
                 .changes = document.at("changes")};
}

} // namespace

operator_api::operator_api(instance_context& node)
    : m_node{node}, m_store{[this](store_call call) {
          return await_store(m_node.store, m_node.control_thread, std::move(call));
      }},
      m_server{node.control_thread.context().get_executor(),
               {.host = node.options.host,
                .port = node.options.ports.operators,
                .header_limit = node.options.header_limit,
                .body_limit = 4 * 1024 * 1024},
               [this](responder& connection, http_request request) -> asio::awaitable<bool> {
                   co_return co_await write_answer(connection, co_await handle(request));
               }} {}

auto operator_api::start() -> void {
    m_server.start();
}

auto operator_api::is_ready() const -> bool {
    return m_node.mirror.description() && !m_node.stopping;
}

auto operator_api::handle(const http_request& request) -> asio::awaitable<http_response> {
    const auto parts = split_path(std::string{request.target()});
    const auto matches = [&](http::verb verb, const char* name) {
        return request.method() == verb && (parts.empty() ? std::string{} : parts.front()) == name;
    };
    if (matches(http::verb::get, "livez")) {
        co_return text_response(request, "text/plain", "ok\n");
    }
    if (matches(http::verb::get, "readyz")) {
        auto answer = text_response(request, "text/plain", is_ready() ? "ready\n" : "not ready\n");
        answer.result(is_ready() ? http::status::ok : http::status::service_unavailable);
        co_return answer;
    }
    if (matches(http::verb::get, "metrics")) {
        co_return text_response(request, "text/plain; version=0.0.4", m_node.metrics_registry.to_text());
    }
    if (matches(http::verb::get, "status")) {
        co_return json_answer(request, http::status::ok, (co_await status()).dump(2) + "\n");
    }
    if (matches(http::verb::get, "status.txt")) {
        co_return text_response(request, "text/plain", status_text(co_await status()));
    }
    if (matches(http::verb::get, "")) {
        co_return text_response(request, "text/html; charset=utf-8", status_page(co_await status()));
    }
    if (matches(http::verb::get, "config")) {
        const auto& config = m_node.mirror.config();
        const auto body = nlohmann::json{{"version", config ? config->version : 0},
                                         {"document", config ? config->document : nlohmann::json::object()}};
        co_return json_answer(request, http::status::ok, body.dump(2) + "\n");
    }
    if (matches(http::verb::get, "history")) {
        const auto entries = co_await read_history(m_store);
        if (!entries) {
            co_return json_answer(request, http::status::service_unavailable,
                                  error_json("The platform's store does not respond."));
        }
        co_return json_answer(request, http::status::ok, nlohmann::json(*entries).dump(2) + "\n");
    }
    if (matches(http::verb::get, "explain") && parts.size() == 3) {
        co_return json_answer(request, http::status::ok, explain(parts[1], parts[2]).dump(2) + "\n");
    }
    if (matches(http::verb::post, "patch")) {
        co_return co_await handle_patch(request);
    }
    if (matches(http::verb::post, "local-order")) {
        co_return handle_local_order(request);
    }
    co_return json_answer(request, http::status::not_found, error_json("Not found."));
}

auto operator_api::status() -> asio::awaitable<nlohmann::json> {
    auto collected = std::make_shared<collected_status>();
    auto timer = std::make_shared<asio::steady_timer>(m_node.control_thread.context(),
                                                      asio::steady_timer::time_point::max());
    auto finished = std::make_shared<bool>(false);
    collect_status(m_node, [collected, timer, finished](collected_status result) {
        *collected = std::move(result);
        *finished = true;
        timer->cancel();
    });
    if (!*finished) {
        co_await timer->async_wait(as_tuple_awaitable);
    }
    co_return status_json(m_node, *collected);
}

auto operator_api::explain(const std::string& service, const std::string& key) const -> nlohmann::json {
    const auto routes = make_routing(m_node);
    if (!routes) {
        return {{"why", "This instance has no configuration yet."}};
    }
    const auto found = routes->config->services.find(service_id{service});
    if (found == routes->config->services.end()) {
        return {{"why", "There is no service '" + service + "'."}};
    }
    if (!found->second.is_keyed()) {
        return {{"why", "The service is not keyed: each request goes to the better of two targets."}};
    }
    const auto route = route_key(*routes, service_id{service}, key);
    if (!route) {
        return {{"why", "This instance does not know the assignment of the key's shard."}};
    }
    auto answer = nlohmann::json{{"service", service},
                                 {"key", key},
                                 {"shard", number(route->shard)},
                                 {"state", name_in(shard_state_names, route->state)},
                                 {"owner", route->target.value()},
                                 {"fence", route->fence}};
    const auto delegated = routes->delegations.find(route->target);
    if (delegated != routes->delegations.end()) {
        const auto& keeper = delegated->second.keeper;
        answer["keeper"] = keeper.value();
        answer["epoch"] = delegated->second.epoch;
        answer["keeper_live"] = m_node.membership->is_live(keeper);
    }
    answer["why"] = route->state == shard_state::owned
                        ? "The partition record names the owner; the owner's keeper renews the grant."
                        : "The shard is being moved: it gets a new owner after the old one has released it.";
    return answer;
}

auto operator_api::wait_until_in_force(std::uint64_t version, duration timeout)
    -> asio::awaitable<std::vector<std::string>> {
    const auto deadline = monotonic_now() + timeout;
    auto behind = std::vector<std::string>{};
    while (true) {
        behind.clear();
        const auto& detector = m_node.membership->state();
        if (detector.self.config_version < version) {
            behind.push_back(detector.self.id.value());
        }
        for (const auto& [id, record] : detector.members) {
            if (record.state <= member_state::suspect && record.config_version < version) {
                behind.push_back(id.value());
            }
        }
        if (behind.empty() || monotonic_now() >= deadline) {
            co_return behind;
        }
        auto poll_timer = asio::steady_timer{m_node.control_thread.context(), std::chrono::milliseconds{20}};
        co_await poll_timer.async_wait(as_tuple_awaitable);
    }
}

auto operator_api::handle_patch(const http_request& request) -> asio::awaitable<http_response> {
    const auto document = parse_json(request.body());
    auto submitted = document ? parse_patch(*document) : tl::unexpected(document.error());
    if (!submitted) {
        co_return json_answer(request, http::status::bad_request,
                              nlohmann::json{{"error", "The patch is malformed."},
                                             {"findings", findings_json(submitted.error())}}
                                      .dump() +
                                  "\n");
    }
    const auto result = co_await submit_patch(m_store, *submitted);
    auto version = std::uint64_t{0};
    auto body = nlohmann::json::object();
    if (result) {
        version = *result;
    } else if (const auto* const conflict = std::get_if<version_conflict>(&result.error())) {
        body = {{"error", "The patch is for version " + std::to_string(submitted->base) + ", but version " +
                              std::to_string(conflict->current) + " is in force."},
                {"version", conflict->current}};
        co_return json_answer(request, http::status::conflict, body.dump() + "\n");
    } else if (const auto* const invalid = std::get_if<findings>(&result.error())) {
        body = {{"error", "The patched description is invalid; nothing was changed."},
                {"findings", findings_json(*invalid)}};
        co_return json_answer(request, http::status::unprocessable_entity, body.dump() + "\n");
    } else if (std::holds_alternative<patch_outcome_unknown>(result.error())) {
        body = {{"error",
                 "The platform's store does not respond. Retry the patch with the same ID; it is applied at "
                 "most once."}};
        co_return json_answer(request, http::status::service_unavailable, body.dump() + "\n");
    } else {
        version = std::get<already_applied>(result.error()).version;
        body["already_applied"] = true;
    }
    body["version"] = version;
    if (document->value("wait", false)) {
        const auto behind = co_await wait_until_in_force(version, in_force_timeout);
        body["in_force"] = behind.empty();
        body["behind"] = behind;
    }
    co_return json_answer(request, http::status::ok, body.dump() + "\n");
}

auto operator_api::handle_local_order(const http_request& request) -> http_response {
    const auto document = parse_json(request.body());
    const auto valid = document && document->is_object() && document->contains("id") &&
                       document->contains("who") &&
                       (document->contains("data_centre_out") || document->contains("target_draining"));
    if (!valid) {
        return json_answer(request, http::status::bad_request,
                           error_json("An order requires id, who, and data_centre_out or target_draining."));
    }
    auto order = wire::LocalOrder{};
    order.set_id(document->value("id", std::string{}));
    order.set_who(document->value("who", std::string{}));
    order.set_why(document->value("why", std::string{}));
    order.set_when_ms(wall_now().count());
    order.set_data_centre_out(document->value("data_centre_out", std::string{}));
    order.set_target_draining(document->value("target_draining", std::string{}));
    apply_local_order(m_node, order);
    const auto& detector = m_node.membership->state();
    for (const auto& [id, record] : detector.members) {
        if (record.state <= member_state::suspect && record.data_centre == detector.self.data_centre) {
            m_node.peers.call<wire::LocalOrder, wire::LocalOrderReply>(
                record.address, &wire::Peer::StubInterface::async_interface::Order, order, order_timeout,
                [id = id](const grpc::Status& status, const wire::LocalOrderReply&) {
                    if (!status.ok()) {
                        log::warning("local_order_not_passed_on", {{"to", id}});
                    }
                });
        }
    }
    const auto body =
        nlohmann::json{{"local", true},
                       {"note", "The order applies in data centre " + detector.self.data_centre.value() +
                                    " only, and until its instances are replaced. Submit it as a patch once "
                                    "the store is available again."}};
    return json_answer(request, http::status::ok, body.dump() + "\n");
}

} // namespace teaselcross
