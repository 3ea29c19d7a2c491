#pragma once

// Validates JSON documents against a JSON schema.

#include "core/finding.h"

#include <nlohmann/json.hpp>

namespace teaselcross {

/// All violations of @a schema in @a document. Thread safe.
/// @pre schema is a valid JSON schema, draft 7.
auto check_schema(const nlohmann::json& schema, const nlohmann::json& document) -> findings;

} // namespace teaselcross
