#include "gateway/load_messages.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace teaselcross {

using json = nlohmann::json;

namespace {

constexpr auto slowness_unit = 100.0; // Slowness travels in hundredths.
constexpr auto field_count = std::size_t{6};

/// Rounds up, so that a report never appears newer than it is.
auto to_milliseconds(duration period) -> std::int64_t {
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(period, duration::zero())).count();
}

auto decode_report(const json& fields, instant sent_at) -> std::optional<shared_report> {
    constexpr auto largest =
        std::array<std::uint64_t, field_count>{1ULL << 48U, 60'000, 100'000, 100'000, 600'000, 1};
    if (!fields.is_array() || fields.size() != field_count) {
        return std::nullopt;
    }
    auto numbers = std::array<std::uint64_t, field_count>{};
    for (std::size_t index = 0; index < field_count; ++index) {
        if (!fields[index].is_number_unsigned() || fields[index].get<std::uint64_t>() > largest.at(index)) {
            return std::nullopt;
        }
        numbers.at(index) = fields[index].get<std::uint64_t>();
    }
    return shared_report{.target = numbers[0],
                         .requests = static_cast<std::uint32_t>(numbers[2]),
                         .slowness = static_cast<double>(numbers[3]) / slowness_unit,
                         .service = std::chrono::milliseconds{numbers[4]},
                         .rejected = numbers[5] == 1,
                         .reported_at = sent_at - std::chrono::milliseconds{numbers[1]}};
}

} // namespace

auto encode_load_message(const load_message& message, instant now) -> std::string {
    auto reports = json::array();
    for (const auto& each : message.reports) {
        reports.push_back({each.target, to_milliseconds(now - each.reported_at), each.requests,
                           std::lround(std::clamp(each.slowness, 0.0, 1000.0) * slowness_unit),
                           to_milliseconds(each.service), each.rejected ? 1 : 0});
    }
    return json{{"instance", message.instance}, {"reports", std::move(reports)}}.dump();
}

auto decode_load_message(const std::string& text, instant sent_at) -> std::optional<load_message> {
    const auto document = json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("instance") || !document.at("instance").is_string() ||
        !document.contains("reports") || !document.at("reports").is_array()) {
        return std::nullopt;
    }
    auto message = load_message{.instance = document.at("instance").get<std::string>()};
    for (const auto& fields : document.at("reports")) {
        if (const auto report = decode_report(fields, sent_at)) {
            message.reports.push_back(*report);
        }
    }
    return message;
}

} // namespace teaselcross
