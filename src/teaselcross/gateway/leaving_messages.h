#pragma once

// JSON form of what instances tell each other about targets that said that they are leaving.

#include "gateway/cluster_state.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace teaselcross {

/// Encodes @a notices as an array. Thread safe.
auto to_json(const std::vector<leaving_notice>& notices) -> nlohmann::json;

/// Decodes the array @a notices; entries that cannot be decoded are left out. Thread safe.
auto leaving_notices_from_json(const nlohmann::json& notices) -> std::vector<leaving_notice>;

} // namespace teaselcross
