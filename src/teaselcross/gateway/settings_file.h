#pragma once

// The settings file of an instance.

#include "platform/settings.h"

#include <optional>
#include <string>

namespace teaselcross {

/// The content of the file @a name; nothing if it cannot be read. Thread safe.
auto read_file(const std::string& name) -> std::optional<std::string>;

/// Reads and decodes the settings file @a name. Returns all errors found in it. Thread safe.
auto read_settings(const std::string& name) -> tl::expected<platform::parsed_settings, findings>;

/// Logs which settings are missing, so that their defaults are in force, and which have no effect. Thread
/// safe.
auto log_unused_settings(const platform::parsed_settings& parsed) -> void;

} // namespace teaselcross
