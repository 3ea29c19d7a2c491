#pragma once

// Where the system stands, as one instance can tell it.

#include "control/instance_context.h"

namespace teaselcross {

/// What the other instances said of themselves, and which of them did not answer.
struct collected_status {
    std::vector<wire::InstanceStatus> instances;
    std::vector<instance_id> silent;
};

/// This instance's own part.
auto own_status(instance_context& node) -> wire::InstanceStatus;

/// Asks all live instances; @a done is called once, on the control thread.
auto collect_status(instance_context& node, std::function<void(collected_status)> done) -> void;

/// The whole status as JSON. The first fields say whether anyone needs to act, and on what.
auto status_json(const instance_context& node, const collected_status& collected) -> nlohmann::json;

/// The same for people.
auto status_text(const nlohmann::json& status) -> std::string;

/// The same as a page for a browser.
auto status_page(const nlohmann::json& status) -> std::string;

} // namespace teaselcross
