#pragma once

// What the control thread tells the forward thread about a target that is kept here.

#include "delivery/operation_table.h"
#include "http/connection_pool.h"
#include "ownership/grant.h"

#include <set>

namespace teaselcross {

struct keeper_view {
    target_id target;
    service_id service;
    delegation_epoch epoch = 0;
    endpoint address;
    incarnation_number incarnation = 0; ///< 0 while the target's process is not known.
    std::map<shard_id, fence_number> granted;
    std::vector<granted_shard>
        closing;             ///< No new requests; the forward thread says when the old ones are done.
    instant serving_until{}; ///< Judged early.
    bool live = false;       ///< The target answers, and no earlier keeper can reach it.
    bool draining = false;   ///< Operators want no new work there.
    std::uint32_t slots = 1;
    std::uint32_t cold_slots = 1;
    std::uint32_t warm_up_requests = 32;
    std::uint32_t queue_limit = 64;
    bool durable_intents = true;
    wall_time memory_since{};
};

/// What a keeper hands to the next one.
struct operation_handover {
    bool stopped = false; ///< Nothing is in flight any more.
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0;
    wall_time memory_since{};
    std::map<std::string, operation_record> records;
};

/// What the forward thread tells the control thread about a kept target.
struct target_load {
    target_id target;
    double warmth = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t waiting = 0;
    std::vector<granted_shard> drained; ///< Closing shards without requests.
};

} // namespace teaselcross
