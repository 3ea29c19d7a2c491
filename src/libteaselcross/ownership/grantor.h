#pragma once

// The keeper's side of grants: what one target may still hold, and the proof that it holds a shard no more.
//
// A heartbeat is a grant request; its reply brings the nonce from which the next term counts. The keeper
// judges terms late: it adds the largest drift and a margin to the time at which it received the nonce.

#include "ownership/grant.h"

#include <tl/expected.hpp>

#include <optional>

namespace teaselcross {

struct grantor_options {
    duration term = std::chrono::milliseconds{1200};
    duration heartbeat = std::chrono::milliseconds{300};
    duration reply_timeout = std::chrono::milliseconds{600};
    duration silence_limit =
        std::chrono::milliseconds{900}; ///< Without a reply for so long a target is silent.
    duration margin = std::chrono::milliseconds{50};
    std::uint32_t drift_ppm = 500;
    bool checks_fence = false;
};

/// What the keeper knows of the target's process.
enum class target_phase { unknown, live, silent, gone };
constexpr enum_table<target_phase, 4> target_phase_names{"unknown", "live", "silent", "gone"};

/// Why a shard is known not to be held by the target any more.
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
    instant nonce_requested_at{}; ///< When the request whose reply brought the nonce was sent.
    instant nonce_received_at{};
    instant accepted_term_start{}; ///< From here the term of the accepted shards counts, judged early.
    instant last_reply{};
    instant phase_since{};

    std::optional<grant_request> outstanding;
    instant outstanding_sent{};
    instant outstanding_term_start{}; ///< From here the term that it grants counts, judged early.
    instant next_heartbeat{};

    /// Shards that the target may hold, with the instant after which it cannot under its term.
    std::map<shard_id, instant> possible;
    /// Why each shard that was once possible is so no more; the last reason counts.
    std::map<shard_id, clear_proof> clear_proofs;

    /// The shards of the last accepted request, which the target may be sent requests for.
    std::vector<granted_shard> accepted;
    /// Another keeper has a higher epoch at the target.
    bool superseded = false;
    /// The shards of a target's process may be granted only from records read after the process was met:
    /// an earlier keeper may have moved them away and the new process remembers nothing of it.
    bool records_current = false;
    instant records_needed_since{};

    /// Grants of earlier keepers: covered once a grant of this epoch was accepted, or at this instant.
    bool predecessors_covered = false;
    std::optional<instant> predecessors_end_at;
    bool predecessors_stopped = false; ///< Each earlier keeper has said so or is gone.
};

/// Takes up a target under @a epoch. @a first is true when no keeper ever had it.
auto make_grantor(const grantor_options& options, delegation_epoch epoch, bool first, instant now) -> grantor;

/// Every earlier keeper is known to have stopped by @a now.
auto on_predecessors_stopped(grantor& state, instant now) -> void;

/// The partitions were read from the store by a call that began at @a started.
auto on_records_read(grantor& state, instant started) -> void;

/// The request to send now, if one is due. At most one request is unanswered at a time.
/// @a wanted are the shards that the target owns by the records this keeper has read.
auto next_request(grantor& state, const std::vector<granted_shard>& wanted, instant now)
    -> std::optional<grant_request>;

/// The reply to the outstanding request arrived.
auto on_reply(grantor& state, const grant_reply& reply, instant now) -> void;

/// No reply came in time, or the connection broke. The request may still be read later.
auto on_no_reply(grantor& state, instant now) -> void;

/// The target's host refused a connection: the process that held the grants is gone.
auto on_connection_refused(grantor& state, instant now) -> void;

/// Time has passed.
auto on_tick(grantor& state, instant now) -> void;

/// Asks for a heartbeat at once, because the wanted shards have changed.
auto request_heartbeat(grantor& state, instant now) -> void;

/// Whether the target holds no grant for @a shard and will get none before the keeper reads a newer record.
/// @a in_flight counts the requests for the shard that the target has not answered.
/// @pre the shard is not among the wanted ones any more.
auto prove_clear(const grantor& state, shard_id shard, std::uint32_t in_flight, instant now)
    -> tl::expected<clear_proof, clear_wait>;

/// The instant until which the keeper may send requests for granted shards, judged early.
auto serving_until(const grantor& state) -> instant;

} // namespace teaselcross
