#pragma once

// The messages between the control thread and the forward thread about a kept target.

#include "delivery/operation_table.h"
#include "http/connection_pool.h"
#include "ownership/grant.h"

#include <set>

namespace teaselcross {

/// The state of a kept target that the forward thread needs.
struct keeper_view {
    target_id target;
    service_id service;
    delegation_epoch epoch = 0;
    endpoint address;
    incarnation_number incarnation = 0; ///< 0 while the target's process is unknown.
    std::map<shard_id, fence_number> granted;
    std::vector<granted_shard>
        closing; ///< Shards without new requests; the forward thread reports when they are drained.
    instant serving_until{}; ///< End of the permission to send, with a safety margin.
    bool live = false;       ///< The target answers, and no earlier keeper can reach it.
    bool draining = false;   ///< An operator has taken the target out of service: no new work.
    std::uint32_t slots = 1;
    std::uint32_t cold_slots = 1;
    std::uint32_t warm_up_requests = 32;
    std::uint32_t queue_limit = 64;
    bool durable_intents = true;
    wall_time memory_since{};
};

/// What a keeper hands over to the next one.
struct operation_handover {
    bool stopped = false; ///< Nothing is in flight any more.
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0;
    wall_time memory_since{};
    std::map<std::string, operation_record> records;
};

/// Load figures that the forward thread reports about a kept target.
struct target_load {
    target_id target;
    double warmth = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t waiting = 0;
    std::vector<granted_shard> drained; ///< Closing shards without requests waiting or in flight.
};

} // namespace teaselcross
