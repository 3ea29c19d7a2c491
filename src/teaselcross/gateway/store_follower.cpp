#include "gateway/store_follower.h"

#include "core/rendezvous.h"
#include "logging/log.h"
#include "runtime/clock.h"

#include <nlohmann/json.hpp>

namespace teaselcross {

using json = nlohmann::json;

namespace {

/// Each wait costs a call. A connection that went silent is noticed sooner, by its keep-alive.
constexpr auto watch_wait = duration{std::chrono::milliseconds{9000}};
constexpr auto retry_pause = duration{std::chrono::milliseconds{120}};
/// How long a relay keeps a follower waiting for news, and what the way there and back may take beside.
constexpr auto relay_wait = duration{std::chrono::milliseconds{4000}};
constexpr auto relay_slack = duration{std::chrono::milliseconds{800}};
/// A relay that did not answer is left alone for so long.
constexpr auto relay_avoidance = duration{std::chrono::milliseconds{3000}};
/// Changes kept for followers; one that is further behind gets the whole list.
constexpr auto most_changes = std::size_t{1000};
constexpr auto largest_relayed = std::size_t{16} * 1024 * 1024;

auto digest_of(const std::string& key, std::uint64_t version) -> std::uint64_t {
    return rendezvous_weight(version, key);
}

} // namespace

store_follower::store_follower(store_access& store, knowledge& known, const gateway_settings& settings,
                               boost::asio::any_io_executor executor, follower_options options,
                               follower_events events)
    : m_store{store}, m_known{known}, m_settings{settings}, m_options{std::move(options)},
      m_events{std::move(events)}, m_pool{executor,
                                          {.connect_timeout = relay_slack,
                                           .idle_limit = std::chrono::seconds{20},
                                           .user_timeout = relay_slack,
                                           .idle_per_peer = 1}},
      m_signal{executor}, m_epoch{(std::uint64_t{std::random_device{}()} << 32U) | 1U} {}

/// Reads all pages. Nothing when the store could not be read.
auto store_follower::list_all() -> boost::asio::awaitable<std::optional<store_reply>> {
    auto whole = store_reply{};
    auto after = std::string{};
    while (true) {
        auto call = store_call{.kind = store_call_kind::list, .key = m_options.kind, .after_key = after};
        auto page = co_await m_store.read(std::move(call));
        if (page.status != store_status::ok) {
            co_return std::nullopt;
        }
        // The first page's revision: what changed while later pages were read is watched again.
        whole.version = whole.objects.empty() ? page.version : whole.version;
        const auto last = page.objects.empty() ? std::string{} : page.objects.back().key;
        std::move(page.objects.begin(), page.objects.end(), std::back_inserter(whole.objects));
        if (!page.more || last.empty()) {
            break;
        }
        after = last;
    }
    std::erase_if(whole.objects, [](const auto& object) { return object.removed; });
    whole.status = store_status::ok;
    co_return whole;
}

auto store_follower::note(const store_object& object) -> void {
    m_last_change = monotonic_now();
    m_changes.push_back({.number = ++m_number, .object = object});
    if (m_changes.size() > most_changes) {
        m_changes.pop_front();
    }
    const auto known = m_objects.find(object.key);
    if (known != m_objects.end()) {
        m_digest ^= digest_of(object.key, known->second.version);
        m_objects.erase(known);
    }
    if (!object.removed) {
        m_digest ^= digest_of(object.key, object.version);
        m_objects[object.key] = object;
    }
}

auto store_follower::take_list(const std::vector<store_object>& objects) -> void {
    auto lacking = m_objects;
    for (const auto& object : objects) {
        const auto known = m_objects.find(object.key);
        lacking.erase(object.key);
        if (known == m_objects.end() || known->second.version != object.version) {
            note(object);
        }
    }
    for (auto& [key, object] : lacking) {
        auto removed = object;
        removed.removed = true;
        removed.value.clear();
        note(removed);
    }
    m_listed = true;
    m_events.listed(objects);
    m_signal.notify();
}

auto store_follower::take_event(const store_object& object) -> void {
    const auto known = m_objects.find(object.key);
    if (known != m_objects.end() && object.version < known->second.version) {
        return; // A refresh was faster than the watch.
    }
    note(object);
    m_events.changed(object);
}

auto store_follower::refresh() -> boost::asio::awaitable<bool> {
    if (m_refreshing) {
        co_return false;
    }
    m_refreshing = true;
    const auto list = co_await list_all();
    m_refreshing = false;
    if (!list) {
        co_return false;
    }
    if (list->version >= m_at) { // A relayed answer may be older than what is known.
        m_at = list->version;
        take_list(list->objects);
    }
    co_return true;
}

/// Watches until the history is lost.
auto store_follower::watch() -> boost::asio::awaitable<void> {
    while (true) {
        const auto from = m_at;
        auto call = store_call{
            .kind = store_call_kind::watch, .key = m_options.kind, .after = from, .wait = watch_wait};
        const auto reply = co_await m_store.read(std::move(call));
        if (reply.status == store_status::history_lost) {
            log::info("store_history_lost", {{"kind", m_options.kind}, {"after", from}});
            co_return;
        }
        if (reply.status != store_status::ok) {
            co_await pause_for(retry_pause);
            continue;
        }
        for (const auto& object : reply.objects) {
            take_event(object);
        }
        m_at = std::max(m_at, reply.version);
        if (!reply.objects.empty()) {
            m_signal.notify();
            co_await pause_for(m_options.pause);
        }
        if (relay()) {
            co_return; // Another instance does this work now.
        }
    }
}

/// The relay of the own data centre, or nothing when this instance is to follow the store itself.
auto store_follower::relay() const -> std::optional<instance_record> {
    const auto now = monotonic_now();
    for (const auto& each : m_known.strongest("relay")) {
        const auto avoided = m_avoided.find(each.name);
        if (each.data_centre != m_settings.data_centre ||
            (avoided != m_avoided.end() && now < avoided->second)) {
            continue;
        }
        return each.name == m_settings.instance ? std::nullopt : std::optional{each};
    }
    return std::nullopt;
}

auto store_follower::follow_relay(instance_record relay_now) -> boost::asio::awaitable<void> {
    auto epoch = std::uint64_t{0};
    auto number = std::uint64_t{0};
    while (true) {
        const auto chosen = relay();
        if (!chosen || chosen->name != relay_now.name) {
            co_return;
        }
        auto request = http_request{boost::beast::http::verb::post, follow_path, 11};
        request.set(boost::beast::http::field::host, relay_now.internal.host);
        request.body() = json{{"kind", m_options.kind}, {"epoch", epoch}, {"number", number}}.dump();
        request.prepare_payload();
        auto address = relay_now.internal;
        const auto answer = co_await whole_exchange(m_pool, std::move(address), std::move(request),
                                                    relay_wait + relay_slack, largest_relayed);
        const auto document = answer ? json::parse(answer->body(), nullptr, false) : json{};
        if (!document.is_object() || !document.contains("objects")) {
            log::info("relay_lost", {{"relay", relay_now.name}, {"kind", m_options.kind}});
            m_avoided[relay_now.name] = monotonic_now() + relay_avoidance;
            co_return;
        }
        epoch = document.at("epoch").get<std::uint64_t>();
        number = document.at("number").get<std::uint64_t>();
        auto objects = std::vector<store_object>{};
        for (const auto& entry : document.at("objects")) {
            objects.push_back({.key = entry.at(0).get<std::string>(),
                               .version = entry.at(1).get<std::uint64_t>(),
                               .value = entry.at(2).get<std::string>(),
                               .removed = entry.at(3).get<bool>()});
        }
        m_at = std::max(m_at, document.at("at").get<std::uint64_t>());
        if (document.at("whole").get<bool>()) {
            take_list(objects);
        } else {
            for (const auto& object : objects) {
                take_event(object);
            }
            m_signal.notify();
        }
    }
}

auto store_follower::answer_follower(std::string body) -> boost::asio::awaitable<std::string> {
    const auto asked = json::parse(body, nullptr, false);
    if (!asked.is_object() || !m_listed || !m_direct) {
        co_return std::string{}; // Only what follows the store itself may be followed.
    }
    const auto known = asked.value("number", std::uint64_t{0});
    const auto same = asked.value("epoch", std::uint64_t{0}) == m_epoch;
    if (same && known == m_number) {
        co_await m_signal.wait(relay_wait);
    }
    const auto oldest = m_changes.empty() ? m_number + 1 : m_changes.front().number;
    const auto whole = !same || known + 1 < oldest;
    auto objects = json::array();
    if (whole) {
        for (const auto& [key, object] : m_objects) {
            objects.push_back({key, object.version, object.value, false});
        }
    } else {
        for (const auto& each : m_changes) {
            if (each.number > known) {
                objects.push_back(
                    {each.object.key, each.object.version, each.object.value, each.object.removed});
            }
        }
    }
    const auto answer = json{{"epoch", m_epoch},
                             {"number", m_number},
                             {"at", m_at},
                             {"whole", whole},
                             {"objects", std::move(objects)}};
    co_return answer.dump();
}

auto store_follower::run() -> boost::asio::awaitable<void> {
    while (true) {
        if (const auto from = relay()) {
            m_direct = false;
            co_await follow_relay(*from);
            continue;
        }
        m_direct = true;
        const auto listed_now = co_await refresh();
        if (!listed_now) {
            co_await pause_for(retry_pause);
            continue;
        }
        co_await watch();
    }
}

} // namespace teaselcross
