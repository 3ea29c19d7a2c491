#include "delivery/operation_id.h"

#include <array>
#include <charconv>
#include <string_view>

namespace teaselcross {

namespace {

constexpr auto prefix = std::string_view{"tc1-"};
constexpr auto base = 16;

auto hexadecimal(std::uint64_t value) -> std::string {
    auto buffer = std::array<char, 16>{};
    const auto written = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, base);
    return {buffer.data(), written.ptr};
}

auto parse_hexadecimal(std::string_view text) -> std::optional<std::uint64_t> {
    auto value = std::uint64_t{0};
    const auto* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value, base);
    if (text.empty() || read.ec != std::errc{} || read.ptr != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

auto to_text(const issued_operation& id) -> std::string {
    return std::string{prefix} + hexadecimal(static_cast<std::uint64_t>(id.issued.count())) + "-" +
           hexadecimal(id.random) + "-" + id.home.value();
}

auto parse_issued(const std::string& text) -> std::optional<issued_operation> {
    auto rest = std::string_view{text};
    if (!rest.starts_with(prefix)) {
        return std::nullopt;
    }
    rest.remove_prefix(prefix.size());
    const auto dash = rest.find('-');
    if (dash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto second_dash = rest.find('-', dash + 1);
    if (second_dash == std::string_view::npos || second_dash + 1 == rest.size()) {
        return std::nullopt;
    }
    const auto issued = parse_hexadecimal(rest.substr(0, dash));
    const auto random = parse_hexadecimal(rest.substr(dash + 1, second_dash - dash - 1));
    if (!issued || !random) {
        return std::nullopt;
    }
    return issued_operation{.issued = wall_time{static_cast<wall_time::rep>(*issued)},
                            .random = *random,
                            .home = target_id{std::string{rest.substr(second_dash + 1)}}};
}

} // namespace teaselcross
