#pragma once

// Decides which target holds which range of a service's keys, when grants are renewed, and when a range may
// move.
//
// A range moves in four steps: the intent with a new fence is recorded, the holder is asked to release, the
// holder is proved to hold nothing, and the next holder is granted the range. The proof is one of: the
// release was answered and no earlier grant can still take effect; the holder's process is known to be gone;
// or every grant has run out, judged late. Silence alone proves nothing.
//
// After Gray and Cheriton, "Leases" (1989), with fences as in Burrows, "The Chubby lock service" (2006).

#include "core/enum_names.h"
#include "core/time.h"
#include "keyspace/key_map.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselcross {

struct grantor_options {
    /// Of one grant. A lost holder's keys wait for it to run out; it outlives a change of the controller,
    /// which takes the lease's term and one renewal.
    duration hold = std::chrono::milliseconds{2600};
    duration renewal = std::chrono::milliseconds{600};
    duration retry = std::chrono::milliseconds{120}; ///< After a grant without an answer.
    duration call_timeout =
        std::chrono::milliseconds{500}; ///< A call is cut off then, so it cannot arrive later.
    duration release_timeout = std::chrono::milliseconds{2000}; ///< A release waits for the work on the keys.
    duration margin = std::chrono::milliseconds{150};           ///< For timers that fire late.
    double clock_error = 0.02;                                  ///< How slow a holder's clock may run.
    std::uint32_t failures_until_lost = 4; ///< Grants in a row without an answer after which ranges move.
};

/// A target that may hold keys.
struct key_holder {
    target_incarnation life;
    bool eligible = false; ///< May be given more keys.
    bool leaving = false;  ///< Its ranges have to move.
    double weight = 1;     ///< Requests a second that it bears.
};

/// What the controller knows of one range beside the record.
struct range_progress {
    instant may_hold_until{};   ///< Every grant that was sent has run out by then.
    instant held_before_call{}; ///< The same without the pending call, in case it is never sent.
    instant next_call{};
    bool call_pending = false;
    bool released = false;  ///< The holder has answered the release.
    bool confirmed = false; ///< The holder has answered a grant of this fence.
    bool given_up = false;  ///< The holder was asked to release, so it is never granted this fence again.
    /// Whom an earlier controller may have granted the range already, beside the recorded holder.
    target_incarnation promised;
    std::string handover; ///< From the last holder, for the next grant.
};

enum class order_kind { grant, release };
constexpr enum_table<order_kind, 2> order_kind_names{"grant", "release"};

/// A call to make at a target.
struct key_order {
    order_kind kind = order_kind::grant;
    target_incarnation to;
    shard_key first = 0;
    shard_key last = 0;
    std::uint64_t fence = 0;
    duration hold{};
    std::string handover;
};

enum class order_result { done, refused, unanswered, not_sent };
constexpr enum_table<order_result, 4> order_result_names{"done", "refused", "unanswered", "not_sent"};

struct holder_progress {
    std::uint32_t failures = 0; ///< Grants in a row without an answer.
    instant uncertain_until{};  ///< An unanswered grant may take effect until it would have run out.
};

struct range_grantor {
    grantor_options options;
    key_map map;
    bool changed = false; ///< The map differs from what the store has.
    bool writing = false; ///< A write of the map is in flight.
    bool owns_record =
        false; ///< The record was written since take_over(): no earlier controller can change it.
    std::set<std::uint64_t> intents; ///< Fences of moves whose intent has not been recorded.
    std::map<std::uint64_t, std::map<shard_key, range_progress>> progress; ///< By fence, then first key.
    std::map<target_id, key_holder> holders;
    std::map<target_id, holder_progress> answers;
    instant moves_from{}; ///< An earlier controller may have sent grants that hold until then.
};

/// Takes over the records of an earlier controller, or none. Until @a moves_from, grants of the earlier
/// controller may take effect at any holder. No order is given before the record was written once: then the
/// earlier controller can record no further move, and those that it did record are known here.
auto take_over(range_grantor& state, key_map map, instant moves_from, instant now) -> void;

/// The targets that exist now. Holders missing from the list have gone from the platform's list.
auto set_holders(range_grantor& state, std::map<target_id, key_holder> holders) -> void;

/// Gives all keys to eligible holders by weight. Precondition: the map is empty. False when there are none.
auto assign_first(range_grantor& state) -> bool;

/// Starts to move the keys @a first to @a last, which must lie in one range that is not moving, to @a to.
auto start_move(range_grantor& state, shard_key first, shard_key last, const target_incarnation& to) -> void;

/// Starts to move ranges whose holder is leaving, gone, reborn or silent. @a load gives requests a second by
/// range index.
auto evict_holders(range_grantor& state, const std::vector<double>& load, instant now) -> void;

/// The calls to make now. Each is reported back by on_order_ended().
auto due_orders(range_grantor& state, instant now) -> std::vector<key_order>;

/// @a sent is when the call began.
auto on_order_ended(range_grantor& state, const key_order& order, order_result result,
                    const std::string& handover, instant sent, instant now) -> void;

/// The map to write to the store now, if any; `writing` is set until on_written() or on_write_lost().
auto next_write(range_grantor& state) -> std::optional<key_map>;
/// @a written took effect as @a revision.
auto on_written(range_grantor& state, const key_map& written, std::uint64_t revision) -> void;

/// Whether range @a index has a holder that answers for it.
auto is_served(const range_grantor& state, std::size_t index) -> bool;

} // namespace teaselcross
