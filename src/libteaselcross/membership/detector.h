#pragma once

// Failure detection among instances by random probes with indirect help, and dissemination on the probes'
// messages, after SWIM (Das, Gupta, Motivala, 2002) with suspicion and refutation.

#include "core/time.h"
#include "membership/member.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace teaselcross {

struct detector_options {
    duration probe_period = std::chrono::milliseconds{400};
    duration direct_timeout = std::chrono::milliseconds{120};
    duration suspicion_timeout = std::chrono::milliseconds{500};
    duration dead_probe_period = std::chrono::seconds{2}; ///< Interval between probes of dead members.
    duration refresh = std::chrono::seconds{1};           ///< Maximum delay of a changed config version.
    std::uint32_t indirect_probe_count = 2;               ///< Members asked for an indirect probe.
    std::size_t updates_per_message = 8;
    duration forget_after =
        std::chrono::minutes{10}; ///< Dead and departed members are removed after this time.
};

enum class probe_kind { ping, ack, ping_request };

/// One datagram.
struct probe_message {
    probe_kind kind = probe_kind::ping;
    std::uint64_t sequence = 0;
    member sender;
    instance_id subject; ///< The probed member, or the one that answers.
    std::vector<member> updates;
};

struct outgoing_probe {
    member_address to;
    probe_message message;
};

/// The state of the detector at one instance.
struct detector {
    struct update {
        instance_id id;
        std::uint32_t transmission_count = 0;
    };
    struct probe {
        instance_id subject;
        std::uint64_t sequence = 0;
        instant sent_at{};
        bool is_indirect = false;
    };
    struct relayed_probe {
        std::uint64_t sequence = 0; ///< Of the ping sent on behalf of the requester.
        std::uint64_t requester_sequence = 0;
        instance_id subject;
        member_address requester;
        instant sent_at{};
    };

    member self;
    detector_options options;
    std::mt19937_64 random;
    std::map<instance_id, member> members; ///< All members except this instance.
    std::map<instance_id, instant> suspect_since;
    std::map<instance_id, instant> inactive_since;
    std::vector<update> updates;
    std::vector<instance_id> probe_order;
    std::size_t probe_position = 0;
    std::optional<probe> current_probe;
    std::vector<relayed_probe> relayed_probes;
    std::uint64_t next_sequence = 1;
    instant next_probe_at{};
    instant next_dead_probe{};
};

/// What changed about a member, for logs and decisions.
struct member_change {
    member current;
    std::optional<member_state> previous;
};

struct detector_result {
    std::vector<outgoing_probe> outgoing;
    std::vector<member_change> changes;
};

auto make_detector(const member& self, const detector_options& options, std::uint64_t seed) -> detector;

/// Advances the detector to @a now: handles timeouts and sends due probes.
auto on_tick(detector& state, instant now) -> detector_result;

/// Handles a received datagram.
auto on_message(detector& state, const probe_message& message, instant now) -> detector_result;

/// The host of @a id refused a datagram or a connection: it becomes suspect without a probe timeout.
auto on_refused(detector& state, const instance_id& id, instant now) -> detector_result;

/// Merges members received in bulk, from a peer or the platform's list.
auto on_members(detector& state, const std::vector<member>& learned, instant now) -> detector_result;

/// The platform's list has dropped @a id: removes the member permanently.
auto on_removed(detector& state, const instance_id& id) -> detector_result;

/// Sets the configuration version in force here; it is disseminated with the next messages.
auto set_config_version(detector& state, std::uint64_t version) -> void;

/// Marks this instance as left and returns the messages that notify some members.
auto leave(detector& state) -> detector_result;

/// Members of @a data_centre that are not dead and have not left, this instance included unless leaving.
auto live_members(const detector& state, const data_centre_id& data_centre) -> std::vector<instance_id>;

} // namespace teaselcross
