#include "ownership/grant.h"

namespace teaselcross {

auto grant_holder::handle_request(const grant_request& request, instant now) -> grant_reply {
    if (request.epoch < m_epoch) {
        return reply(grant_result::old_epoch);
    }
    const auto new_keeper = request.epoch > m_epoch;
    const auto first_contact = request.nonce == 0;
    if (request.incarnation != 0 && request.incarnation != m_incarnation) {
        return reply(grant_result::other_incarnation);
    }
    if (!first_contact && (request.nonce != m_nonce || new_keeper)) {
        return reply(grant_result::old_nonce);
    }
    m_epoch = request.epoch;
    if (!first_contact) {
        // The term counts from the nonce and not from now: the request may have been queued for a long time.
        m_expiry = m_nonce_issued_at + request.term;
        m_shards.clear();
        for (const auto& granted : request.shards) {
            m_shards[granted.shard] = granted.fence;
        }
    }
    ++m_nonce;
    m_nonce_issued_at = now;
    return reply(grant_result::accepted);
}

auto grant_holder::owns(shard_id shard, instant now) const -> bool {
    return now < m_expiry && m_shards.contains(shard);
}

auto grant_holder::owns(shard_id shard, fence_number fence, instant now) const -> bool {
    const auto found = m_shards.find(shard);
    return now < m_expiry && found != m_shards.end() && found->second == fence;
}

auto grant_holder::reply(grant_result result) const -> grant_reply {
    return {.result = result, .incarnation = m_incarnation, .nonce = m_nonce};
}

} // namespace teaselcross
