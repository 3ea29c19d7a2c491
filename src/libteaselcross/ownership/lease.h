#pragma once

// Election of a data centre's controller by one lease object in the platform's store.
//
// The lease keeps two controllers from working against each other. Safety does not rest on it: all writes of
// controllers are conditional. See docs/decisions/0002-ownership.md.

#include "core/identifier.h"
#include "core/time.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace teaselcross {

struct lease_options {
    duration term = std::chrono::milliseconds{2000};
    duration renewal = std::chrono::milliseconds{600};
    duration margin = std::chrono::milliseconds{100};
    std::uint32_t drift_ppm = 500;
};

/// The lease object. Each write raises `renewals`, so that a watcher sees that the holder is there.
struct lease_object {
    instance_id holder;
    std::uint64_t epoch = 0;
    std::uint64_t renewals = 0;

    auto operator==(const lease_object&) const -> bool = default;
};

auto to_json(const lease_object& object) -> nlohmann::json;
auto lease_object_from_json(const nlohmann::json& object) -> lease_object;

/// One candidate's view of the lease.
struct lease_candidate {
    instance_id self;
    lease_options options;
    std::optional<lease_object> seen; ///< As last read; none while the object does not exist.
    std::uint64_t seen_version = 0;
    bool read = false;
    instant unchanged_since{};
    std::optional<instant> held_until;
    bool write_pending = false;
    instant write_started{};
    instant next_write{};
};

/// A conditional write to make.
struct lease_write {
    lease_object object;
    std::uint64_t expected_version = 0; ///< 0: the object must not exist.
};

/// The lease object was read or watched at @a now.
auto on_lease_read(lease_candidate& state, const std::optional<lease_object>& object, std::uint64_t version,
                   instant now) -> void;

/// The write to start at @a now, if any. @a eager candidates take a free or lapsed lease at once, the others
/// leave it to them for one more term. @a holder_gone: the holder is believed dead, so its term need not be
/// waited for; a holder that is not dead merely loses the lease, because nothing rests on it.
auto next_lease_write(lease_candidate& state, bool eager, bool holder_gone, instant now)
    -> std::optional<lease_write>;

/// The pending write took effect as @a version.
auto on_lease_written(lease_candidate& state, const lease_object& object, std::uint64_t version, instant now)
    -> void;

/// The pending write was refused or its fate is unknown; the object has to be read again.
auto on_lease_write_failed(lease_candidate& state, instant now) -> void;

/// Gives the lease up, for a planned stop: the write that frees it, if it is held.
auto release_lease(lease_candidate& state, instant now) -> std::optional<lease_write>;

/// Whether the lease is held at @a now, judged early.
auto holds_lease(const lease_candidate& state, instant now) -> bool;

} // namespace teaselcross
