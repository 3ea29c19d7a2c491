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
        found.push_back({.place = pointer, .message = "The host must be an IP number."});
    }
}

auto read_duration(const nlohmann::json& timing, const char* name, duration& value) -> void {
    if (timing.contains(name)) {
        value = std::chrono::milliseconds{timing.at(name).get<std::int64_t>()};
    }
}

auto read_timing(const nlohmann::json& timing, settings& read) -> void {
    read_duration(timing, "drain_ms", read.drain);
    read_duration(timing, "grant_term_ms", read.keeper.grants.term);
    read_duration(timing, "grant_heartbeat_ms", read.keeper.grants.heartbeat_interval);
    read_duration(timing, "grant_reply_timeout_ms", read.keeper.grants.reply_timeout);
    read_duration(timing, "target_silence_ms", read.keeper.grants.silence_limit);
    read_duration(timing, "lease_term_ms", read.lease.term);
    read_duration(timing, "lease_renewal_ms", read.lease.renewal_interval);
    read_duration(timing, "probe_period_ms", read.membership.probe_period);
    read_duration(timing, "probe_timeout_ms", read.membership.direct_timeout);
    read_duration(timing, "suspicion_ms", read.membership.suspicion_timeout);
}

auto check_timing(const settings& read, findings& found) -> void {
    const auto& grants = read.keeper.grants;
    if (grants.heartbeat_interval * 2 > grants.term) {
        found.push_back({.place = "/timing/grant_heartbeat_ms",
                         .message = "At least two heartbeats have to fit into a grant's term."});
    }
    if (grants.reply_timeout >= grants.term) {
        found.push_back({.place = "/timing/grant_reply_timeout_ms",
                         .message = "A reply has to be given up within a grant's term."});
    }
    if (read.lease.renewal_interval * 2 > read.lease.term) {
        found.push_back({.place = "/timing/lease_renewal_ms",
                         .message = "At least two renewals have to fit into a lease's term."});
    }
}

auto read_ports(const nlohmann::json& document, settings& read, findings& found) -> void {
    if (!document.contains("ports")) {
        return;
    }
    const auto& ports = document.at("ports");
    read.ports.caller = ports.value("caller", read.ports.caller);
    read.ports.operators = ports.value("operators", read.ports.operators);
    read.ports.forward = ports.value("forward", read.ports.forward);
    read.ports.control = ports.value("control", read.ports.control);
    read.ports.membership = ports.value("membership", read.ports.membership);
    const auto distinct =
        std::set{read.ports.caller, read.ports.operators, read.ports.forward, read.ports.control};
    if (distinct.size() != 4) {
        found.push_back({.place = "/ports", .message = "The four TCP ports must differ from each other."});
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
    auto read = settings{};
    read.instance = instance_id{document->at("instance").get<std::string>()};
    read.data_centre = data_centre_id{document->at("data_centre").get<std::string>()};
    read.host = document->at("host").get<std::string>();
    read.platform_host = document->at("platform").at("host").get<std::string>();
    read.platform_port = document->at("platform").at("port").get<std::uint16_t>();
    read.log_level = document->value("log_level", read.log_level);
    if (document->contains("limits")) {
        const auto& limits = document->at("limits");
        read.header_limit = limits.value("header_bytes", read.header_limit);
        read.body_limit = limits.value("body_bytes", read.body_limit);
        read.caller_connections = limits.value("caller_connections", read.caller_connections);
    }
    if (document->contains("timing")) {
        read_timing(document->at("timing"), read);
    }
    read_ports(*document, read, found);
    check_ip(*document, "/host", found);
    check_ip(*document, "/platform/host", found);
    check_timing(read, found);
    read.controller.grants = read.keeper.grants;
    if (!found.empty()) {
        return tl::unexpected(locate(std::move(found), text));
    }
    return read;
}

} // namespace teaselcross
