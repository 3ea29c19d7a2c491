#include "config/description.h"

#include "config/description_schema.h"
#include "config/json_lines.h"
#include "config/schema_check.h"

#include <algorithm>
#include <bit>
#include <set>

namespace teaselcross {

namespace {

auto milliseconds_of(const nlohmann::json& value) -> duration {
    return std::chrono::milliseconds{value.get<std::int64_t>()};
}

template <class Enum, std::size_t Count>
auto read_enum(const nlohmann::json& object, const char* name,
               const std::array<std::string_view, Count>& table, Enum fallback) -> Enum {
    if (!object.contains(name)) {
        return fallback;
    }
    return value_in<Enum>(table, object.at(name).get<std::string>()).value_or(fallback);
}

auto read_service(const nlohmann::json& object) -> service_description {
    auto service = service_description{};
    service.key = read_enum(object, "key", key_source_names, service.key);
    service.key_header = object.value("key_header", std::string{});
    service.shards = object.value("shards", service.shards);
    service.operations = read_enum(object, "operations", operation_deduplication_names, service.operations);
    if (object.contains("default_deadline_ms")) {
        service.default_deadline = milliseconds_of(object.at("default_deadline_ms"));
    }
    if (object.contains("isolation_limit_ms") && !object.at("isolation_limit_ms").is_null()) {
        service.isolation_limit = milliseconds_of(object.at("isolation_limit_ms"));
    }
    service.queue_limit = object.value("queue_limit", service.queue_limit);
    service.hedge = object.value("hedge", service.hedge);
    return service;
}

auto read_target(const nlohmann::json& object) -> target_description {
    auto target = target_description{};
    target.service = service_id{object.at("service").get<std::string>()};
    target.data_centre = data_centre_id{object.at("data_centre").get<std::string>()};
    target.host = object.at("host").get<std::string>();
    target.port = object.at("port").get<std::uint16_t>();
    target.slots = object.at("slots").get<std::uint32_t>();
    target.cold_slots = object.value("cold_slots", target.cold_slots);
    target.warm_up_requests = object.value("warm_up_requests", target.warm_up_requests);
    target.connections = object.value("connections", target.connections);
    target.checks_fence = object.value("checks_fence", target.checks_fence);
    target.state = read_enum(object, "state", target_state_names, target.state);
    return target;
}

auto check_service(const std::string& name, const service_description& service, findings& found) -> void {
    const auto place = "/services/" + name;
    if (service.is_keyed() && !std::has_single_bit(service.shards)) {
        found.push_back(
            {place + "/shards", "The number of shards of a keyed service must be a power of two."});
    }
    if (!service.is_keyed() && service.shards != 0) {
        found.push_back({place + "/shards", "The number of shards of an unkeyed service must be 0."});
    }
    if (service.key == key_source::header && service.key_header.empty()) {
        found.push_back({place + "/key_header", "The name of the key header is missing."});
    }
    if (service.hedge && service.is_keyed()) {
        found.push_back({place + "/hedge", "A keyed service has one owner per key and cannot be hedged."});
    }
}

auto is_ip_address(const std::string& host) -> bool {
    return std::all_of(host.begin(), host.end(), [](char c) {
        return (c >= '0' && c <= '9') || c == '.' || c == ':' || (c >= 'a' && c <= 'f');
    });
}

auto check_target(const std::string& name, const target_description& target, const description& whole,
                  findings& found) -> void {
    const auto place = "/targets/" + name;
    if (!whole.services.contains(target.service)) {
        found.push_back({place + "/service", "There is no service '" + target.service.value() + "'."});
    }
    if (!whole.data_centres.contains(target.data_centre)) {
        found.push_back(
            {place + "/data_centre", "There is no data centre '" + target.data_centre.value() + "'."});
    }
    if (!is_ip_address(target.host)) {
        found.push_back({place + "/host", "The host must be an IP address."});
    }
    if (target.cold_slots > target.slots) {
        found.push_back({place + "/cold_slots", "A cold target cannot have more slots than a warm one."});
    }
    if (target.connections < target.slots) {
        found.push_back({place + "/connections", "Fewer connections than slots leave slots unused."});
    }
}

auto check_addresses(const description& whole, findings& found) -> void {
    auto seen = std::set<std::pair<std::string, std::uint16_t>>{};
    for (const auto& [id, target] : whole.targets) {
        if (!seen.emplace(target.host, target.port).second) {
            found.push_back({"/targets/" + id.value(), "Another target has the same address."});
        }
    }
}

} // namespace

auto description::is_in_service(const target_description& target) const -> bool {
    const auto place = data_centres.find(target.data_centre);
    return target.state == target_state::in && place != data_centres.end() &&
           place->second.state == data_centre_state::in;
}

auto parse_description(const nlohmann::json& document) -> tl::expected<description, findings> {
    static const auto schema = nlohmann::json::parse(description_schema);
    auto found = check_schema(schema, document);
    if (!found.empty()) {
        return tl::unexpected(found);
    }
    auto whole = description{};
    for (const auto& [name, object] : document.at("data_centres").items()) {
        const auto state = read_enum(object, "state", data_centre_state_names, data_centre_state::in);
        whole.data_centres[data_centre_id{name}] = {.state = state};
    }
    for (const auto& [name, object] : document.at("services").items()) {
        const auto& service = whole.services[service_id{name}] = read_service(object);
        check_service(name, service, found);
    }
    for (const auto& [name, object] : document.at("targets").items()) {
        whole.targets[target_id{name}] = read_target(object);
    }
    for (const auto& [id, target] : whole.targets) {
        check_target(id.value(), target, whole, found);
    }
    check_addresses(whole, found);
    if (!found.empty()) {
        return tl::unexpected(found);
    }
    return whole;
}

auto locate(findings found, const std::string& text) -> findings {
    for (auto& entry : found) {
        entry.line = line_of(text, entry.place);
    }
    return found;
}

auto parse_json(const std::string& text) -> tl::expected<nlohmann::json, findings> {
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error& error) {
        const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(error.byte, text.size()));
        const auto line = 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
        return tl::unexpected(findings{{.place = "", .message = error.what(), .line = line}});
    }
}

} // namespace teaselcross
