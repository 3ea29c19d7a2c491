#pragma once

// What an instance has learnt of the requests of each rule, over the versions of the configuration.
//
// It is kept by what callers address, not by the rule's name: a later version may give the name to other
// paths. What depends on the service that answers is kept by service.

#include "admission/retry_detection.h"
#include "routing/service_split.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace teaselcross {

/// Of the requests of one rule. Not thread safe.
struct rule_history {
    split_position split;
    patience_window patience;
    std::map<service_id, double> mean_answer_bytes; ///< Exponentially smoothed.
};

/// The requests that a rule applies to, as far as callers see them.
struct rule_key {
    std::string host;
    std::string path_prefix;
    request_kind kind = request_kind::at_most_once;

    auto operator<=>(const rule_key&) const = default;
};

/// Not thread safe.
struct rule_histories {
    std::map<rule_key, std::shared_ptr<rule_history>> by_rule;
};

/// Returns the history of @a rule, which @a table has for @a host; a new one if there is none. Drops those of
/// rules that the table no longer has once there are more histories than rules.
auto find_history(rule_histories& state, const route_table& table, std::string_view host,
                  const route_rule& rule) -> std::shared_ptr<rule_history>;

/// Records the size of an answer of @a service to a request of @a rule.
auto record_answer_size(rule_history& history, const route_rule& rule, const service_id& service,
                        std::size_t bytes) -> void;

/// Mean size of the answers of @a service in bytes; 0 if it has not answered yet.
auto mean_answer_bytes(const rule_history& history, const service_id& service) -> double;

} // namespace teaselcross
