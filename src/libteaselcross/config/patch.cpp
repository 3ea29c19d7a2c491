#include "config/patch.h"

#include <algorithm>

namespace teaselcross {

auto applied_version(const configuration& current, const std::string& id) -> std::optional<std::uint64_t> {
    const auto found = std::find_if(current.recent.begin(), current.recent.end(),
                                    [&](const auto& record) { return record.accepted.id == id; });
    if (found == current.recent.end()) {
        return std::nullopt;
    }
    return found->version;
}

auto apply_patch(const configuration& current, const patch& change)
    -> tl::expected<configuration, patch_refusal> {
    if (const auto version = applied_version(current, change.id)) {
        return tl::unexpected(patch_refusal{already_applied{*version}});
    }
    if (change.base != current.version) {
        return tl::unexpected(patch_refusal{version_conflict{current.version}});
    }
    auto next = current;
    next.document.merge_patch(change.changes);
    if (const auto parsed = parse_description(next.document); !parsed) {
        return tl::unexpected(patch_refusal{parsed.error()});
    }
    next.version = current.version + 1;
    next.recent.push_back({.version = next.version, .accepted = change});
    while (next.recent.size() > recent_patch_limit) {
        next.recent.pop_front();
    }
    return next;
}

auto to_json(const patch_record& record) -> nlohmann::json {
    const auto& accepted = record.accepted;
    return {{"version", record.version},  {"id", accepted.id},   {"base", accepted.base},
            {"who", accepted.who},        {"why", accepted.why}, {"when_ms", accepted.when.count()},
            {"changes", accepted.changes}};
}

auto to_json(const configuration& whole) -> nlohmann::json {
    auto recent = nlohmann::json::array();
    for (const auto& record : whole.recent) {
        recent.push_back(to_json(record));
    }
    return {{"version", whole.version}, {"document", whole.document}, {"recent", recent}};
}

auto configuration_from_json(const nlohmann::json& object) -> configuration {
    auto whole = configuration{.version = object.at("version").get<std::uint64_t>(),
                               .document = object.at("document"),
                               .recent = {}};
    for (const auto& entry : object.at("recent")) {
        whole.recent.push_back({.version = entry.at("version").get<std::uint64_t>(),
                                .accepted = {.id = entry.at("id").get<std::string>(),
                                             .base = entry.at("base").get<std::uint64_t>(),
                                             .who = entry.at("who").get<std::string>(),
                                             .why = entry.at("why").get<std::string>(),
                                             .when = wall_time{entry.at("when_ms").get<std::int64_t>()},
                                             .changes = entry.at("changes")}});
    }
    return whole;
}

} // namespace teaselcross
