#pragma once

// An object of a versioned store.

#include "replication/store_revision.h"

#include <string>

namespace teaselcross {

struct store_object {
    std::string key;
    /// Revision of the store at which the object last changed; of a removed object, one at which it is
    /// absent.
    store_revision version;
    std::string value;
    bool removed = false;
};

} // namespace teaselcross
