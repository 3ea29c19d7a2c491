#include "store.h"

#include "platform/names.h"
#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace teaselcross::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using json = nlohmann::json;

namespace {

constexpr auto most_history = std::size_t{4000};
constexpr auto watch_poll = duration{std::chrono::milliseconds{5}};
constexpr auto answer_time = duration{std::chrono::milliseconds{2}};

auto to_number(std::string_view text) -> std::uint64_t {
    auto number = std::uint64_t{0};
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

/// A call's path and query. Throws std::invalid_argument if they are malformed.
struct store::call {
    std::string kind;
    std::string name;
    std::map<std::string, std::string> query;

    explicit call(const std::string& target) {
        const auto prefix = std::string{platform::names::objects_path};
        if (!target.starts_with(prefix)) {
            throw std::invalid_argument{"not a path of objects"};
        }
        const auto rest = target.substr(prefix.size());
        const auto question = std::min(rest.find('?'), rest.size());
        const auto path = rest.substr(0, question);
        const auto slash = std::min(path.find('/'), path.size());
        kind = decoded(path.substr(0, slash));
        name = decoded(slash < path.size() ? path.substr(slash + 1) : std::string{});
        auto pairs = std::istringstream{question < rest.size() ? rest.substr(question + 1) : std::string{}};
        for (auto pair = std::string{}; std::getline(pairs, pair, '&');) {
            const auto equals = pair.find('=');
            if (equals == std::string::npos || !is_known(pair.substr(0, equals))) {
                throw std::invalid_argument{"unknown query: " + pair};
            }
            auto value = pair.substr(equals + 1);
            std::replace(value.begin(), value.end(), '+', ' '); // As in forms.
            query[pair.substr(0, equals)] = decoded(value, " ");
        }
    }

    static auto is_known(const std::string& field) -> bool {
        return field == "after" || field == "serializable" || field == "watch" || field == "wait-ms" ||
               field == "revision";
    }

    /// Reverses percent-encoding (RFC 3986, section 2.1). Only letters, digits, some other characters and
    /// those of @a allowed_too may stand for themselves.
    static auto decoded(const std::string& text, std::string_view allowed_too = "&=+") -> std::string {
        constexpr auto digits = std::string_view{"0123456789abcdefABCDEF"};
        constexpr auto allowed = std::string_view{"-._~!$'()*,;:@"};
        auto result = std::string{};
        for (std::size_t at = 0; at < text.size(); ++at) {
            const auto each = text[at];
            if (each == '%' && at + 2 < text.size() && text.find_first_not_of(digits, at + 1) > at + 2) {
                result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else if (std::isalnum(static_cast<unsigned char>(each)) != 0 ||
                       allowed.find(each) != std::string_view::npos ||
                       allowed_too.find(each) != std::string_view::npos) {
                result += each;
            } else {
                throw std::invalid_argument{"not allowed in a path or query"};
            }
        }
        return result;
    }
};

store::store(asio::io_context& context, endpoint address, std::uint64_t seed, std::size_t page_size)
    : m_context{context}, m_server{context.get_executor(),
                                   {.host = address.host, .port = address.port},
                                   [this](responder& from, http_request request) {
                                       return handle(from, std::move(request));
                                   }},
      m_random{seed}, m_page_size{page_size} {}

auto store::pause(duration period) -> asio::awaitable<void> {
    auto timer = asio::steady_timer{m_context, period};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto store::note(const std::string& kind, const json& object, bool deleted, json before) -> void {
    m_history.push_back({.revision = m_revision,
                         .kind = kind,
                         .object = object,
                         .deleted = deleted,
                         .at = monotonic_now(),
                         .before = std::move(before)});
    if (m_history.size() > most_history) {
        m_forgotten = std::max(m_forgotten, m_history.front().revision);
        m_history.pop_front();
    }
}

auto store::compact() -> void {
    m_forgotten = m_revision;
}

auto store::restore(duration age, duration rewrite_within) -> void {
    const auto copied_at = monotonic_now() - age;
    for (; !m_history.empty() && m_history.back().at > copied_at; m_history.pop_back()) {
        auto& undone = m_history.back();
        auto& objects = m_objects[undone.kind];
        const auto name = undone.object.at("metadata").at("name").get<std::string>();
        if (undone.before.is_null()) {
            objects.erase(name);
        } else {
            objects[name] = std::move(undone.before);
        }
        m_revision = undone.revision - 1;
    }
    m_forgotten = std::min(m_forgotten, m_revision);
    ++m_era;
    for (const auto& [kind, objects] : m_platform_objects) {
        for (const auto& each : objects) {
            const auto share = std::uniform_real_distribution<double>{}(m_random);
            const auto delay = std::chrono::duration_cast<duration>(rewrite_within * share);
            asio::co_spawn(m_context, rewrite(kind, each.first, delay), asio::detached);
        }
    }
}

auto store::rewrite(std::string kind, std::string name, duration delay) -> asio::awaitable<void> {
    co_await pause(delay);
    const auto& spec = m_platform_objects[kind][name];
    if (spec.is_null()) {
        erase(kind, name);
    } else {
        change(kind, name, spec);
    }
}

auto store::spec(const std::string& key) const -> json {
    const auto slash = key.find('/');
    const auto objects = m_objects.find(key.substr(0, slash));
    if (objects == m_objects.end()) {
        return {};
    }
    const auto found = objects->second.find(key.substr(slash + 1));
    return found == objects->second.end() ? json{} : found->second.at("spec");
}

auto store::put(const std::string& kind, const std::string& name, json spec) -> void {
    m_platform_objects[kind][name] = spec;
    change(kind, name, std::move(spec));
}

auto store::remove(const std::string& kind, const std::string& name) -> void {
    m_platform_objects[kind][name] = nullptr;
    erase(kind, name);
}

auto store::change(const std::string& kind, const std::string& name, json spec) -> void {
    auto& object = m_objects[kind][name];
    if (!object.is_null() && object.at("spec") == spec) {
        return;
    }
    auto before = std::exchange(
        object, {{"metadata", {{"name", name}, {"revision", ++m_revision}}}, {"spec", std::move(spec)}});
    note(kind, object, false, std::move(before));
}

auto store::erase(const std::string& kind, const std::string& name) -> void {
    const auto found = m_objects[kind].find(name);
    if (found != m_objects[kind].end()) {
        ++m_revision;
        note(kind, found->second, true, found->second);
        m_objects[kind].erase(found);
    }
}

/// Sends a response of the era in which the call was handled.
auto store::answer(responder& from, http_response response) -> asio::awaitable<bool> {
    response.set(platform::names::store_era_header, std::to_string(m_era));
    co_return co_await write_answer(from, std::move(response));
}

auto store::handle(responder& from, http_request request) -> asio::awaitable<bool> {
    ++m_calls;
    const auto mode = m_faults.mode;
    const auto late_writes = m_faults.late_writes;
    while (m_faults.mode == store_mode::silent && mode == store_mode::silent) {
        co_await pause(watch_poll * 10);
    }
    auto parsed = std::optional<call>{};
    try {
        parsed.emplace(std::string{request.target()});
    } catch (const std::invalid_argument& /*malformed*/) {
        ++m_malformed_calls;
    }
    if (!parsed) {
        co_return co_await answer(from, json_answer(request, http::status::bad_request, "{}"));
    }
    const auto& asked = *parsed;
    if (mode == store_mode::silent) { // A call that was met with silence is never answered.
        if (late_writes > 0 && request.method() != http::verb::get &&
            std::uniform_real_distribution<double>{}(m_random) < late_writes) {
            static_cast<void>(write(request, asked));
        }
        co_return false;
    }
    co_await pause(answer_time + m_faults.delay);
    if (m_faults.mode == store_mode::refusing) {
        co_return co_await answer(from, json_answer(request, http::status::service_unavailable, "{}"));
    }
    if (request.method() != http::verb::get) {
        auto response = write(request, asked);
        if (std::uniform_real_distribution<double>{}(m_random) < m_faults.lost_answers) {
            co_return false;
        }
        co_return co_await answer(from, std::move(response));
    }
    if (asked.query.contains("watch")) {
        auto response = co_await watch(request, asked);
        co_return m_faults.mode == store_mode::up&& co_await answer(from, std::move(response));
    }
    auto response = asked.name.empty() ? list(request, asked) : read(request, asked);
    co_return co_await answer(from, std::move(response));
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
    for (; each != objects.end() && items.size() < m_page_size; ++each) {
        items.push_back(each->second);
    }
    const auto body =
        json{{"items", std::move(items)}, {"has-more", each != objects.end()}, {"at", m_revision}};
    return json_answer(request, http::status::ok, body.dump());
}

auto store::watch(const http_request& request, const call& asked) -> asio::awaitable<http_response> {
    const auto from = to_number(asked.query.at("watch"));
    const auto wait = asked.query.find("wait-ms");
    const auto era = m_era;
    auto left = duration{std::chrono::milliseconds{wait == asked.query.end() ? 0 : to_number(wait->second)}};
    while (true) {
        if (from < m_forgotten || from > m_revision || m_era != era) {
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
    const auto in_query = asked.query.find("revision");
    const auto expected = in_query == asked.query.end() ? metadata.value("revision", json{})
                                                        : json(to_number(in_query->second));
    if (exists && !expected.is_null() && expected != found->second.at("metadata").at("revision")) {
        return json_answer(request, http::status::conflict, found->second.dump());
    }
    if (removes) {
        erase(asked.kind, name);
        return json_answer(request, http::status::ok, "{}");
    }
    change(asked.kind, name, body.value("spec", json{}));
    return json_answer(request, http::status::ok, m_objects[asked.kind][name].dump());
}

} // namespace teaselcross::soak
