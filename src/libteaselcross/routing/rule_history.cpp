#include "routing/rule_history.h"

#include <algorithm>

namespace teaselcross {

namespace {

auto count_rules(const route_table& table) -> std::size_t {
    auto count = std::size_t{0};
    for (const auto& [host, rules] : table.rules_by_host) {
        count += rules.size();
    }
    return count;
}

auto drop_others(rule_histories& state, const route_table& table) -> void {
    auto kept = decltype(state.by_rule){};
    for (const auto& [host, rules] : table.rules_by_host) {
        for (const auto& rule : rules) {
            const auto found =
                state.by_rule.find({.host = host, .path_prefix = rule.path_prefix, .kind = rule.kind});
            if (found != state.by_rule.end()) {
                kept.insert(*found);
            }
        }
    }
    state.by_rule = std::move(kept);
}

auto is_destination(const route_rule& rule, const service_id& service) -> bool {
    return std::any_of(rule.services.begin(), rule.services.end(),
                       [&](const auto& each) { return each.service == service; });
}

} // namespace

auto find_history(rule_histories& state, const route_table& table, std::string_view host,
                  const route_rule& rule) -> std::shared_ptr<rule_history> {
    auto& history =
        state.by_rule[{.host = std::string{host}, .path_prefix = rule.path_prefix, .kind = rule.kind}];
    if (history != nullptr) {
        return history;
    }
    history = std::make_shared<rule_history>();
    auto created = history; // The reference ends with the entry.
    if (state.by_rule.size() > count_rules(table)) {
        drop_others(state, table);
    }
    return created;
}

auto record_answer_size(rule_history& history, const route_rule& rule, const service_id& service,
                        std::size_t bytes) -> void {
    constexpr auto smoothing = 0.1; // Weight of the newest answer.
    const auto size = static_cast<double>(bytes);
    const auto [mean, is_first] = history.mean_answer_bytes.try_emplace(service, size);
    if (!is_first) {
        mean->second += (size - mean->second) * smoothing;
    } else if (history.mean_answer_bytes.size() > rule.services.size()) {
        std::erase_if(history.mean_answer_bytes,
                      [&](const auto& each) { return !is_destination(rule, each.first); });
    }
}

auto mean_answer_bytes(const rule_history& history, const service_id& service) -> double {
    const auto found = history.mean_answer_bytes.find(service);
    return found == history.mean_answer_bytes.end() ? 0.0 : found->second;
}

} // namespace teaselcross
