#include "gateway/service_times.h"

namespace teaselcross {

using json = nlohmann::json;

auto service_times_to_json(const service_times_by_target& times) -> json {
    auto document = json::object();
    for (const auto& [target, samples] : times) {
        auto list = json::array();
        for (const auto& sample : samples) {
            list.push_back({sample.time.count(), sample.slowness, sample.was_queued});
        }
        document[target.value()] = std::move(list);
    }
    return document;
}

auto service_times_from_json(const json& document) -> service_times_by_target {
    auto times = service_times_by_target{};
    for (const auto& [target, samples] : document.items()) {
        for (const auto& sample : samples) {
            times[target_id{target}].push_back({.time = duration{sample.at(0).get<duration::rep>()},
                                                .slowness = sample.at(1).get<double>(),
                                                .was_queued = sample.at(2).get<bool>()});
        }
    }
    return times;
}

} // namespace teaselcross
