#pragma once

#include "gateway/replica_messages.h"
#include "metrics/metrics.h"

namespace teaselcross {

/// The revision and the age of each copy of the store's objects. Thread safe.
auto copy_gauges(const copy_states& copies) -> std::vector<gauge>;

} // namespace teaselcross
