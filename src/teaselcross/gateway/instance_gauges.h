#pragma once

// The gauges of an instance, beside the counters and histograms of metrics.

#include "gateway/controller.h"
#include "gateway/load_sharing.h"
#include "gateway/quota_client.h"
#include "gateway/quota_service.h"
#include "gateway/replica_messages.h"
#include "gateway/request_router.h"

namespace teaselcross {

/// What the gauges are read from.
struct gauge_sources {
    const memory_budget& answer_memory;
    const memory_budget& request_memory;
    const request_router& router;
    const gateway_controller& own_controller;
    quota_client& quotas;
    const quota_service& quota_ledger;
    const load_sharing& sharing;
};

/// Reads all gauges; @a copies are the states of the copies of the store's objects. Not thread safe: use it
/// on the event loop's thread only.
auto instance_gauges(const copy_states& copies, const gauge_sources& sources) -> std::vector<gauge>;

} // namespace teaselcross
