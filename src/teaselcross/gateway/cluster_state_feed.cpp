#include "gateway/cluster_state_feed.h"

#include "core/json_difference.h"
#include "core/json_text.h"
#include "gateway/peers.h"
#include "logging/log.h"
#include "platform/records.h"
#include "platform/store.h"
#include "runtime/clock.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselcross {

namespace {

/// Levels of a patch around the values in it.
constexpr auto patch_depth = std::size_t{2};

} // namespace

/// The configuration as the store has it.
struct cluster_state_feed::versioned_document {
    store_revision version;
    nlohmann::json document;
};

cluster_state_feed::cluster_state_feed(const gateway_settings& settings, cluster_state& cluster,
                                       const store_access& store)
    : m_settings{settings}, m_cluster{cluster}, m_store{store} {}

auto cluster_state_feed::apply_target(const store_object& object, instant not_before) -> void {
    const auto name = object.key.substr(object.key.find('/') + 1);
    const auto now = monotonic_now();
    m_cluster.note_era(object.version.era, now);
    auto parsed = object.removed ? tl::expected<listed_target, std::string>{tl::unexpect, "removed"}
                                 : platform::parse_target(name, object.value);
    if (parsed) {
        m_reported_faults.erase(object.key);
        m_cluster.put_target(*parsed, object.version, now, not_before);
        return;
    }
    if (!object.removed && m_reported_faults[object.key] != parsed.error()) {
        m_reported_faults[object.key] = parsed.error();
        log::warning("target_entry_unusable", {{"target", name}, {"fault", parsed.error()}});
    }
    if (object.removed) {
        const auto grace = m_store.outage_grace();
        m_cluster.remove_target(
            target_id{name}, grace > duration::zero() ? std::optional{grace} : std::nullopt, now, not_before);
    }
}

auto cluster_state_feed::target_events() -> follower_events {
    return {.changed = [this](const store_object& object, instant not_before) {
        apply_target(object, not_before);
    }};
}

auto cluster_state_feed::apply_routes(const store_object& object) -> void {
    if (object.key != platform::kinds::routes_object || object.removed) {
        return;
    }
    m_routes_document.reset();
    auto document = parse_json_within(object.value, platform::max_document_depth);
    if (document.is_discarded()) {
        log::warning("config_unusable",
                     {{"revision", to_string(object.version)},
                      {"fault", "malformed, nested too deeply or with a number out of range"}});
        return;
    }
    m_routes_document =
        std::make_shared<versioned_document>(versioned_document{object.version, std::move(document)});
    apply_routes_document();
}

/// Returns false when the difference does not apply to the document that is known.
auto cluster_state_feed::apply_routes_difference(const store_object& object, const store_revision& base)
    -> bool {
    if (object.key != platform::kinds::routes_object || !m_routes_document ||
        m_routes_document->version != base) {
        return false;
    }
    const auto patch = parse_json_within(object.value, platform::max_document_depth + patch_depth);
    try {
        m_routes_document->document.patch_inplace(patch);
    } catch (const nlohmann::json::exception& fault) {
        log::warning("config_difference_unusable",
                     {{"revision", to_string(object.version)}, {"fault", fault.what()}});
        m_routes_document.reset(); // Some operations may have been applied.
        return false;
    }
    m_routes_document->version = object.version;
    apply_routes_document();
    return true;
}

/// The object of the store that holds the configuration.
auto cluster_state_feed::stored_routes(const std::string& key) const -> std::optional<store_object> {
    if (key != platform::kinds::routes_object || !m_routes_document) {
        return std::nullopt;
    }
    return store_object{
        .key = key, .version = m_routes_document->version, .value = m_routes_document->document.dump()};
}

auto cluster_state_feed::apply_routes_document() -> void {
    const auto& version = m_routes_document->version;
    auto parsed = platform::parse_routes(m_routes_document->document);
    if (!parsed) {
        log::warning("config_unusable", {{"revision", to_string(version)}, {"fault", parsed.error()}});
        return;
    }
    const auto limits = parsed->limits;
    const auto remarks = parsed->remarks;
    if (!m_cluster.set_routes(std::move(*parsed))) {
        return;
    }
    for (const auto& each : remarks) {
        log::info("config_without_effect", {{"revision", to_string(version)}, {"place", each}});
    }
    if (m_on_limits) {
        m_on_limits(limits);
    }
}

auto cluster_state_feed::route_events() -> follower_events {
    return {.changed = [this](const store_object& object, instant /*not_before*/) { apply_routes(object); },
            .patched = [this](const store_object& object,
                              const store_revision& base) { return apply_routes_difference(object, base); },
            .patched_object = [this](const std::string& key) { return stored_routes(key); }};
}

auto cluster_state_feed::out_of_service_events() -> follower_events {
    return {.changed = [this](const store_object& object, instant not_before) {
        const auto data_centre = data_centre_id{object.key.substr(object.key.find('/') + 1)};
        m_cluster.note_era(object.version.era, monotonic_now());
        if (object.removed) {
            m_cluster.return_to_service(data_centre, monotonic_now());
        } else {
            m_cluster.take_out_of_service(data_centre, object.version, not_before, monotonic_now());
        }
    }};
}

auto cluster_state_feed::apply_key_map(const store_object& object) -> void {
    if (object.removed) {
        return;
    }
    const auto service = service_id{object.key.substr(object.key.find('/') + 1)};
    auto parsed = key_map_from_json(nlohmann::json::parse(object.value, nullptr, false), object.version);
    if (!parsed) {
        log::error("key_map_unreadable", {{"service", service}, {"fault", parsed.error()}});
        return;
    }
    m_cluster.set_keys(service, std::move(*parsed));
}

/// Returns false when the changes do not apply to the known revision of the map.
auto cluster_state_feed::apply_key_map_changes(const store_object& object, const store_revision& base)
    -> bool {
    const auto service = service_id{object.key.substr(object.key.find('/') + 1)};
    const auto known = m_cluster.keys(service);
    if (known != nullptr && known->revision >= object.version) {
        return true;
    }
    const auto changes = key_map_changes_from_json(nlohmann::json::parse(object.value, nullptr, false));
    if (known == nullptr || known->revision != base || !changes) {
        return false;
    }
    auto map = apply_changes(*known, *changes, object.version);
    if (!map) {
        log::error("key_map_unreadable", {{"service", service}, {"fault", map.error()}});
        return false;
    }
    m_cluster.set_keys(service, std::move(*map));
    return true;
}

auto cluster_state_feed::key_map_events() -> follower_events {
    return {.changed = [this](const store_object& object, instant /*not_before*/) { apply_key_map(object); },
            .patched = [this](const store_object& object,
                              const store_revision& base) { return apply_key_map_changes(object, base); },
            .patched_object = [this](const std::string& key) { return stored_key_map(key); }};
}

auto cluster_state_feed::instance_events() -> follower_events {
    return {.changed = [this](const store_object& object, instant /*not_before*/) {
        m_cluster.note_era(object.version.era, monotonic_now());
        if (object.removed) {
            m_cluster.remove_instance(object.key.substr(object.key.find('/') + 1), monotonic_now());
        } else if (auto record = parse_instance_record(object)) {
            m_cluster.put_instance(std::move(*record));
        }
    }};
}

/// The object of the store that holds a key map.
auto cluster_state_feed::stored_key_map(const std::string& key) const -> std::optional<store_object> {
    const auto map = m_cluster.keys(service_id{key.substr(key.find('/') + 1)});
    if (map == nullptr) {
        return std::nullopt;
    }
    return store_object{.key = key, .version = map->revision, .value = to_json(*map).dump()};
}

auto routes_difference(const std::string& before, const std::string& after) -> std::optional<std::string> {
    const auto earlier = parse_json_within(before, platform::max_document_depth);
    const auto later = parse_json_within(after, platform::max_document_depth);
    if (earlier.is_discarded() || later.is_discarded()) {
        return std::nullopt;
    }
    auto text = json_difference(earlier, later).dump();
    if (text.size() < after.size()) {
        return text;
    }
    return nlohmann::json::array({{{"op", "replace"}, {"path", ""}, {"value", later}}}).dump();
}

auto key_map_difference(const std::string& before, const std::string& after) -> std::optional<std::string> {
    const auto read = [](const std::string& text) {
        return key_map_from_json(nlohmann::json::parse(text, nullptr, false), {});
    };
    const auto earlier = read(before);
    const auto later = read(after);
    if (!earlier || !later) {
        return std::nullopt;
    }
    return to_json(changes_between(*earlier, *later)).dump();
}

} // namespace teaselcross
