#include "keyspace/key_map.h"

#include <algorithm>

namespace teaselcross {

namespace {

constexpr auto former_holdings_field = "former_holdings";

auto range_to_json(const key_range& range) -> nlohmann::json {
    auto entry = nlohmann::json::array(
        {range.first, range.last, range.fence, range.holder.id.value(), range.holder.start_time_ms});
    if (range.is_moving()) {
        entry.push_back(range.next_fence);
        entry.push_back(range.next.id.value());
        entry.push_back(range.next.start_time_ms);
    }
    return entry;
}

auto range_from_json(const nlohmann::json& entry) -> key_range {
    constexpr auto moving_fields = 8U;
    auto range = key_range{.first = entry.at(0).get<shard_key>(),
                           .last = entry.at(1).get<shard_key>(),
                           .fence = entry.at(2).get<std::uint64_t>(),
                           .holder = {.id = target_id{entry.at(3).get<std::string>()},
                                      .start_time_ms = entry.at(4).get<std::uint64_t>()}};
    if (entry.size() >= moving_fields) {
        range.next_fence = entry.at(5).get<std::uint64_t>();
        range.next = {.id = target_id{entry.at(6).get<std::string>()},
                      .start_time_ms = entry.at(7).get<std::uint64_t>()};
    }
    return range;
}

auto ranges_to_json(const std::vector<key_range>& ranges) -> nlohmann::json {
    auto entries = nlohmann::json::array();
    for (const auto& range : ranges) {
        entries.push_back(range_to_json(range));
    }
    return entries;
}

auto holdings_to_json(const std::vector<former_holding>& holdings) -> nlohmann::json {
    auto entries = nlohmann::json::array();
    for (const auto& each : holdings) {
        entries.push_back(
            {each.first, each.last, each.fence, each.holder.id.value(), each.holder.start_time_ms});
    }
    return entries;
}

/// None if @a document, which an earlier build may have written, does not mention them. Throws
/// nlohmann::json::exception.
auto read_holdings(const nlohmann::json& document) -> std::optional<std::vector<former_holding>> {
    const auto found = document.find(former_holdings_field);
    if (found == document.end()) {
        return std::nullopt;
    }
    auto holdings = std::vector<former_holding>{};
    for (const auto& entry : *found) {
        holdings.push_back({.holder = {.id = target_id{entry.at(3).get<std::string>()},
                                       .start_time_ms = entry.at(4).get<std::uint64_t>()},
                            .first = entry.at(0).get<shard_key>(),
                            .last = entry.at(1).get<shard_key>(),
                            .fence = entry.at(2).get<std::uint64_t>()});
    }
    return holdings;
}

/// Reads the fields that a map and its changes have in common. Throws nlohmann::json::exception.
template <class Content>
auto read_content(const nlohmann::json& document, Content& content) -> void {
    content.era = document.value("era", std::uint64_t{0}); // Earlier builds write none.
    content.holders_uncertain = document.value("holders_uncertain", false);
    content.fences_used = document.at("fences_used").get<std::uint64_t>();
    content.writer = document.at("writer").get<std::string>();
    for (const auto& entry : document.at("ranges")) {
        content.ranges.push_back(range_from_json(entry));
    }
}

auto overlap(const key_range& left, const key_range& right) -> bool {
    return left.first <= right.last && right.first <= left.last;
}

auto is_complete(const std::vector<key_range>& ranges) -> bool {
    auto expected = shard_key{0};
    for (const auto& range : ranges) {
        if (range.first != expected || range.last < range.first) {
            return false;
        }
        expected = range.last + 1;
    }
    return expected == last_shard_key + 1;
}

} // namespace

auto find_range(const key_map& map, shard_key key) -> const key_range* {
    const auto after =
        std::upper_bound(map.ranges.begin(), map.ranges.end(), key,
                         [](shard_key wanted, const auto& range) { return wanted < range.first; });
    return after == map.ranges.begin() ? nullptr : &*std::prev(after);
}

auto recorded_at(const key_map& map) -> store_revision {
    return {.era = map.era, .number = map.revision.number};
}

auto first_fence(std::uint64_t era) -> std::uint64_t {
    constexpr auto fence_bits = 32U;
    return era << fence_bits;
}

auto to_json(const key_map& map) -> nlohmann::json {
    auto document = nlohmann::json{{"era", map.era},
                                   {"holders_uncertain", map.holders_uncertain},
                                   {"fences_used", map.fences_used},
                                   {"writer", map.writer},
                                   {"ranges", ranges_to_json(map.ranges)}};
    if (!map.former_holdings.empty()) {
        document[former_holdings_field] = holdings_to_json(map.former_holdings);
    }
    return document;
}

auto to_json(const key_map_changes& changes) -> nlohmann::json {
    auto document = nlohmann::json{{"era", changes.era},
                                   {"holders_uncertain", changes.holders_uncertain},
                                   {"fences_used", changes.fences_used},
                                   {"writer", changes.writer},
                                   {"ranges", ranges_to_json(changes.ranges)}};
    if (changes.former_holdings) {
        document[former_holdings_field] = holdings_to_json(*changes.former_holdings);
    }
    return document;
}

auto changes_between(const key_map& before, const key_map& after) -> key_map_changes {
    auto changes = key_map_changes{.era = after.era,
                                   .holders_uncertain = after.holders_uncertain,
                                   .fences_used = after.fences_used,
                                   .writer = after.writer};
    for (const auto& range : after.ranges) {
        const auto* earlier = find_range(before, range.first);
        if (earlier == nullptr || *earlier != range) {
            changes.ranges.push_back(range);
        }
    }
    if (after.former_holdings != before.former_holdings) {
        changes.former_holdings = after.former_holdings;
    }
    return changes;
}

auto apply_changes(const key_map& before, const key_map_changes& changes, const store_revision& revision)
    -> tl::expected<key_map, std::string> {
    auto map = key_map{.revision = revision,
                       .era = changes.era,
                       .holders_uncertain = changes.holders_uncertain,
                       .fences_used = changes.fences_used,
                       .writer = changes.writer,
                       .former_holdings = changes.former_holdings.value_or(before.former_holdings)};
    auto changed = changes.ranges.begin();
    for (const auto& range : before.ranges) {
        while (changed != changes.ranges.end() && changed->first <= range.first) {
            map.ranges.push_back(*changed++);
        }
        const auto replaced = (!map.ranges.empty() && overlap(map.ranges.back(), range)) ||
                              (changed != changes.ranges.end() && overlap(*changed, range));
        if (!replaced) {
            map.ranges.push_back(range);
        }
    }
    map.ranges.insert(map.ranges.end(), changed, changes.ranges.end());
    if (!is_complete(map.ranges)) {
        return tl::unexpected(std::string{"the changes do not apply to this map"});
    }
    return map;
}

auto key_map_changes_from_json(const nlohmann::json& document) -> tl::expected<key_map_changes, std::string> {
    auto changes = key_map_changes{};
    try {
        read_content(document, changes);
        changes.former_holdings = read_holdings(document);
    } catch (const nlohmann::json::exception& fault) {
        return tl::unexpected(std::string{fault.what()});
    }
    return changes;
}

auto key_map_from_json(const nlohmann::json& document, const store_revision& revision)
    -> tl::expected<key_map, std::string> {
    auto map = key_map{.revision = revision};
    try {
        read_content(document, map);
        map.former_holdings = read_holdings(document).value_or(std::vector<former_holding>{});
    } catch (const nlohmann::json::exception& fault) {
        return tl::unexpected(std::string{fault.what()});
    }
    if (!map.ranges.empty() && !is_complete(map.ranges)) {
        return tl::unexpected(std::string{"the ranges overlap or leave a gap"});
    }
    return map;
}

} // namespace teaselcross
