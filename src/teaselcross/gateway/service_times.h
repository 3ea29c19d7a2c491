#pragma once

// The service times in an instance's report to the controller.

#include "balance/target_speeds.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace teaselcross {

using service_times_by_target = std::map<target_id, std::vector<service_time_sample>>;

/// By target, a list of times in microseconds, each with the slowness and whether others were waiting.
auto service_times_to_json(const service_times_by_target& times) -> nlohmann::json;
/// Throws nlohmann::json::exception if @a document is not of that form.
auto service_times_from_json(const nlohmann::json& document) -> service_times_by_target;

} // namespace teaselcross
