#include "settings/settings.h"

#include "config/schema_check.h"

#include <boost/asio/ip/address.hpp>

#include <set>

namespace teaselcross {

namespace {

constexpr auto settings_schema = R"json({
  "type": "object",
  "required": ["instance", "data_centre", "host", "platform"],
  "additionalProperties": false,
  "properties": {
    "instance": {"type": "string", "minLength": 1, "maxLength": 128},
    "data_centre": {"type": "string", "minLength": 1, "maxLength": 128},
    "host": {"type": "string"},
    "ports": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "caller": {"type": "integer", "minimum": 1, "maximum": 65535},
        "operators": {"type": "integer", "minimum": 1, "maximum": 65535},
        "forward": {"type": "integer", "minimum": 1, "maximum": 65535},
        "control": {"type": "integer", "minimum": 1, "maximum": 65535},
        "membership": {"type": "integer", "minimum": 1, "maximum": 65535}
      }
    },
    "platform": {
      "type": "object",
      "required": ["host", "port"],
      "additionalProperties": false,
      "properties": {
        "host": {"type": "string"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535}
      }
    },
    "log_level": {"enum": ["debug", "info", "warning", "error"]},
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "header_bytes": {"type": "integer", "minimum": 1024, "maximum": 1048576},
        "body_bytes": {"type": "integer", "minimum": 0, "maximum": 1073741824},
        "caller_connections": {"type": "integer", "minimum": 1, "maximum": 1000000}
      }
    },
    "timing": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "drain_ms": {"type": "integer", "minimum": 0, "maximum": 3600000},
        "grant_term_ms": {"type": "integer", "minimum": 100, "maximum": 60000},
        "grant_heartbeat_ms": {"type": "integer", "minimum": 10, "maximum": 60000},
        "grant_reply_timeout_ms": {"type": "integer", "minimum": 10, "maximum": 60000},
        "target_silence_ms": {"type": "integer", "minimum": 10, "maximum": 60000},
        "lease_term_ms": {"type": "integer", "minimum": 100, "maximum": 60000},
        "lease_renewal_ms": {"type": "integer", "minimum": 10, "maximum": 60000},
        "probe_period_ms": {"type": "integer", "minimum": 10, "maximum": 60000},
        "probe_timeout_ms": {"type": "integer", "minimum": 5, "maximum": 60000},
        "suspicion_ms": {"type": "integer", "minimum": 10, "maximum": 600000}
      }
    }
  }
})json";

auto check_ip(const nlohmann::json& document, const char* pointer, findings& found) -> void {
    const auto place = nlohmann::json::json_pointer{pointer};
    auto error = boost::system::error_code{};
    boost::asio::ip::make_address(document.at(place).get<std::string>(), error);
    if (error) {
        found.push_back({.place = pointer, .message = "The host must be an IP address."});
    }
}

auto read_duration(const nlohmann::json& timing, const char* name, duration& value) -> void {
    if (timing.contains(name)) {
        value = std::chrono::milliseconds{timing.at(name).get<std::int64_t>()};
    }
}

auto read_timing(const nlohmann::json& timing, settings& parsed) -> void {
    read_duration(timing, "drain_ms", parsed.drain_timeout);
    read_duration(timing, "grant_term_ms", parsed.keeper.grants.term);
    read_duration(timing, "grant_heartbeat_ms", parsed.keeper.grants.heartbeat_interval);
    read_duration(timing, "grant_reply_timeout_ms", parsed.keeper.grants.reply_timeout);
    read_duration(timing, "target_silence_ms", parsed.keeper.grants.silence_limit);
    read_duration(timing, "lease_term_ms", parsed.lease.term);
    read_duration(timing, "lease_renewal_ms", parsed.lease.renewal_interval);
    read_duration(timing, "probe_period_ms", parsed.membership.probe_period);
    read_duration(timing, "probe_timeout_ms", parsed.membership.direct_timeout);
    read_duration(timing, "suspicion_ms", parsed.membership.suspicion_timeout);
}

auto check_timing(const settings& parsed, findings& found) -> void {
    const auto& grants = parsed.keeper.grants;
    if (grants.heartbeat_interval * 2 > grants.term) {
        found.push_back({.place = "/timing/grant_heartbeat_ms",
                         .message = "The grant term must be at least twice the heartbeat interval."});
    }
    if (grants.reply_timeout >= grants.term) {
        found.push_back({.place = "/timing/grant_reply_timeout_ms",
                         .message = "The reply timeout must be shorter than the grant term."});
    }
    if (parsed.lease.renewal_interval * 2 > parsed.lease.term) {
        found.push_back({.place = "/timing/lease_renewal_ms",
                         .message = "The lease term must be at least twice the renewal interval."});
    }
}

auto read_ports(const nlohmann::json& document, settings& parsed, findings& found) -> void {
    if (!document.contains("ports")) {
        return;
    }
    const auto& ports = document.at("ports");
    parsed.ports.caller = ports.value("caller", parsed.ports.caller);
    parsed.ports.operators = ports.value("operators", parsed.ports.operators);
    parsed.ports.forward = ports.value("forward", parsed.ports.forward);
    parsed.ports.control = ports.value("control", parsed.ports.control);
    parsed.ports.membership = ports.value("membership", parsed.ports.membership);
    const auto distinct =
        std::set{parsed.ports.caller, parsed.ports.operators, parsed.ports.forward, parsed.ports.control};
    if (distinct.size() != 4) {
        found.push_back({.place = "/ports", .message = "The four TCP ports must be different."});
    }
}

} // namespace

auto parse_settings(const std::string& text) -> tl::expected<settings, findings> {
    static const auto schema = nlohmann::json::parse(settings_schema);
    const auto document = parse_json(text);
    if (!document) {
        return tl::unexpected(document.error());
    }
    auto found = check_schema(schema, *document);
    if (!found.empty()) {
        return tl::unexpected(locate(std::move(found), text));
    }
    auto parsed = settings{};
    parsed.instance = instance_id{document->at("instance").get<std::string>()};
    parsed.data_centre = data_centre_id{document->at("data_centre").get<std::string>()};
    parsed.host = document->at("host").get<std::string>();
    parsed.platform_host = document->at("platform").at("host").get<std::string>();
    parsed.platform_port = document->at("platform").at("port").get<std::uint16_t>();
    parsed.log_level = document->value("log_level", parsed.log_level);
    if (document->contains("limits")) {
        const auto& limits = document->at("limits");
        parsed.header_limit = limits.value("header_bytes", parsed.header_limit);
        parsed.body_limit = limits.value("body_bytes", parsed.body_limit);
        parsed.caller_connections = limits.value("caller_connections", parsed.caller_connections);
    }
    if (document->contains("timing")) {
        read_timing(document->at("timing"), parsed);
    }
    read_ports(*document, parsed, found);
    check_ip(*document, "/host", found);
    check_ip(*document, "/platform/host", found);
    check_timing(parsed, found);
    parsed.controller.grants = parsed.keeper.grants;
    if (!found.empty()) {
        return tl::unexpected(locate(std::move(found), text));
    }
    return parsed;
}

} // namespace teaselcross
