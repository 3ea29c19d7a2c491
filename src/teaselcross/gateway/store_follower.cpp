#include "gateway/store_follower.h"

#include "core/rendezvous.h"
#include "logging/log.h"
#include "runtime/clock.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselcross {

using json = nlohmann::json;

namespace {

/// Each wait costs a call. A connection that went silent is noticed sooner, by its keep-alive.
constexpr auto watch_wait = duration{std::chrono::milliseconds{9000}};
constexpr auto retry_pause = duration{std::chrono::milliseconds{120}};
/// How long a relay keeps a follower waiting for news, and what the way there and back may take beside.
constexpr auto relay_wait = duration{std::chrono::milliseconds{4000}};
constexpr auto relay_slack = duration{std::chrono::milliseconds{800}};
/// A comparison is answered from memory; the rest of a change's time is for asking the store after it.
constexpr auto compare_timeout = duration{std::chrono::milliseconds{400}};
/// A relay that did not answer is left alone for so long.
constexpr auto relay_avoidance = duration{std::chrono::milliseconds{3000}};
/// Removals kept for followers; one that is further behind gets the whole list.
constexpr auto most_removals = std::size_t{500};
/// Earlier values kept for differences: about a second of changes for followers that lag.
constexpr auto most_past_values = std::size_t{24};
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
    auto& known = m_objects[object.key];
    if (known.number > 0 && !known.object.removed) {
        m_digest ^= digest_of(object.key, known.object.version);
        if (m_options.difference != nullptr && m_direct) {
            m_past.push_back({.number = known.number, .object = std::move(known.object)});
            if (m_past.size() > most_past_values) {
                m_past.pop_front();
            }
        }
    }
    known = {.object = object, .number = ++m_number};
    if (object.removed) {
        m_removed.push_back({.number = m_number, .object = {.key = object.key}});
        forget_removals();
    } else {
        m_digest ^= digest_of(object.key, object.version);
    }
}

auto store_follower::forget_removals() -> void {
    while (m_removed.size() > most_removals) {
        const auto& oldest = m_removed.front();
        m_forgotten = oldest.number;
        const auto found = m_objects.find(oldest.object.key);
        if (found != m_objects.end() && found->second.number == oldest.number) {
            m_objects.erase(found);
        }
        m_removed.pop_front();
    }
}

/// Whether @a object is no news: a refresh may be faster than a watch.
auto store_follower::is_known(const store_object& object) const -> bool {
    const auto found = m_objects.find(object.key);
    if (found == m_objects.end()) {
        return false;
    }
    const auto& known = found->second.object;
    const auto same = object.version == known.version && (known.removed || !object.removed);
    return object.version < known.version || same;
}

auto store_follower::take_list(const std::vector<store_object>& objects) -> void {
    auto lacking = std::map<std::string, std::uint64_t>{}; // Versions by key.
    for (const auto& [key, known] : m_objects) {
        if (!known.object.removed) {
            lacking.emplace(key, known.object.version);
        }
    }
    for (const auto& object : objects) {
        const auto known = m_objects.find(object.key);
        lacking.erase(object.key);
        if (known == m_objects.end() || known->second.object.removed ||
            known->second.object.version != object.version) {
            note(object);
        } else {
            known->second.object.value = object.value; // Of a patched one only the version was known.
        }
    }
    for (const auto& [key, version] : lacking) {
        note({.key = key, .version = version, .removed = true});
    }
    m_listed = true;
    m_events.listed(objects);
    m_signal.notify();
}

auto store_follower::take_event(const store_object& object) -> void {
    if (is_known(object)) {
        return;
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

auto store_follower::relay_address() const -> std::optional<endpoint> {
    const auto found = relay();
    return found ? std::optional{found->internal} : std::nullopt;
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
        const auto answer = co_await perform_exchange(m_pool, std::move(address), std::move(request),
                                                      relay_wait + relay_slack, largest_relayed);
        const auto document = answer ? json::parse(answer->body(), nullptr, false) : json{};
        if (!document.is_object() || !document.contains("objects")) {
            log::info("relay_lost", {{"relay", relay_now.name}, {"kind", m_options.kind}});
            m_avoided[relay_now.name] = monotonic_now() + relay_avoidance;
            co_return;
        }
        epoch = document.at("epoch").get<std::uint64_t>();
        number = document.at("number").get<std::uint64_t>();
        if (!take_relayed(document)) {
            epoch = 0; // Differences that don't fit: the whole list is asked for next.
        }
    }
}

/// Takes what a relay has told. False when a difference did not fit what is known here.
auto store_follower::take_relayed(const json& document) -> bool {
    auto objects = std::vector<store_object>{};
    auto fits = true;
    const auto whole = document.at("whole").get<bool>();
    for (const auto& entry : document.at("objects")) {
        auto object = store_object{.key = entry.at(0).get<std::string>(),
                                   .version = entry.at(1).get<std::uint64_t>(),
                                   .value = entry.at(2).get<std::string>(),
                                   .removed = entry.at(3).get<bool>()};
        const auto base = entry.at(4).get<std::uint64_t>();
        if (whole) {
            objects.push_back(std::move(object));
        } else if (base == 0) {
            take_event(object);
        } else if (!is_known(object)) {
            const auto taken = m_events.patched(object, base);
            fits = fits && taken;
            if (taken) {
                object.value.clear();
                note(object);
            }
        }
    }
    m_at = std::max(m_at, document.at("at").get<std::uint64_t>());
    if (whole) {
        take_list(objects);
    } else {
        m_signal.notify();
    }
    return fits;
}

/// The difference of @a tracked to what a follower that knows the changes up to @a known has; null when that
/// is not known any more.
auto store_follower::difference_since(const tracked_object& tracked, std::uint64_t known)
    -> const cached_difference* {
    const auto past = std::find_if(m_past.rbegin(), m_past.rend(), [&](const auto& each) {
        return each.object.key == tracked.object.key && each.number <= known;
    });
    if (m_options.difference == nullptr || past == m_past.rend() || past->object.value.empty()) {
        return nullptr;
    }
    const auto from = past->object.version;
    const auto to = tracked.object.version;
    const auto made = std::find_if(m_differences.begin(), m_differences.end(),
                                   [&](const auto& each) { return each.from == from && each.to == to; });
    if (made != m_differences.end()) {
        return &*made;
    }
    auto text = m_options.difference(past->object.value, tracked.object.value);
    if (!text) {
        return nullptr;
    }
    m_differences.push_back({.from = from, .to = to, .text = std::move(*text)});
    if (m_differences.size() > most_past_values) {
        m_differences.pop_front();
    }
    return &m_differences.back();
}

auto store_follower::entry_for(const tracked_object& tracked, std::uint64_t known) -> json {
    const auto& object = tracked.object;
    const auto* difference = object.removed ? nullptr : difference_since(tracked, known);
    if (difference != nullptr) {
        return {object.key, object.version, difference->text, false, difference->from};
    }
    return {object.key, object.version, object.value, object.removed, 0};
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
    const auto whole = !same || known < m_forgotten;
    auto objects = json::array();
    for (const auto& [key, tracked] : m_objects) {
        if (whole && !tracked.object.removed) {
            objects.push_back({key, tracked.object.version, tracked.object.value, false, 0});
        } else if (!whole && tracked.number > known) {
            objects.push_back(entry_for(tracked, known));
        }
    }
    const auto answer = json{{"epoch", m_epoch},
                             {"number", m_number},
                             {"at", m_at},
                             {"whole", whole},
                             {"objects", std::move(objects)}};
    co_return answer.dump();
}

auto store_follower::answer_comparison(const json& asked) const -> std::string {
    if (!m_listed || !asked.contains("versions") || !asked.at("versions").is_object()) {
        return {};
    }
    const auto& versions = asked.at("versions");
    auto objects = json::array();
    auto present = json::array();
    for (const auto& [key, tracked] : m_objects) {
        const auto& object = tracked.object;
        const auto same = versions.contains(key) && versions.at(key) == object.version;
        if (!object.removed && (same || object.value.empty())) {
            present.push_back(key); // Of one that was patched here only the version is known.
        } else if (!object.removed) {
            objects.push_back({key, object.version, object.value, false, 0});
        }
    }
    return json{
        {"at", m_at}, {"whole", false}, {"objects", std::move(objects)}, {"present", std::move(present)}}
        .dump();
}

auto store_follower::compare_with(endpoint peer) -> boost::asio::awaitable<bool> {
    auto versions = json::object();
    for (const auto& [key, tracked] : m_objects) {
        if (!tracked.object.removed) {
            versions[key] = tracked.object.version;
        }
    }
    auto request = http_request{boost::beast::http::verb::post, compare_path, 11};
    request.set(boost::beast::http::field::host, peer.host);
    request.body() = json{{"kind", m_options.kind}, {"versions", versions}}.dump();
    request.prepare_payload();
    const auto answer = co_await perform_exchange(m_pool, std::move(peer), std::move(request),
                                                  compare_timeout, largest_relayed);
    const auto document = answer ? json::parse(answer->body(), nullptr, false) : json{};
    if (!document.is_object() || !document.contains("present")) {
        co_return false;
    }
    auto lacking = versions;
    for (const auto& key : document.at("present")) {
        lacking.erase(key.get<std::string>());
    }
    for (const auto& entry : document.at("objects")) {
        lacking.erase(entry.at(0).get<std::string>());
    }
    const auto at = document.at("at").get<std::uint64_t>();
    for (const auto& [key, version] : lacking.items()) {
        if (version.get<std::uint64_t>() <= at) { // A younger one is news that the peer has not heard yet.
            take_event({.key = key, .version = at, .removed = true});
        }
    }
    static_cast<void>(take_relayed(document));
    co_return true;
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
