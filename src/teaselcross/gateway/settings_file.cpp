#include "gateway/settings_file.h"

#include "gateway/gateway.h"
#include "logging/log.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace teaselcross {

namespace {

auto join(const std::vector<std::string>& places) -> std::string {
    auto text = std::string{};
    for (const auto& place : places) {
        text += (text.empty() ? "" : ",") + place;
    }
    return text;
}

} // namespace

auto read_file(const std::string& name) -> std::optional<std::string> {
    auto file = std::ifstream{name};
    if (!file) {
        return std::nullopt;
    }
    auto text = std::ostringstream{};
    text << file.rdbuf();
    return text.str();
}

auto read_settings(const std::string& name) -> tl::expected<platform::parsed_settings, findings> {
    const auto text = read_file(name);
    if (!text) {
        return tl::unexpected(findings{{.place = "", .message = "The file cannot be read."}});
    }
    return platform::parse_settings(*text);
}

auto log_unused_settings(const platform::parsed_settings& parsed) -> void {
    if (!parsed.defaulted.empty()) {
        log::warning("settings_missing", {{"fields", join(parsed.defaulted)}});
    }
    if (!parsed.unused.empty()) {
        log::info("settings_unused", {{"fields", join(parsed.unused)}});
    }
}

auto check_gateway_settings(const std::string& settings_file) -> exit_code {
    const auto parsed = read_settings(settings_file);
    if (!parsed) {
        std::cerr << to_text(parsed.error(), settings_file);
        return exit_code::usage;
    }
    for (const auto& place : parsed->defaulted) {
        std::cout << settings_file << ": " << place << ": Missing; its default is in force.\n";
    }
    for (const auto& place : parsed->unused) {
        std::cout << settings_file << ": " << place << ": Has no effect.\n";
    }
    std::cout << "no faults\n";
    return exit_code::ok;
}

} // namespace teaselcross
