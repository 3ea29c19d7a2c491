#pragma once

// What a new controller may rely on when it takes over: the lease that it found and the recorded key maps.

#include "keyspace/key_map.h"
#include "ownership/lease.h"

namespace teaselcross {

/// The lease as a candidate found it before it acquired it.
struct lease_takeover {
    std::optional<lease_object> before; ///< None if the object did not exist.
    bool is_lost = false;               ///< The store was restored and had no lease of its present era.
    std::uint64_t era = 0;
    bool is_first_start = false; ///< The whole system starts for the first time.
};

/// Whether controllers that the lease does not name may have grants in force that the record lacks. A holder
/// that did not know all its predecessors hands that doubt on with its lease. Thread safe, like all functions
/// here.
auto has_unknown_predecessors(const lease_takeover& from) -> bool;

/// The key map from which a new controller goes on.
struct inherited_keys {
    key_map map;
    bool is_lost = false; ///< Only the latest map that is known: moves and grants after it may be missing.
    store_revision recorded_at; ///< With is_lost: when that map was recorded.
};

/// Chooses between the map that was @a recorded, which is empty if there is none, and the @a copy that this
/// instance has received, which may be null.
auto inherit_keys(key_map recorded, const key_map* copy, std::uint64_t era, bool has_unknown_predecessors)
    -> inherited_keys;

} // namespace teaselcross
