#pragma once

// Decides which target holds which range of a service's keys, when grants are renewed, and when a range may
// be transferred.
//
// A range moves in four steps: the intent with a new fence is recorded, the holder is asked to release, the
// holder is proved to hold nothing, and the next holder is granted the range. The proof is one of: the
// release was acknowledged, and no earlier grant can still take effect; or every grant has expired under the
// slowest clock. A missing reply alone proves nothing, and neither does the end of the holder's process: no
// answer names the process that gave it, so the next one may have answered grants that were meant for it.
//
// An expired grant may still be taken by a holder whose process was suspended while the call waited in its
// sockets. A holder that left a grant unanswered is therefore asked to release its former keys until it has.
//
// See Gray and Cheriton, "Leases" (1989), and, for the fencing tokens, Burrows, "The Chubby lock service"
// (2006).

#include "ownership/order_window.h"
#include "ownership/overdue_grants.h"
#include "ownership/stale_grants.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselcross {

struct range_grantor_options {
    /// Term of one grant. A lost holder's keys stay unassigned until it expires; it outlasts a change of
    /// controller, which takes the lease's term and one renewal interval.
    duration grant_term = std::chrono::milliseconds{2600};
    duration renewal_interval = std::chrono::milliseconds{600};
    duration retry_delay = std::chrono::milliseconds{120};  ///< After a grant without a reply.
    duration call_timeout = std::chrono::milliseconds{500}; ///< After it was sent, a call is aborted.
    duration release_timeout =
        std::chrono::milliseconds{2000}; ///< A release waits for the requests in flight on the keys.
    duration margin = std::chrono::milliseconds{150}; ///< For timers that fire late.
    /// A grant that was aborted unanswered may still be read from the holder's sockets within this time.
    duration late_reading = std::chrono::milliseconds{1000};
    double clock_drift = 0.02;               ///< Largest relative lag of a holder's clock.
    std::uint32_t max_unanswered_grants = 4; ///< Consecutive unanswered grants after which ranges are moved.
};

/// How long a grant of another controller may remain in force after that controller stopped. Thread safe.
auto max_remaining_hold(const range_grantor_options& options) -> duration;

/// A target that may hold keys.
struct key_holder {
    target_incarnation incarnation;
    bool eligible = false; ///< May be assigned more keys.
    bool leaving = false;  ///< Its ranges have to be moved away.
    double capacity = 1;   ///< In requests per second.
};

/// The controller's state for one range, in addition to the stored record.
struct range_progress {
    instant may_hold_until{};          ///< Every grant that was sent has expired by then.
    instant previous_may_hold_until{}; ///< The value before the pending call, restored if that is not sent.
    instant next_call_at{};
    bool call_pending = false;
    bool released = false;          ///< The holder has acknowledged the release.
    bool confirmed = false;         ///< The holder has acknowledged a grant with this fence.
    bool release_requested = false; ///< The holder was asked to release, so this fence is not granted again.
    /// Another target that an earlier controller may already have granted the range to.
    target_incarnation possible_holder;
    std::string handover;                ///< Handover token from the last holder, sent with the next grant.
    instant answered_at{};               ///< When the holder last acknowledged a grant of the keys.
    std::uint64_t answered_call = 0;     ///< The call of that grant.
    instant other_answered_at{};         ///< When it last acknowledged a grant by another call.
    target_incarnation earlier_holder;   ///< The holder before this fence, if there was one.
    instant earlier_answered_at{};       ///< When that one last acknowledged a grant.
    move_proof proof = move_proof::none; ///< Why the keys were free.
};

struct holder_responses {
    std::uint32_t consecutive_failures = 0; ///< Consecutive grants without a reply.
    bool has_failed_release = false;        ///< A release failed too since the target last answered one.
    instant uncertain_until{};              ///< An unanswered grant may take effect until then.
};

struct range_grantor {
    range_grantor_options options;
    key_map map;
    bool changed = false;           ///< The map differs from the stored one.
    bool writing = false;           ///< A write of the map is in flight.
    std::uint64_t recorded_era = 0; ///< Era of the store in which this controller last wrote the map.
    bool owns_record =
        false; ///< The record was written since take_over(): no earlier controller can change it.
    std::set<std::uint64_t> unrecorded_intents; ///< Fences of moves whose intent has not been recorded.
    std::map<std::uint64_t, std::map<shard_key, range_progress>> progress; ///< By fence, then first key.
    std::map<target_id, key_holder> holders;
    std::map<target_id, holder_responses> responses;
    order_window window;          ///< Limits the commands that are in flight.
    overdue_grants overdue;       ///< Grants whose answers are awaited beyond their time limit.
    stale_grants former;          ///< What former holders may still take for valid.
    instant taken_over_at{};      ///< When take_over() was called.
    instant moves_allowed_from{}; ///< Grants of an earlier controller may be valid until then.
    /// Moves that an earlier controller recorded may have been lost with the store, so nothing is granted
    /// before all its grants have expired. Until then the map says so to any successor.
    bool record_lost = false;
    instant
        lost_grants_until{}; ///< With record_lost: grants of an earlier controller may be valid until then.
};

/// Takes over the record of an earlier controller, which may be empty. Until @a moves_allowed_from, grants of
/// the earlier controller may take effect at any holder. No command is sent before the record was written
/// once: after that write the earlier controller can record no further move, and all moves it recorded are in
/// @a map.
auto take_over(range_grantor& state, key_map map, instant moves_allowed_from, instant now) -> void;

/// Takes over when the record of the earlier controller was lost with the store. @a last_known is the latest
/// map that is known, perhaps an empty one: its ranges keep their holders, under new fences, but nothing is
/// granted before @a moves_allowed_from and @a lost_grants_until.
auto take_over_lost_record(range_grantor& state, key_map last_known, instant moves_allowed_from,
                           instant lost_grants_until, instant now) -> void;

/// Lets the holder of all grants go on after the store was restored: the record is written anew, over the
/// object that the store has as @a version now, in the era of that version.
auto rewrite_record(range_grantor& state, const store_revision& version) -> void;

/// Sets the targets that exist now. A target that is missing was removed from the platform's list.
auto set_holders(range_grantor& state, std::map<target_id, key_holder> holders) -> void;

/// Assigns all keys to the eligible holders in proportion to their capacity. Returns false when there are
/// none.
/// @pre the map is empty.
auto assign_initial_ranges(range_grantor& state) -> bool;

/// Starts to move the keys @a first to @a last, which must lie in one range that is not moving, to @a to.
auto start_move(range_grantor& state, shard_key first, shard_key last, const target_incarnation& to) -> void;

/// Starts to move ranges whose holder is leaving, removed, restarted or unresponsive. @a load gives requests
/// per second by range index.
auto start_evictions(range_grantor& state, const std::vector<double>& load, instant now) -> void;

/// Returns the commands to send now, as far as the window has room for them; those that have been due for
/// longest go first. The caller reports the result of each with on_command_finished().
auto due_commands(range_grantor& state, instant now) -> std::vector<holder_command>;

/// Records the result of a command. @a sent is when the call began.
auto on_command_finished(range_grantor& state, const holder_command& command, command_result result,
                         const std::string& handover, instant sent, instant now) -> void;

/// Records the answer to a grant that was `overdue`, or with `unanswered` that there will be none. @a call
/// identifies the grant. A former holder that has read it only now is asked to release its keys at once.
auto on_overdue_answer(range_grantor& state, std::uint64_t call, command_result result, instant now) -> void;

/// Records that the connection of the `overdue` grant that was sent with @a call was closed although the
/// target may still read the grant. The grant counts as read at the latest possible time.
auto on_overdue_connection_closed(range_grantor& state, std::uint64_t call) -> void;

/// Records that the release @a command, which was sent behind an overdue grant, was answered after that
/// grant.
auto on_release_behind_answered(range_grantor& state, const holder_command& command,
                                const std::string& handover) -> void;

/// Returns the map to write to the store now, if any; `writing` stays set until on_written().
auto next_write(range_grantor& state) -> std::optional<key_map>;
/// The map could not be written, and another attempt is needed.
auto on_write_failed(range_grantor& state) -> void;
/// Records that @a written is in the store as @a revision.
auto on_written(range_grantor& state, const key_map& written, const store_revision& revision) -> void;

/// Whether the store has in @a era a record of all ranges, and no grant is missing from it.
auto is_recorded(const range_grantor& state, std::uint64_t era) -> bool;

/// Whether each grant to @a holder was answered, or its connection has ended or was closed and it has expired
/// since.
auto is_certain(const range_grantor& state, const target_id& holder, instant now) -> bool;

/// Whether range @a index is not moving and its holder has acknowledged the grant.
auto is_served(const range_grantor& state, std::size_t index) -> bool;

} // namespace teaselcross
