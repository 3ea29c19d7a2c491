#include "gateway/instance_gauges.h"

#include "gateway/copy_gauges.h"

namespace teaselcross {

auto instance_gauges(const copy_states& copies, const gauge_sources& sources) -> std::vector<gauge> {
    auto values = copy_gauges(copies);
    const auto add = [&values](const char* name, const char* kind, std::size_t value) {
        values.push_back({.name = name, .kind = kind, .value = static_cast<double>(value)});
    };
    add("body_memory_bytes", "answers", sources.answer_memory.in_use());
    add("body_memory_bytes", "requests", sources.request_memory.in_use());
    const auto refused = select_largest(sources.router.refused_by_account());
    for (const auto& [account, count] : refused.largest) {
        add("account_refusals", account.c_str(), count);
    }
    if (refused.rest > 0) {
        add("account_refusals_rest", "accounts", refused.rest);
    }
    add("overdue_grant_connections", "in_use", sources.own_controller.overdue().size());
    add("overdue_grant_connections", "limit", sources.own_controller.overdue().limit());
    sources.router.shortage().append_gauges(values);
    for (const auto& quota_gauges : {sources.quotas.gauges(), sources.quota_ledger.gauges()}) {
        values.insert(values.end(), quota_gauges.begin(), quota_gauges.end());
    }
    sources.sharing.add_gauges(values);
    return values;
}

} // namespace teaselcross
