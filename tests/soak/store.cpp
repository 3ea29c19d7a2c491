#include "store.h"

#include "platform/names.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>
#include <sstream>

namespace teaselcross::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using json = nlohmann::json;

namespace {

constexpr auto page_size = std::size_t{50};
constexpr auto most_history = std::size_t{4000};
constexpr auto watch_poll = duration{std::chrono::milliseconds{5}};
constexpr auto answer_time = duration{std::chrono::milliseconds{2}};

auto to_number(std::string_view text) -> std::uint64_t {
    auto number = std::uint64_t{0};
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

/// A call's path and query.
struct store::call {
    std::string kind;
    std::string name;
    std::map<std::string, std::string> query;

    explicit call(const std::string& target) {
        const auto rest = target.substr(std::string{platform::names::objects_path}.size());
        const auto question = std::min(rest.find('?'), rest.size());
        const auto path = rest.substr(0, question);
        const auto slash = std::min(path.find('/'), path.size());
        kind = path.substr(0, slash);
        name = slash < path.size() ? path.substr(slash + 1) : std::string{};
        auto pairs = std::istringstream{question < rest.size() ? rest.substr(question + 1) : std::string{}};
        for (auto pair = std::string{}; std::getline(pairs, pair, '&');) {
            const auto equals = std::min(pair.find('='), pair.size());
            query[pair.substr(0, equals)] = equals < pair.size() ? pair.substr(equals + 1) : std::string{};
        }
    }
};

store::store(asio::io_context& context, endpoint address, std::uint64_t seed)
    : m_context{context}, m_server{context.get_executor(),
                                   {.host = address.host, .port = address.port},
                                   [this](responder& from, http_request request) {
                                       return handle(from, std::move(request));
                                   }},
      m_random{seed} {}

auto store::pause(duration period) -> asio::awaitable<void> {
    auto timer = asio::steady_timer{m_context, period};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto store::note(const std::string& kind, const json& object, bool deleted) -> void {
    m_history.push_back({.revision = m_revision, .kind = kind, .object = object, .deleted = deleted});
    if (m_history.size() > most_history) {
        m_forgotten = m_history.front().revision;
        m_history.pop_front();
    }
}

auto store::compact() -> void {
    m_forgotten = m_revision;
    m_history.clear();
}

auto store::put(const std::string& kind, const std::string& name, json spec) -> void {
    auto& object = m_objects[kind][name];
    if (!object.is_null() && object.at("spec") == spec) {
        return;
    }
    object = {{"metadata", {{"name", name}, {"revision", ++m_revision}}}, {"spec", std::move(spec)}};
    note(kind, object, false);
}

auto store::remove(const std::string& kind, const std::string& name) -> void {
    const auto found = m_objects[kind].find(name);
    if (found != m_objects[kind].end()) {
        ++m_revision;
        note(kind, found->second, true);
        m_objects[kind].erase(found);
    }
}

auto store::handle(responder& from, http_request request) -> asio::awaitable<bool> {
    const auto mode = m_faults.mode;
    while (m_faults.mode == store_mode::silent && mode == store_mode::silent) {
        co_await pause(watch_poll * 10);
    }
    if (mode == store_mode::silent) {
        co_return false; // A call that was met with silence is never answered.
    }
    co_await pause(answer_time + m_faults.delay);
    if (m_faults.mode == store_mode::refusing) {
        co_return co_await write_answer(from, json_answer(request, http::status::service_unavailable, "{}"));
    }
    const auto asked = call{std::string{request.target()}};
    if (request.method() != http::verb::get) {
        auto answer = write(request, asked);
        if (std::uniform_real_distribution<double>{}(m_random) < m_faults.lost_answers) {
            co_return false;
        }
        co_return co_await write_answer(from, std::move(answer));
    }
    if (asked.query.contains("watch")) {
        auto answer = co_await watch(request, asked);
        co_return m_faults.mode == store_mode::up&& co_await write_answer(from, std::move(answer));
    }
    auto answer = asked.name.empty() ? list(request, asked) : read(request, asked);
    co_return co_await write_answer(from, std::move(answer));
}

auto store::read(const http_request& request, const call& asked) -> http_response {
    const auto& objects = m_objects[asked.kind];
    const auto found = objects.find(asked.name);
    return found == objects.end() ? json_answer(request, http::status::not_found, "{}")
                                  : json_answer(request, http::status::ok, found->second.dump());
}

auto store::list(const http_request& request, const call& asked) -> http_response {
    const auto after = asked.query.find("after");
    const auto& objects = m_objects[asked.kind];
    auto each = after == asked.query.end() ? objects.begin() : objects.upper_bound(after->second);
    auto items = json::array();
    for (; each != objects.end() && items.size() < page_size; ++each) {
        items.push_back(each->second);
    }
    const auto body =
        json{{"items", std::move(items)}, {"has-more", each != objects.end()}, {"at", m_revision}};
    return json_answer(request, http::status::ok, body.dump());
}

auto store::watch(const http_request& request, const call& asked) -> asio::awaitable<http_response> {
    const auto from = to_number(asked.query.at("watch"));
    const auto wait = asked.query.find("wait-ms");
    auto left = duration{std::chrono::milliseconds{wait == asked.query.end() ? 0 : to_number(wait->second)}};
    while (true) {
        if (from < m_forgotten) {
            co_return json_answer(request, http::status::gone, "{}");
        }
        auto events = json::array();
        for (const auto& each : m_history) {
            if (each.kind == asked.kind && each.revision > from) {
                events.push_back({{"object", each.object}, {"deleted", each.deleted}});
            }
        }
        if (!events.empty() || left <= duration::zero() || m_faults.mode != store_mode::up) {
            const auto body = json{{"events", std::move(events)}, {"at", m_revision}};
            co_return json_answer(request, http::status::ok, body.dump());
        }
        co_await pause(watch_poll);
        left -= watch_poll;
    }
}

auto store::write(const http_request& request, const call& asked) -> http_response {
    const auto body = json::parse(request.body(), nullptr, false);
    const auto creates = request.method() == http::verb::post;
    const auto removes = request.method() == http::verb::delete_;
    const auto metadata = body.is_object() ? body.value("metadata", json::object()) : json::object();
    const auto name = creates ? metadata.value("name", std::string{}) : asked.name;
    const auto found = m_objects[asked.kind].find(name);
    const auto exists = found != m_objects[asked.kind].end();
    if (creates ? exists : !exists) {
        return creates ? json_answer(request, http::status::conflict, found->second.dump())
                       : json_answer(request, http::status::not_found, "{}");
    }
    if (exists && metadata.contains("revision") &&
        metadata.at("revision") != found->second.at("metadata").at("revision")) {
        return json_answer(request, http::status::conflict, found->second.dump());
    }
    if (removes) {
        remove(asked.kind, name);
        return json_answer(request, http::status::ok, "{}");
    }
    put(asked.kind, name, body.value("spec", json{}));
    return json_answer(request, http::status::ok, m_objects[asked.kind][name].dump());
}

} // namespace teaselcross::soak
