#pragma once

// The calls with which a controller grants ranges of keys to targets and takes them back.

#include "core/enum_names.h"
#include "core/time.h"
#include "keyspace/key_map.h"

#include <string>

namespace teaselcross {

/// Why the keys of a range could be granted to a new holder.
enum class move_proof {
    none,        ///< The keys had no holder before.
    same_holder, ///< The holder keeps the keys under another fence.
    released,    ///< The earlier holder has acknowledged the release.
    restarted,   ///< The earlier holder's process has ended, and the one that replaced it has released.
    expired,     ///< Every grant to the earlier holder has expired.
};
constexpr enum_table<move_proof, 5> move_proof_names{"none", "same_holder", "released", "restarted",
                                                     "expired"};

enum class command_kind { grant, release };
constexpr enum_table<command_kind, 2> command_kind_names{"grant", "release"};

/// A call to a target, to grant or release a range of keys.
struct holder_command {
    command_kind kind = command_kind::grant;
    target_incarnation to;
    shard_key first = 0;
    shard_key last = 0;
    std::uint64_t fence = 0;
    duration term{};
    std::string handover;
    std::uint64_t call = 0;              ///< Identifies the call, once it is made.
    std::uint64_t behind = 0;            ///< Of a release that follows this call on its connection.
    instant decided_at{};                ///< Of a release behind another call.
    bool is_first = false;               ///< The holder has not acknowledged a grant with this fence before.
    target_incarnation earlier_holder;   ///< Before this holder, if there was one.
    instant earlier_answered_at{};       ///< When that one last acknowledged a grant, if it did.
    move_proof proof = move_proof::none; ///< Why this holder could get the keys.
    bool has_place = false;              ///< It is in the order window until it ends.
};

enum class command_result {
    done,
    refused,
    unanswered, ///< The call was aborted or its connection ended; the target may still carry it out.
    not_sent,
    overdue, ///< Not answered within its time limit; the answer is still awaited on the connection.
};
constexpr enum_table<command_result, 5> command_result_names{"done", "refused", "unanswered", "not_sent",
                                                             "overdue"};

} // namespace teaselcross
