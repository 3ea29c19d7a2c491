#pragma once

// Status of the whole system, as seen by one instance.

#include "control/instance_context.h"

namespace teaselcross {

/// Status reports of the instances, and the instances that did not respond.
struct collected_status {
    std::vector<wire::InstanceStatus> instances;
    std::vector<instance_id> unresponsive;
};

/// Returns the status of this instance alone.
auto own_status(instance_context& node) -> wire::InstanceStatus;

/// Requests the status of all live instances; @a done is called once, on the control thread.
auto collect_status(instance_context& node, std::function<void(collected_status)> done) -> void;

/// Formats the status as JSON. The field "act" tells whether an operator needs to act, "concerns" on what.
auto status_json(const instance_context& node, const collected_status& collected) -> nlohmann::json;

/// Formats the status as text for a terminal.
auto status_text(const nlohmann::json& status) -> std::string;

/// Formats the status as an HTML page.
auto status_page(const nlohmann::json& status) -> std::string;

} // namespace teaselcross
