#pragma once

// The query of a request's target.

#include <map>
#include <optional>
#include <string>

namespace teaselcross::lab {

struct query {
    std::map<std::string, std::string> values;

    /// The value of @a name, or "".
    auto text(const std::string& name) const -> std::string;
    /// The value of @a name as a number, if it is one.
    auto number(const std::string& name) const -> std::optional<std::uint64_t>;
};

/// Reads "PATH?NAME=VALUE&..."; nothing is decoded.
auto parse_query(const std::string& target) -> query;

} // namespace teaselcross::lab
