#pragma once

// Since when each owner of keys has been lost, as far as one instance knows, and when its keys are expected
// to be served again: its grant expires first, and then another target is granted them.

#include "core/time.h"
#include "keyspace/key_map.h"

#include <map>
#include <optional>

namespace teaselcross {

/// The owners that an instance found lost. Not thread safe.
struct lost_owners {
    struct loss {
        instant since{};     ///< When it was first found lost.
        instant last_seen{}; ///< When it was last found lost.
    };
    std::map<target_incarnation, loss> losses;
};

/// Records that @a owner, which holds grants of @a grant_term, is lost at @a now. Returns the time until its
/// keys are expected to be served again; nothing if they should be by now.
auto time_until_served(lost_owners& state, const target_incarnation& owner, duration grant_term, instant now)
    -> std::optional<duration>;

} // namespace teaselcross
