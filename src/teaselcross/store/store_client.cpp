#include "store/store_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <charconv>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto call_timeout = duration{std::chrono::seconds{2}};

auto request_target(const store_call& call) -> std::string {
    switch (call.kind) {
    case store_call_kind::list:
        return "/objects?prefix=" + call.key;
    case store_call_kind::watch: {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(call.wait).count();
        return "/objects?prefix=" + call.key + "&after=" + std::to_string(call.after.number) +
               "&wait_ms=" + std::to_string(wait);
    }
    case store_call_kind::instances:
        return "/instances";
    default:
        return "/objects/" + call.key;
    }
}

auto make_request(const store_call& call, const std::string& host) -> http_request {
    auto verb = http::verb::get;
    if (call.kind == store_call_kind::remove) {
        verb = http::verb::delete_;
    } else if (is_write(call.kind)) {
        verb = http::verb::put;
    }
    auto request = http_request{verb, request_target(call), 11};
    request.set(http::field::host, host);
    if (call.kind == store_call_kind::create) {
        request.set(http::field::if_none_match, "*");
    } else if (call.kind == store_call_kind::update) {
        request.set(http::field::if_match, "\"" + std::to_string(call.expected_version.number) + "\"");
    }
    request.body() = call.value;
    request.prepare_payload();
    return request;
}

auto parse_etag_version(const http_response& response) -> std::uint64_t {
    auto etag = std::string{response[http::field::etag]};
    std::erase(etag, '"');
    auto version = std::uint64_t{0};
    std::from_chars(etag.data(), etag.data() + etag.size(), version);
    return version;
}

auto read_list(const std::string& body, store_reply& reply) -> void {
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("objects")) {
        reply.status = store_status::unavailable;
        return;
    }
    reply.version.number = document.value("revision", std::uint64_t{0});
    for (const auto& entry : document.at("objects")) {
        reply.objects.push_back({.key = entry.at("key").get<std::string>(),
                                 .version = {.number = entry.at("version").get<std::uint64_t>()},
                                 .value = entry.value("value", std::string{}),
                                 .removed = entry.value("removed", false)});
    }
}

auto status_from_code(const store_call& call, unsigned code) -> store_status {
    constexpr auto precondition_failed = 412U;
    constexpr auto not_found = 404U;
    constexpr auto first_failure = 300U;
    if (code < first_failure) {
        return store_status::ok;
    }
    if (code == not_found) {
        return store_status::missing;
    }
    if (code == precondition_failed) {
        return store_status::conflict;
    }
    return is_write(call.kind) && code >= 500 ? store_status::unknown : store_status::unavailable;
}

auto read_reply(const store_call& call, const http_response& response, store_reply& reply) -> void {
    reply.status = status_from_code(call, response.result_int());
    if (reply.status != store_status::ok) {
        return;
    }
    switch (call.kind) {
    case store_call_kind::list:
    case store_call_kind::watch:
        read_list(response.body(), reply);
        break;
    case store_call_kind::get:
        reply.version.number = parse_etag_version(response);
        reply.objects.push_back(
            {.key = call.key, .version = reply.version, .value = response.body(), .removed = false});
        break;
    case store_call_kind::instances:
        reply.body = response.body();
        break;
    default:
        reply.version.number = parse_etag_version(response);
        break;
    }
}

constexpr auto http_protocol = store_protocol{.make_request = make_request, .read_reply = read_reply};

} // namespace

store_client::store_client(executor_thread& own_thread, endpoint store)
    : m_thread{own_thread}, m_store{std::move(store)}, m_pool{own_thread.context().get_executor(),
                                                              {.user_timeout = call_timeout,
                                                               .idle_per_peer = 8}} {}

auto store_client::call(store_call call, executor_thread& reply_to,
                        std::function<void(const store_reply&)> handler) -> bool {
    return m_thread.try_post(
        [this, call = std::move(call), &reply_to, handler = std::move(handler)]() mutable {
            asio::co_spawn(
                m_thread.context(),
                [](store_client& self, store_call started_call, executor_thread& reply_thread,
                   std::function<void(const store_reply&)> reply_handler) -> asio::awaitable<void> {
                    auto reply = co_await perform_store_call(self.m_pool, self.m_store, http_protocol,
                                                             std::move(started_call), call_timeout);
                    reply_thread.post([reply_handler = std::move(reply_handler), reply = std::move(reply)] {
                        reply_handler(reply);
                    });
                }(*this, std::move(call), reply_to, std::move(handler)),
                asio::detached);
        });
}

} // namespace teaselcross
