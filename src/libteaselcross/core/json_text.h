#pragma once

// Reads JSON text of unknown origin piece by piece, so that one malformed value does not make the values
// beside it unreadable.
//
// The functions are thread safe and use a fixed amount of stack, whatever the text is.

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace teaselcross {

/// A member of a JSON object. Both parts refer to the text of the object.
struct json_member {
    std::string_view name;  ///< As it is written between the quotes, with its escape sequences.
    std::string_view value; ///< Not checked: it ends where its brackets and quotes do.
};

/// The members of the JSON object @a text. Returns nothing if the text is no object.
auto split_json_object(std::string_view text) -> std::optional<std::vector<json_member>>;

/// The elements of the JSON array @a text; they refer to it and are not checked. Returns nothing if the text
/// is no array.
auto split_json_array(std::string_view text) -> std::optional<std::vector<std::string_view>>;

/// The value of the last of @a members with the given name; empty if there is none.
auto json_value_of(const std::vector<json_member>& members, std::string_view name) -> std::string_view;

/// Parses @a text. The result is discarded if the text is malformed, has a number out of range or is nested
/// deeper than @a max_depth levels: to copy, compare or print a document takes stack for each of its levels.
auto parse_json_within(std::string_view text, std::size_t max_depth) -> nlohmann::json;

} // namespace teaselcross
