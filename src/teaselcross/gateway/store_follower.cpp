#include "gateway/store_follower.h"

#include "core/rendezvous.h"
#include "logging/log.h"
#include "runtime/clock.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselcross {

using json = nlohmann::json;

namespace {

/// Each watch costs a call when it ends, so it is long. A dead connection is detected earlier, by its
/// keep-alive.
constexpr auto watch_timeout = duration{std::chrono::milliseconds{9000}};
constexpr auto retry_delay = duration{std::chrono::milliseconds{120}};
/// How long a relay holds a request when there are no changes, and the allowance for the round trip.
constexpr auto relay_poll_timeout = duration{std::chrono::milliseconds{4000}};
constexpr auto relay_round_trip_timeout = duration{std::chrono::milliseconds{800}};
/// A comparison is answered from memory; the rest of the time in which a change must take effect is left for
/// asking the store afterwards.
constexpr auto compare_timeout = duration{std::chrono::milliseconds{400}};
/// How long a relay that did not answer is avoided.
constexpr auto relay_avoid_time = duration{std::chrono::milliseconds{3000}};
/// Removals kept for followers; a follower that lags further behind gets the complete list.
constexpr auto max_removals = std::size_t{500};
/// Earlier values kept to compute differences: about one second of changes, for followers that lag.
constexpr auto max_past_values = std::size_t{24};
constexpr auto max_relayed_bytes = std::size_t{16} * 1024 * 1024;

auto digest_of(const std::string& key, std::uint64_t version) -> std::uint64_t {
    return rendezvous_weight(version, key);
}

} // namespace

store_follower::store_follower(store_access& store, cluster_state& cluster, const gateway_settings& settings,
                               boost::asio::any_io_executor executor, follower_options options,
                               follower_events events)
    : m_store{store}, m_cluster{cluster}, m_settings{settings}, m_options{std::move(options)},
      m_events{std::move(events)}, m_pool{executor,
                                          {.connect_timeout = relay_round_trip_timeout,
                                           .idle_limit = std::chrono::seconds{20},
                                           .user_timeout = relay_round_trip_timeout,
                                           .idle_per_peer = 1}},
      m_signal{executor}, m_epoch{(std::uint64_t{std::random_device{}()} << 32U) | 1U} {}

/// Reads all pages of the list. Returns nothing when the store could not be read.
auto store_follower::list_all() -> boost::asio::awaitable<std::optional<store_reply>> {
    auto whole = store_reply{};
    auto after = std::string{};
    while (true) {
        auto call = store_call{.kind = store_call_kind::list, .key = m_options.kind, .after_key = after};
        auto page = co_await m_store.read(std::move(call));
        if (page.status != store_status::ok) {
            co_return std::nullopt;
        }
        // Uses the first page's revision, so that the watch reports again what changed while later pages were
        // read.
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

/// Logs that an object appeared or disappeared; a new version of a known object has no line.
auto store_follower::log_change(const store_object& object, const change_origin& origin) const -> void {
    const auto found = m_objects.find(object.key);
    const auto is_live = found != m_objects.end() && !found->second.object.removed;
    if (is_live != object.removed) {
        return;
    }
    log::info(object.removed ? "object_removed" : "object_added",
              {{"object", object.key},
               {"version", object.version},
               {"known_version", found == m_objects.end() ? 0 : found->second.object.version},
               {"source", name_in(change_source_names, origin.source)},
               {"from", origin.from},
               {"source_revision", origin.revision},
               {"own_revision", m_revision}});
}

auto store_follower::record_change(const store_object& object, const change_origin& origin) -> void {
    log_change(object, origin);
    m_last_change = monotonic_now();
    auto& known = m_objects[object.key];
    if (known.change_number > 0 && !known.object.removed) {
        m_digest ^= digest_of(object.key, known.object.version);
        if (m_options.difference != nullptr && m_direct) {
            m_past_values.push_back(
                {.change_number = known.change_number, .object = std::move(known.object)});
            if (m_past_values.size() > max_past_values) {
                m_past_values.pop_front();
            }
        }
    }
    known = {.object = object, .change_number = ++m_change_number};
    if (object.removed) {
        m_recent_removals.push_back({.change_number = m_change_number, .object = {.key = object.key}});
        trim_removals();
    } else {
        m_digest ^= digest_of(object.key, object.version);
    }
}

auto store_follower::trim_removals() -> void {
    while (m_recent_removals.size() > max_removals) {
        const auto& oldest = m_recent_removals.front();
        m_last_dropped_removal = oldest.change_number;
        const auto found = m_objects.find(oldest.object.key);
        if (found != m_objects.end() && found->second.change_number == oldest.change_number) {
            m_objects.erase(found);
        }
        m_recent_removals.pop_front();
    }
}

/// Whether this version of @a object, or a newer one, is already known: a refresh may be ahead of a watch.
auto store_follower::is_known(const store_object& object) const -> bool {
    const auto found = m_objects.find(object.key);
    if (found == m_objects.end()) {
        return false;
    }
    const auto& known = found->second.object;
    const auto same = object.version == known.version && (known.removed || !object.removed);
    return object.version < known.version || same;
}

auto store_follower::apply_list(const std::vector<store_object>& objects, const change_origin& origin)
    -> void {
    auto missing = std::map<std::string, std::uint64_t>{}; // Versions by key.
    for (const auto& [key, known] : m_objects) {
        if (!known.object.removed) {
            missing.emplace(key, known.object.version);
        }
    }
    for (const auto& object : objects) {
        const auto known = m_objects.find(object.key);
        missing.erase(object.key);
        if (known == m_objects.end() || known->second.object.removed ||
            known->second.object.version != object.version) {
            record_change(object, origin);
        } else {
            // After a patch only the version is kept, not the value.
            known->second.object.value = object.value;
        }
    }
    for (const auto& [key, version] : missing) {
        record_change({.key = key, .version = version, .removed = true}, origin);
    }
    m_listed = true;
    m_events.listed(objects);
    m_signal.notify();
}

auto store_follower::apply_event(const store_object& object, const change_origin& origin) -> void {
    if (is_known(object)) {
        const auto& known = m_objects.at(object.key).object;
        if (known.removed && !object.removed) {
            log::info("object_refused", {{"object", object.key},
                                         {"version", object.version},
                                         {"removed_version", known.version},
                                         {"source", name_in(change_source_names, origin.source)},
                                         {"from", origin.from},
                                         {"source_revision", origin.revision},
                                         {"own_revision", m_revision}});
        }
        return;
    }
    record_change(object, origin);
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
    if (list->version >= m_revision) { // A relayed answer may be older than the known state.
        const auto before = std::exchange(m_revision, list->version);
        log::debug("list_applied",
                   {{"kind", m_options.kind}, {"revision", list->version}, {"before", before}});
        apply_list(list->objects, {.source = change_source::list, .revision = list->version});
    } else {
        log::info("list_too_old",
                  {{"kind", m_options.kind}, {"revision", list->version}, {"own_revision", m_revision}});
    }
    co_return true;
}

/// Watches until the store no longer has the history, or another instance becomes the relay.
auto store_follower::watch() -> boost::asio::awaitable<void> {
    while (true) {
        const auto from = m_revision;
        auto call = store_call{
            .kind = store_call_kind::watch, .key = m_options.kind, .after = from, .wait = watch_timeout};
        const auto reply = co_await m_store.read(std::move(call));
        if (reply.status == store_status::history_lost) {
            log::info("store_history_lost", {{"kind", m_options.kind}, {"after", from}});
            co_return;
        }
        if (reply.status != store_status::ok) {
            co_await sleep_for(retry_delay);
            continue;
        }
        for (const auto& object : reply.objects) {
            apply_event(object, {.source = change_source::watch, .revision = reply.version});
        }
        m_revision = std::max(m_revision, reply.version);
        if (!reply.objects.empty()) {
            m_signal.notify();
            co_await sleep_for(m_options.batch_delay);
        }
        if (relay()) {
            co_return; // Another instance has become the relay.
        }
    }
}

/// The relay to follow: the highest ranked instance of this data centre that is not avoided. Returns nothing
/// when that is this instance, or there is none.
auto store_follower::relay() const -> std::optional<instance_record> {
    const auto now = monotonic_now();
    for (const auto& each : m_cluster.rank_instances("relay")) {
        const auto avoided = m_avoided_relays.find(each.name);
        if (each.data_centre != m_settings.data_centre ||
            (avoided != m_avoided_relays.end() && now < avoided->second)) {
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

auto store_follower::follow_relay(instance_record followed) -> boost::asio::awaitable<void> {
    auto epoch = std::uint64_t{0};
    auto change_number = std::uint64_t{0};
    while (true) {
        const auto chosen = relay();
        if (!chosen || chosen->name != followed.name) {
            co_return;
        }
        auto request = http_request{boost::beast::http::verb::post, follow_path, 11};
        request.set(boost::beast::http::field::host, followed.internal.host);
        request.body() = json{{"kind", m_options.kind}, {"epoch", epoch}, {"number", change_number}}.dump();
        request.prepare_payload();
        auto address = followed.internal;
        const auto answer =
            co_await perform_exchange(m_pool, std::move(address), std::move(request),
                                      relay_poll_timeout + relay_round_trip_timeout, max_relayed_bytes);
        const auto document = answer ? json::parse(answer->body(), nullptr, false) : json{};
        if (!document.is_object() || !document.contains("objects")) {
            log::info("relay_lost", {{"relay", followed.name}, {"kind", m_options.kind}});
            m_avoided_relays[followed.name] = monotonic_now() + relay_avoid_time;
            co_return;
        }
        epoch = document.at("epoch").get<std::uint64_t>();
        change_number = document.at("number").get<std::uint64_t>();
        if (!apply_relayed(document, {.source = change_source::relay, .from = followed.internal.host})) {
            epoch = 0; // A difference did not apply: request the complete list next.
        }
    }
}

/// Applies the objects in an answer of a relay or peer. Returns false when a difference did not apply to the
/// known version.
auto store_follower::apply_relayed(const json& document, change_origin origin) -> bool {
    auto objects = std::vector<store_object>{};
    auto all_applied = true;
    const auto whole = document.at("whole").get<bool>();
    origin.revision = document.at("at").get<std::uint64_t>();
    if (whole) {
        origin.source = change_source::relayed_list;
    }
    for (const auto& entry : document.at("objects")) {
        auto object = store_object{.key = entry.at(0).get<std::string>(),
                                   .version = entry.at(1).get<std::uint64_t>(),
                                   .value = entry.at(2).get<std::string>(),
                                   .removed = entry.at(3).get<bool>()};
        const auto base = entry.at(4).get<std::uint64_t>();
        if (whole) {
            objects.push_back(std::move(object));
        } else if (base == 0) {
            apply_event(object, origin);
        } else if (!is_known(object)) {
            const auto applied = m_events.patched(object, base);
            all_applied = all_applied && applied;
            if (applied) {
                object.value.clear();
                record_change(object, origin);
            }
        }
    }
    m_revision = std::max(m_revision, origin.revision);
    if (whole) {
        apply_list(objects, origin);
    } else {
        m_signal.notify();
    }
    return all_applied;
}

/// The difference between @a tracked and the version of a follower that has all changes up to number @a
/// known. Null when that version is no longer kept.
auto store_follower::difference_since(const tracked_object& tracked, std::uint64_t known)
    -> const cached_difference* {
    const auto past = std::find_if(m_past_values.rbegin(), m_past_values.rend(), [&](const auto& each) {
        return each.object.key == tracked.object.key && each.change_number <= known;
    });
    if (m_options.difference == nullptr || past == m_past_values.rend() || past->object.value.empty()) {
        return nullptr;
    }
    const auto from = past->object.version;
    const auto to = tracked.object.version;
    const auto cached = std::find_if(m_differences.begin(), m_differences.end(),
                                     [&](const auto& each) { return each.from == from && each.to == to; });
    if (cached != m_differences.end()) {
        return &*cached;
    }
    auto text = m_options.difference(past->object.value, tracked.object.value);
    if (!text) {
        return nullptr;
    }
    m_differences.push_back({.from = from, .to = to, .text = std::move(*text)});
    if (m_differences.size() > max_past_values) {
        m_differences.pop_front();
    }
    return &m_differences.back();
}

auto store_follower::make_entry(const tracked_object& tracked, std::uint64_t known) -> json {
    const auto& object = tracked.object;
    const auto* difference = object.removed ? nullptr : difference_since(tracked, known);
    if (difference != nullptr) {
        return {object.key, object.version, difference->text, false, difference->from};
    }
    return {object.key, object.version, object.value, object.removed, 0};
}

auto store_follower::answer_follower(std::string body) -> boost::asio::awaitable<std::string> {
    const auto query = json::parse(body, nullptr, false);
    if (!query.is_object() || !m_listed || !m_direct) {
        co_return std::string{}; // Only an instance that follows the store directly may serve followers.
    }
    const auto known = query.value("number", std::uint64_t{0});
    const auto same = query.value("epoch", std::uint64_t{0}) == m_epoch;
    if (same && known == m_change_number) {
        co_await m_signal.wait(relay_poll_timeout);
    }
    const auto whole = !same || known < m_last_dropped_removal;
    auto objects = json::array();
    for (const auto& [key, tracked] : m_objects) {
        if (whole && !tracked.object.removed) {
            objects.push_back({key, tracked.object.version, tracked.object.value, false, 0});
        } else if (!whole && tracked.change_number > known) {
            objects.push_back(make_entry(tracked, known));
        }
    }
    const auto answer = json{{"epoch", m_epoch},
                             {"number", m_change_number},
                             {"at", m_revision},
                             {"whole", whole},
                             {"objects", std::move(objects)}};
    co_return answer.dump();
}

auto store_follower::answer_comparison(const json& query) const -> std::string {
    if (!m_listed || !query.contains("versions") || !query.at("versions").is_object()) {
        return {};
    }
    const auto& versions = query.at("versions");
    auto objects = json::array();
    auto present = json::array();
    for (const auto& [key, tracked] : m_objects) {
        const auto& object = tracked.object;
        const auto same = versions.contains(key) && versions.at(key) == object.version;
        if (!object.removed && (same || object.value.empty())) {
            present.push_back(key); // After a patch only the version is kept, not the value.
        } else if (!object.removed) {
            objects.push_back({key, object.version, object.value, false, 0});
        }
    }
    return json{{"at", m_revision},
                {"whole", false},
                {"objects", std::move(objects)},
                {"present", std::move(present)}}
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
    const auto peer_host = peer.host;
    const auto answer = co_await perform_exchange(m_pool, std::move(peer), std::move(request),
                                                  compare_timeout, max_relayed_bytes);
    const auto document = answer ? json::parse(answer->body(), nullptr, false) : json{};
    if (!document.is_object() || !document.contains("present")) {
        co_return false;
    }
    auto missing = versions;
    for (const auto& key : document.at("present")) {
        missing.erase(key.get<std::string>());
    }
    for (const auto& entry : document.at("objects")) {
        missing.erase(entry.at(0).get<std::string>());
    }
    const auto peer_revision = document.at("at").get<std::uint64_t>();
    const auto origin =
        change_origin{.source = change_source::comparison, .from = peer_host, .revision = peer_revision};
    for (const auto& [key, version] : missing.items()) {
        // A newer version is a change that the peer has not received yet.
        if (version.get<std::uint64_t>() <= peer_revision) {
            apply_event({.key = key, .version = peer_revision, .removed = true}, origin);
        }
    }
    static_cast<void>(apply_relayed(document, origin));
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
            co_await sleep_for(retry_delay);
            continue;
        }
        co_await watch();
    }
}

} // namespace teaselcross
