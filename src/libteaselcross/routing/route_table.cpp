#include "routing/route_table.h"

namespace teaselcross {

auto needs_account(const route_table& table, const route_rule& rule) -> bool {
    return table.accounts != nullptr && !rule.is_public;
}

auto rank_in_force(const route_rule& rule, const client_account* account) -> std::uint32_t {
    return account == nullptr ? rule.rank : account->rank.value_or(rule.rank);
}

auto find_route(const route_table& table, std::string_view host, std::string_view path) -> const route_rule* {
    const auto found = table.rules_by_host.find(host);
    if (found == table.rules_by_host.end()) {
        return nullptr;
    }
    const route_rule* best = nullptr;
    for (const auto& rule : found->second) {
        const auto is_longer = best == nullptr || rule.path_prefix.size() > best->path_prefix.size();
        if (is_longer && path.starts_with(rule.path_prefix)) {
            best = &rule;
        }
    }
    return best;
}

} // namespace teaselcross
