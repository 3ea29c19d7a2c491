#include "membership/member.h"

namespace teaselcross {

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
