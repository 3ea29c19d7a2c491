#include "keyspace/key_map.h"

#include <algorithm>

namespace teaselcross {

namespace {

auto range_to_json(const key_range& range) -> nlohmann::json {
    auto entry = nlohmann::json::array(
        {range.first, range.last, range.fence, range.holder.id.value(), range.holder.birth});
    if (range.moving()) {
        entry.push_back(range.next_fence);
        entry.push_back(range.next.id.value());
        entry.push_back(range.next.birth);
    }
    return entry;
}

auto range_from_json(const nlohmann::json& entry) -> key_range {
    constexpr auto moving_fields = 8U;
    auto range = key_range{.first = entry.at(0).get<shard_key>(),
                           .last = entry.at(1).get<shard_key>(),
                           .fence = entry.at(2).get<std::uint64_t>(),
                           .holder = {.id = target_id{entry.at(3).get<std::string>()},
                                      .birth = entry.at(4).get<std::uint64_t>()}};
    if (entry.size() >= moving_fields) {
        range.next_fence = entry.at(5).get<std::uint64_t>();
        range.next = {.id = target_id{entry.at(6).get<std::string>()},
                      .birth = entry.at(7).get<std::uint64_t>()};
    }
    return range;
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

auto to_json(const key_map& map) -> nlohmann::json {
    auto ranges = nlohmann::json::array();
    for (const auto& range : map.ranges) {
        ranges.push_back(range_to_json(range));
    }
    return {{"fences_used", map.fences_used}, {"writer", map.writer}, {"ranges", std::move(ranges)}};
}

auto key_map_from_json(const nlohmann::json& document, std::uint64_t revision)
    -> tl::expected<key_map, std::string> {
    auto map = key_map{.revision = revision};
    try {
        map.fences_used = document.at("fences_used").get<std::uint64_t>();
        map.writer = document.at("writer").get<std::string>();
        for (const auto& entry : document.at("ranges")) {
            map.ranges.push_back(range_from_json(entry));
        }
    } catch (const nlohmann::json::exception& fault) {
        return tl::unexpected(std::string{fault.what()});
    }
    if (!is_complete(map.ranges)) {
        return tl::unexpected(std::string{"the ranges overlap or leave a gap"});
    }
    return map;
}

} // namespace teaselcross
