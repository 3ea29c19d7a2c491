#include "gateway/leaving_messages.h"

#include <nlohmann/json.hpp>

namespace teaselcross {

using json = nlohmann::json;

auto to_json(const std::vector<leaving_notice>& notices) -> json {
    auto list = json::array();
    for (const auto& each : notices) {
        list.push_back({each.target.value(), each.start_time_ms});
    }
    return list;
}

auto leaving_notices_from_json(const json& notices) -> std::vector<leaving_notice> {
    auto decoded = std::vector<leaving_notice>{};
    for (const auto& entry : notices) {
        if (entry.is_array() && entry.size() == 2 && entry[0].is_string() && entry[1].is_number_unsigned()) {
            decoded.push_back({.target = target_id{entry[0].get<std::string>()},
                               .start_time_ms = entry[1].get<std::uint64_t>()});
        }
    }
    return decoded;
}

} // namespace teaselcross
