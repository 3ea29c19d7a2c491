#pragma once

// The keeper's side of grants: what one target may still hold, and the proof that it no longer holds a shard.
//
// A heartbeat is a grant request; its reply carries the nonce from which the next term counts. The keeper
// takes the latest possible end of a term: it adds the largest drift and a margin to the time at which it
// received the nonce.

#include "ownership/grant.h"

#include <tl/expected.hpp>

#include <optional>

namespace teaselcross {

struct grantor_options {
    duration term = std::chrono::milliseconds{1200};
    duration heartbeat_interval = std::chrono::milliseconds{300};
    duration reply_timeout = std::chrono::milliseconds{600};
    duration silence_limit =
        std::chrono::milliseconds{900}; ///< A target without a reply for this long is silent.
    duration margin = std::chrono::milliseconds{50};
    std::uint32_t drift_ppm = 500;
    bool checks_fence = false;
};

/// The state of the target's process.
enum class target_phase { unknown, live, silent, gone };
constexpr enum_table<target_phase, 4> target_phase_names{"unknown", "live", "silent", "gone"};

/// Why a shard is known to be clear, which means that the target no longer holds it.
enum class clear_proof { released, process_gone, term_ended, never_granted };
constexpr enum_table<clear_proof, 4> clear_proof_names{"released", "process_gone", "term_ended",
                                                       "never_granted"};

/// What the proof is waiting for.
enum class clear_wait { requests_in_flight, release, term_end, process_end, predecessor };
constexpr enum_table<clear_wait, 5> clear_wait_names{"requests_in_flight", "release", "term_end",
                                                     "process_end", "predecessor"};

/// The state of one target's grants at its keeper, under one delegation epoch.
struct grantor {
    grantor_options options;
    delegation_epoch epoch = 0;

    target_phase phase = target_phase::unknown;
    incarnation_number incarnation = 0;
    nonce_number nonce = 0;
    instant nonce_requested_at{}; ///< When the request whose reply carried the nonce was sent.
    instant nonce_received_at{};
    instant accepted_term_start{}; ///< Earliest start of the accepted shards' term.
    instant last_reply_at{};
    instant phase_since{};

    std::optional<grant_request> outstanding;
    instant outstanding_sent_at{};
    instant outstanding_term_start{}; ///< Earliest start of the term that it grants.
    instant next_heartbeat_at{};

    /// Shards that the target may hold, with the instant after which it cannot under its term.
    std::map<shard_id, instant> may_hold_until;
    /// Why each shard that was removed from `may_hold_until` is no longer held; the last reason counts.
    std::map<shard_id, clear_proof> clear_proofs;

    /// The shards of the last accepted request; client requests for them may be sent to the target.
    std::vector<granted_shard> accepted;
    /// Another keeper has a higher epoch at the target.
    bool superseded = false;
    /// Whether the records were read after the target's current process was first seen. Only then may shards
    /// be granted: they may have been moved away under an earlier keeper, and the new process has no memory
    /// of it.
    bool records_current = false;
    instant records_needed_since{};

    /// Grants of earlier keepers: covered once a grant of this epoch was accepted, or at this instant.
    bool predecessors_covered = false;
    std::optional<instant> predecessors_end_at;
    bool predecessors_stopped = false; ///< Each earlier keeper has confirmed its stop or is gone.
};

/// Creates the state for a target under @a epoch. @a first is true when it never had another keeper.
auto make_grantor(const grantor_options& options, delegation_epoch epoch, bool first, instant now) -> grantor;

/// Records that every earlier keeper is known to have stopped by @a now.
auto on_predecessors_stopped(grantor& state, instant now) -> void;

/// The partitions were read from the store by a call that began at @a started.
auto on_records_read(grantor& state, instant started) -> void;

/// The request to send now, if one is due. At most one request is unanswered at a time.
/// @a wanted are the shards that the target owns by the records this keeper has read.
auto next_request(grantor& state, const std::vector<granted_shard>& wanted, instant now)
    -> std::optional<grant_request>;

/// Handles the reply to the outstanding request.
auto on_reply(grantor& state, const grant_reply& reply, instant now) -> void;

/// The reply timed out or the connection failed. The target may still read the request later.
auto on_no_reply(grantor& state, instant now) -> void;

/// The target's host refused a connection: the process that held the grants is gone.
auto on_connection_refused(grantor& state, instant now) -> void;

/// Applies the passing of time: expires terms and detects silence.
auto on_tick(grantor& state, instant now) -> void;

/// Schedules a heartbeat at once, because the wanted shards have changed.
auto request_heartbeat(grantor& state, instant now) -> void;

/// Whether the target holds no grant for @a shard and will get none before the keeper reads a newer record.
/// @a in_flight counts the requests for the shard that the target has not answered.
/// @pre the shard is no longer among the wanted ones.
auto prove_clear(const grantor& state, shard_id shard, std::uint32_t in_flight, instant now)
    -> tl::expected<clear_proof, clear_wait>;

/// The instant until which the keeper may send requests for granted shards, by the earliest end of the term.
auto serving_until(const grantor& state) -> instant;

} // namespace teaselcross
