#pragma once

// Fenced grants: the messages between a target's keeper and the target, and the target's side of them.
// The target's side has no other dependencies, so that targets can embed it.

#include "core/time.h"
#include "ownership/partition.h"

#include <map>

namespace teaselcross {

/// Identifies one start of a target; chosen anew at each start.
using incarnation_number = std::uint64_t;
/// Issued by the target with each reply; a grant's term starts when the target issued the nonce it names.
using nonce_number = std::uint64_t;
/// Increases each time the keeper of a target changes.
using delegation_epoch = std::uint64_t;

struct granted_shard {
    shard_id shard{};
    fence_number fence = 0;

    auto operator==(const granted_shard&) const -> bool = default;
};

/// A keeper's request. The list of shards is complete: a shard that is not listed is released.
struct grant_request {
    delegation_epoch epoch = 0;
    incarnation_number incarnation = 0; ///< 0 when the keeper does not know the target yet.
    nonce_number nonce = 0; ///< From the target's last reply, 0 for none: then nothing is granted.
    duration term{};
    std::vector<granted_shard> shards;

    auto operator==(const grant_request&) const -> bool = default;
};

/// The target's verdict on a request.
enum class grant_result { accepted, old_epoch, other_incarnation, old_nonce };
constexpr enum_table<grant_result, 4> grant_result_names{"accepted", "old_epoch", "other_incarnation",
                                                         "old_nonce"};

struct grant_reply {
    grant_result result = grant_result::accepted;
    incarnation_number incarnation = 0;
    nonce_number nonce = 0;

    auto operator==(const grant_reply&) const -> bool = default;
};

/// The target's side: the shards it may serve by its own clock. The term counts from when the nonce was
/// issued, so that it ends here before it ends for the keeper.
class grant_holder {
public:
    /// @pre incarnation differs from those of all earlier starts of the target.
    explicit grant_holder(incarnation_number incarnation) : m_incarnation{incarnation} {}

    /// Handles a request that was read at @a now. Requests with an old epoch, for another incarnation or
    /// with an old nonce change nothing. Not thread safe.
    auto handle_request(const grant_request& request, instant now) -> grant_reply;

    /// Whether the shard is owned at @a now. A caller that acts later has to check again.
    auto owns(shard_id shard, instant now) const -> bool;
    /// Whether the shard is owned under exactly @a fence at @a now.
    auto owns(shard_id shard, fence_number fence, instant now) const -> bool;

    auto incarnation() const -> incarnation_number { return m_incarnation; }
    auto epoch() const -> delegation_epoch { return m_epoch; }
    /// The end of the current term.
    auto expiry() const -> instant { return m_expiry; }
    auto shards() const -> const std::map<shard_id, fence_number>& { return m_shards; }

private:
    auto reply(grant_result result) const -> grant_reply;

    incarnation_number m_incarnation;
    delegation_epoch m_epoch = 0;
    nonce_number m_nonce = 0;
    instant m_nonce_issued_at{};
    instant m_expiry{};
    std::map<shard_id, fence_number> m_shards;
};

} // namespace teaselcross
