#include "store_standin.h"

#include "query.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace teaselcross::lab {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto largest_object = std::uint32_t{1024 * 1024};
constexpr auto outage_poll = duration{std::chrono::milliseconds{100}};
constexpr auto outage_patience = 100; ///< Polls after which an unanswered call is dropped.

auto is_write(const http_request& request) -> bool {
    return request.method() == http::verb::put || request.method() == http::verb::delete_;
}

auto unquoted(std::string text) -> std::string {
    std::erase(text, '"');
    return text;
}

} // namespace

store_standin::store_standin(asio::io_context& context, const std::string& host, std::uint16_t port)
    : m_context{context}, m_server{context.get_executor(),
                                   {.host = host, .port = port, .body_limit = largest_object + 1},
                                   [this](responder& from, http_request request) {
                                       return handle(from, std::move(request));
                                   }} {}

auto store_standin::count(const std::string& kind) -> void {
    ++m_counts[kind];
}

auto store_standin::pause(duration period) -> asio::awaitable<void> {
    auto timer = asio::steady_timer{m_context, period};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto store_standin::handle(responder& from, http_request request) -> asio::awaitable<bool> {
    if (auto answer = administer(request)) {
        co_return co_await write_answer(from, std::move(*answer));
    }
    for (auto polls = 0; m_faults.outage; ++polls) {
        if (polls == outage_patience) {
            co_return false;
        }
        co_await pause(outage_poll);
    }
    if (m_faults.delay_ms > 0) {
        co_await pause(std::chrono::milliseconds{m_faults.delay_ms});
    }
    const auto path = std::string{request.target()};
    auto answer = http_response{};
    if (path == "/instances") {
        count("instances");
        answer = json_answer(request, http::status::ok, "{\"instances\": " + m_instances.dump() + "}");
    } else if (path.starts_with("/objects?")) {
        answer = co_await list(request);
    } else if (path.starts_with("/objects/")) {
        const auto key = path.substr(std::string{"/objects/"}.size());
        answer = is_write(request) ? write(request, key) : read(request, key);
    } else {
        answer = json_answer(request, http::status::not_found, "{}");
    }
    if (is_write(request) && answer.result() == http::status::ok && m_faults.lose_replies > 0) {
        --m_faults.lose_replies;
        co_return false;
    }
    co_return co_await write_answer(from, std::move(answer));
}

auto store_standin::administer(const http_request& request) -> std::optional<http_response> {
    const auto path = std::string{request.target()};
    if (path == "/lab/counts") {
        return json_answer(request, http::status::ok, nlohmann::json(m_counts).dump() + "\n");
    }
    if (path == "/lab/instances") {
        m_instances = nlohmann::json::parse(request.body());
        return json_answer(request, http::status::ok, "{}\n");
    }
    if (path == "/lab/faults") {
        const auto wanted = nlohmann::json::parse(request.body());
        m_faults.outage = wanted.value("outage", m_faults.outage);
        m_faults.delay_ms = wanted.value("delay_ms", m_faults.delay_ms);
        m_faults.lose_replies = wanted.value("lose_replies", m_faults.lose_replies);
        return json_answer(request, http::status::ok, "{}\n");
    }
    return std::nullopt;
}

auto store_standin::read(const http_request& request, const std::string& key) -> http_response {
    count("get");
    const auto found = m_objects.find(key);
    if (found == m_objects.end() || found->second.removed) {
        return json_answer(request, http::status::not_found, "{}");
    }
    auto answer = json_answer(request, http::status::ok, found->second.value);
    answer.set(http::field::etag, "\"" + std::to_string(found->second.version) + "\"");
    return answer;
}

auto store_standin::write(const http_request& request, const std::string& key) -> http_response {
    count(request.method() == http::verb::put ? "put" : "delete");
    const auto found = m_objects.find(key);
    const auto exists = found != m_objects.end() && !found->second.removed;
    const auto must_be_new = request[http::field::if_none_match] == "*";
    const auto condition = unquoted(std::string{request[http::field::if_match]});
    const auto matches = exists && condition == std::to_string(found->second.version);
    if ((must_be_new && exists) || (!condition.empty() && !matches)) {
        return json_answer(request, http::status::precondition_failed, "{}");
    }
    auto& written = m_objects[key];
    written = {
        .version = ++m_revision, .value = request.body(), .removed = request.method() == http::verb::delete_};
    for (auto& [prefix, timer] : m_watches) {
        if (key.starts_with(prefix)) {
            timer.cancel();
        }
    }
    auto answer = json_answer(request, http::status::ok, "{}");
    answer.set(http::field::etag, "\"" + std::to_string(written.version) + "\"");
    return answer;
}

auto store_standin::list(const http_request& request) -> asio::awaitable<http_response> {
    const auto query = parse_query(std::string{request.target()});
    const auto prefix = query.text("prefix");
    const auto after = query.number("after");
    if (!after) {
        count("list");
        co_return json_answer(request, http::status::ok, list_after(prefix, 0).dump());
    }
    count("watch");
    auto changes = list_after(prefix, *after);
    if (changes.at("objects").empty()) {
        const auto wait = std::chrono::milliseconds{query.number("wait_ms").value_or(0)};
        const auto place = m_watches.emplace(m_watches.end(), prefix, asio::steady_timer{m_context, wait});
        co_await place->second.async_wait(asio::as_tuple(asio::use_awaitable));
        m_watches.erase(place);
        changes = list_after(prefix, *after);
    }
    co_return json_answer(request, http::status::ok, changes.dump());
}

auto store_standin::list_after(const std::string& prefix, std::uint64_t after) const -> nlohmann::json {
    auto objects = nlohmann::json::array();
    for (auto each = m_objects.lower_bound(prefix); each != m_objects.end(); ++each) {
        if (!each->first.starts_with(prefix)) {
            break;
        }
        if (each->second.version > after) {
            objects.push_back({{"key", each->first},
                               {"version", each->second.version},
                               {"value", each->second.value},
                               {"removed", each->second.removed}});
        }
    }
    return {{"revision", m_revision}, {"objects", objects}};
}

} // namespace teaselcross::lab
