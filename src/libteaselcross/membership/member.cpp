#include "membership/member.h"

namespace teaselcross {

auto make_instance_id(const std::string& name, std::uint64_t start_time_ms) -> instance_id {
    return instance_id{name + "~" + std::to_string(start_time_ms)};
}

auto instance_name(const instance_id& id) -> std::string {
    return id.value().substr(0, id.value().rfind('~'));
}

auto supersedes(const member& update, const member& known) -> bool {
    if (update.incarnation != known.incarnation) {
        return update.incarnation > known.incarnation;
    }
    if (update.state != known.state) {
        return update.state > known.state;
    }
    return update.config_version > known.config_version;
}

} // namespace teaselcross
