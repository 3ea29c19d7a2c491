#include "gateway/knowledge_feed.h"

#include "logging/log.h"
#include "platform/records.h"
#include "platform/store.h"
#include "runtime/clock.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselcross {

knowledge_feed::knowledge_feed(const gateway_settings& options, knowledge& known, const store_access& store)
    : m_options{options}, m_known{known}, m_store{store} {}

auto knowledge_feed::return_grace() const -> std::optional<duration> {
    const auto now = monotonic_now();
    const auto back = m_store.healthy_since() + m_options.returning;
    // Entries also lapse while the store is away; those of targets that live come back soon after it.
    if (m_store.outages() == 0 || (m_store.healthy() && now >= back)) {
        return std::nullopt;
    }
    return m_store.healthy() ? back - now : m_options.returning;
}

auto knowledge_feed::take_target(const store_object& object) -> void {
    const auto name = object.key.substr(object.key.find('/') + 1);
    const auto now = monotonic_now();
    auto parsed = object.removed ? tl::expected<listed_target, std::string>{tl::unexpect, "removed"}
                                 : platform::parse_target(name, object.value);
    if (parsed) {
        m_faulty.erase(object.key);
        m_known.put_target(*parsed, object.version, now);
        return;
    }
    if (!object.removed && m_faulty[object.key] != parsed.error()) {
        m_faulty[object.key] = parsed.error();
        log::warning("target_entry_unusable", {{"target", name}, {"fault", parsed.error()}});
    }
    if (object.removed) {
        m_known.drop_target(target_id{name}, return_grace(), now);
    }
}

auto knowledge_feed::target_events() -> follower_events {
    return {.listed =
                [this](const std::vector<store_object>& objects) {
                    auto names = std::vector<target_id>{};
                    for (const auto& object : objects) {
                        names.emplace_back(object.key.substr(object.key.find('/') + 1));
                        take_target(object);
                    }
                    m_known.keep_only(names, return_grace(), monotonic_now());
                },
            .changed = [this](const store_object& object) { take_target(object); }};
}

auto knowledge_feed::take_routes(const store_object& object) -> void {
    if (object.key != platform::kinds::routes_object || object.removed) {
        return;
    }
    auto parsed = platform::parse_routes(object.value);
    if (!parsed) {
        log::warning("config_unusable", {{"revision", object.version}, {"fault", parsed.error()}});
        return;
    }
    const auto limits = parsed->limits;
    if (m_known.set_routes(std::move(*parsed)) && m_on_limits) {
        m_on_limits(limits);
    }
}

auto knowledge_feed::route_events() -> follower_events {
    return {.listed =
                [this](const std::vector<store_object>& objects) {
                    for (const auto& object : objects) {
                        take_routes(object);
                    }
                },
            .changed = [this](const store_object& object) { take_routes(object); }};
}

auto knowledge_feed::taken_out_events() -> follower_events {
    const auto name_of = [](const store_object& object) {
        return data_centre_id{object.key.substr(object.key.find('/') + 1)};
    };
    return {.listed =
                [this, name_of](const std::vector<store_object>& objects) {
                    const auto now = monotonic_now();
                    auto named = std::vector<data_centre_id>{};
                    for (const auto& object : objects) {
                        named.push_back(name_of(object));
                        m_known.take_out(named.back(), now);
                    }
                    auto back = std::vector<data_centre_id>{};
                    for (const auto& [data_centre, since] : m_known.taken_out()) {
                        if (std::find(named.begin(), named.end(), data_centre) == named.end()) {
                            back.push_back(data_centre);
                        }
                    }
                    for (const auto& data_centre : back) {
                        m_known.bring_back(data_centre, now);
                    }
                },
            .changed =
                [this, name_of](const store_object& object) {
                    if (object.removed) {
                        m_known.bring_back(name_of(object), monotonic_now());
                    } else {
                        m_known.take_out(name_of(object), monotonic_now());
                    }
                }};
}

auto knowledge_feed::take_keys(const store_object& object) -> void {
    if (object.removed) {
        return;
    }
    const auto service = service_id{object.key.substr(object.key.find('/') + 1)};
    auto parsed = key_map_from_json(nlohmann::json::parse(object.value, nullptr, false), object.version);
    if (!parsed) {
        log::error("key_map_unreadable", {{"service", service}, {"fault", parsed.error()}});
        return;
    }
    m_known.set_keys(service, std::move(*parsed));
}

/// False when the changes are for another map than the one that is known.
auto knowledge_feed::take_key_changes(const store_object& object, std::uint64_t base) -> bool {
    const auto service = service_id{object.key.substr(object.key.find('/') + 1)};
    const auto known = m_known.keys(service);
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
    m_known.set_keys(service, std::move(*map));
    return true;
}

auto knowledge_feed::key_map_events() -> follower_events {
    return {.listed =
                [this](const std::vector<store_object>& objects) {
                    for (const auto& object : objects) {
                        take_keys(object);
                    }
                },
            .changed = [this](const store_object& object) { take_keys(object); },
            .patched = [this](const store_object& object,
                              std::uint64_t base) { return take_key_changes(object, base); }};
}

auto key_map_difference(const std::string& before, const std::string& after) -> std::optional<std::string> {
    const auto read = [](const std::string& text) {
        return key_map_from_json(nlohmann::json::parse(text, nullptr, false), 0);
    };
    const auto earlier = read(before);
    const auto later = read(after);
    if (!earlier || !later) {
        return std::nullopt;
    }
    return to_json(changes_between(*earlier, *later)).dump();
}

} // namespace teaselcross
