#pragma once

// The difference between two JSON documents as a JSON Patch (RFC 6902), which nlohmann::json applies.
//
// In contrast to nlohmann::json::diff(), which compares the elements of arrays by their index, one element
// more or less in a long array is one operation.

#include <nlohmann/json_fwd.hpp>

namespace teaselcross {

/// Returns the operations that turn @a before into @a after. For documents that have little in common they
/// may be larger than @a after. Takes stack for each level of the documents. Thread safe.
auto json_difference(const nlohmann::json& before, const nlohmann::json& after) -> nlohmann::json;

} // namespace teaselcross
