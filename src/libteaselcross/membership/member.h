#pragma once

// Membership records of instances.

#include "core/enum_names.h"
#include "core/identifier.h"

#include <cstdint>

namespace teaselcross {

/// A suspect has not answered; a dead instance has not refuted the suspicion in time; one that left said so.
/// None of these proves that the process has stopped.
enum class member_state { alive, suspect, dead, left };
constexpr enum_table<member_state, 4> member_state_names{"alive", "suspect", "dead", "left"};

/// The identity of the process that the instance called @a name started at @a start_time_ms. Each process is
/// a separate keeper, so identities are never reused.
auto make_instance_id(const std::string& name, std::uint64_t start_time_ms) -> instance_id;

/// The name of the instance whose process @a id is.
auto instance_name(const instance_id& id) -> std::string;

/// Where an instance listens.
struct member_address {
    std::string host; ///< An IP address.
    std::uint16_t forward_port = 0;
    std::uint16_t control_port = 0;
    std::uint16_t membership_port = 0;
    std::uint16_t operator_port = 0;

    auto operator==(const member_address&) const -> bool = default;
};

struct member {
    instance_id id;
    data_centre_id data_centre;
    member_address address;
    member_state state = member_state::alive;
    std::uint64_t incarnation = 0;    ///< Raised by the member itself, to refute or to restart.
    std::uint64_t config_version = 0; ///< The configuration in force there.

    auto operator==(const member&) const -> bool = default;
};

/// Whether @a update is newer than @a known. Only the member itself raises its incarnation.
auto supersedes(const member& update, const member& known) -> bool;

} // namespace teaselcross
