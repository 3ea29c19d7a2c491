#include "query.h"

#include <charconv>
#include <cstdint>

namespace teaselcross::lab {

auto query::text(const std::string& name) const -> std::string {
    const auto found = values.find(name);
    return found == values.end() ? std::string{} : found->second;
}

auto query::number(const std::string& name) const -> std::optional<std::uint64_t> {
    const auto found = text(name);
    auto value = std::uint64_t{0};
    const auto read = std::from_chars(found.data(), found.data() + found.size(), value);
    if (found.empty() || read.ec != std::errc{}) {
        return std::nullopt;
    }
    return value;
}

auto parse_query(const std::string& target) -> query {
    auto read = query{};
    auto begin = target.find('?');
    while (begin != std::string::npos && begin + 1 < target.size()) {
        const auto end = target.find('&', begin + 1);
        const auto pair = target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
        const auto equals = pair.find('=');
        read.values[pair.substr(0, equals)] =
            equals == std::string::npos ? std::string{} : pair.substr(equals + 1);
        begin = end;
    }
    return read;
}

} // namespace teaselcross::lab
