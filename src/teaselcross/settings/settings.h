#pragma once

// The settings of one instance, read from a JSON file and validated as a whole.

#include "config/description.h"
#include "membership/detector.h"
#include "ownership/controller.h"
#include "ownership/keeper.h"
#include "ownership/lease.h"

namespace teaselcross {

struct listen_ports {
    std::uint16_t caller = 8080;
    std::uint16_t operators = 8081;
    std::uint16_t forward = 8082;
    std::uint16_t control = 8083;
    std::uint16_t membership = 8084;
};

struct settings {
    instance_id instance;
    data_centre_id data_centre;
    std::string host; ///< IP address that all ports are bound to.
    listen_ports ports;
    std::string platform_host;
    std::uint16_t platform_port = 0;
    std::string log_level = "info";
    std::uint32_t header_limit = 16 * 1024;
    std::uint32_t body_limit = 1024 * 1024;
    std::uint32_t caller_connections = 4096;
    duration drain_timeout = std::chrono::seconds{10}; ///< How long a shutdown waits for requests in flight.

    keeper_options keeper;
    lease_options lease;
    detector_options membership;
    controller_options controller;
};

/// Parses settings from the text of a JSON file. Reports all errors, with their lines.
auto parse_settings(const std::string& text) -> tl::expected<settings, findings>;

} // namespace teaselcross
