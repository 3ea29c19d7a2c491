#pragma once

// Election of a data centre's controller through one lease object in the platform's store.
//
// The lease keeps two controllers from conflicting with each other. Safety does not depend on it, because all
// writes of controllers are conditional. See docs/decisions/0002-ownership.md.

#include "core/identifier.h"
#include "core/time.h"
#include "replication/store_revision.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace teaselcross {

struct lease_options {
    duration term = std::chrono::milliseconds{2000};
    duration renewal_interval = std::chrono::milliseconds{600};
    duration margin = std::chrono::milliseconds{100};
    std::uint32_t drift_ppm = 500;
};

/// The lease object. Each write increments `renewals`, which shows a watcher that the holder is alive.
struct lease_object {
    instance_id holder;
    std::uint64_t epoch = 0;
    std::uint64_t renewals = 0;
    std::uint64_t era = 0; ///< Era of the store in which it was written.
    /// The holder knows of all grants in force: those of controllers before it have expired or are recorded,
    /// and the record is complete in this era. False: not known.
    bool is_settled = false;

    auto operator==(const lease_object&) const -> bool = default;
};

auto to_json(const lease_object& object) -> nlohmann::json;
auto lease_object_from_json(const nlohmann::json& object) -> lease_object;

/// One candidate's view of the lease.
struct lease_candidate {
    instance_id self;
    lease_options options;
    std::optional<lease_object> last_known; ///< The latest one known; none while the object does not exist.
    store_revision last_known_version;      ///< Of the object in the store; number 0 if there is none.
    /// The store was restored since the latest known lease was written, and its present era has no lease yet.
    bool is_lost = false;
    bool is_settled = false;    ///< What the next renewal says; set by the holder, reset with each new lease.
    bool is_up_to_date = false; ///< Whether the object was read or written since the last failed write.
    std::optional<instance_id> ended_holder; ///< The last holder whose process refused a connection.
    instant unchanged_since{};
    std::optional<instant> held_until;
    bool write_pending = false;
    instant write_started_at{};
    instant next_write_at{};
};

/// A conditional write to make.
struct lease_write {
    lease_object object;
    store_revision expected_version; ///< Number 0: the object must not exist.
};

/// Whether @a left was written before @a right. Thread safe.
auto is_earlier(const lease_object& left, const lease_object& right) -> bool;

/// Handles the lease object as read, or received from a watch, at @a now. An object that was written in an
/// earlier era than that of @a version is no lease, because later ones may have been lost.
auto on_lease_read(lease_candidate& state, const std::optional<lease_object>& object,
                   const store_revision& version, instant now) -> void;

/// Handles the announcement of a new holder by itself. Returns false if a later lease is known.
auto on_lease_announced(lease_candidate& state, const lease_object& object, instant now) -> bool;

/// Records whether the process of @a holder refused a connection, so that it has ended.
auto on_holder_called(lease_candidate& state, const instance_id& holder, bool has_refused) -> void;

/// Returns the write to start at @a now, if any. An @a eager candidate acquires a free or expired lease at
/// once, the others wait for one more term. @a holder_gone: the holder is believed dead, so the end of its
/// term is not awaited, as with one that refused a connection; if it is alive it only loses the lease,
/// because safety does not depend on the lease.
auto next_lease_write(lease_candidate& state, bool eager, bool holder_gone, instant now)
    -> std::optional<lease_write>;

/// Returns the write with which the holder of a lost lease, or of an expired one, renews it.
/// @pre `last_known` names this candidate, and no other candidate can have acted as holder since.
auto reclaim_lease(lease_candidate& state, instant now) -> lease_write;

/// Records that the pending write succeeded and created @a version.
auto on_lease_written(lease_candidate& state, const lease_object& object, const store_revision& version,
                      instant now) -> void;

/// The pending write was rejected or its outcome is unknown; the object has to be read again.
auto on_lease_write_failed(lease_candidate& state, instant now) -> void;

/// Releases the lease for a planned stop. Returns the write that frees it, if it is held.
auto release_lease(lease_candidate& state, instant now) -> std::optional<lease_write>;

/// Whether the lease is held at @a now. The term counts from before the write was sent, so that the holder
/// stops before another candidate can acquire the lease.
auto holds_lease(const lease_candidate& state, instant now) -> bool;

} // namespace teaselcross
