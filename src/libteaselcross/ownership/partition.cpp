#include "ownership/partition.h"

#include <algorithm>

namespace teaselcross {

auto partition::record(shard_id shard) const -> const shard_record& {
    return shards.at(number(shard) % shards_per_partition);
}

auto partition::shard_at(std::size_t position) const -> shard_id {
    return shard_id{index * shards_per_partition + static_cast<std::uint32_t>(position)};
}

auto partition::release(std::size_t position) -> void {
    auto& record = shards.at(position);
    record.state = shard_state::releasing;
    record.fence = ++last_fence;
}

auto partition::assign(std::size_t position, const target_id& owner) -> void {
    auto& record = shards.at(position);
    record.state = shard_state::owned;
    record.owner = owner;
    record.fence = ++last_fence;
}

auto make_partition(const service_id& service, std::uint32_t index, std::uint32_t shard_count) -> partition {
    auto result = partition{};
    result.service = service;
    result.index = index;
    result.shards.resize(std::min(shards_per_partition, shard_count - index * shards_per_partition));
    return result;
}

auto to_json(const partition& object) -> nlohmann::json {
    auto shards = nlohmann::json::array();
    for (const auto& record : object.shards) {
        shards.push_back({static_cast<int>(record.state), record.owner.value(), record.fence});
    }
    return {{"service", object.service.value()}, {"index", object.index},
            {"home", object.home.value()},       {"last_fence", object.last_fence},
            {"token", object.writer_token},      {"shards", shards}};
}

auto partition_from_json(const nlohmann::json& object) -> partition {
    auto result = partition{};
    result.service = service_id{object.at("service").get<std::string>()};
    result.index = object.at("index").get<std::uint32_t>();
    result.home = data_centre_id{object.at("home").get<std::string>()};
    result.last_fence = object.at("last_fence").get<fence_number>();
    result.writer_token = object.at("token").get<std::string>();
    for (const auto& entry : object.at("shards")) {
        result.shards.push_back({.state = static_cast<shard_state>(entry.at(0).get<int>()),
                                 .owner = target_id{entry.at(1).get<std::string>()},
                                 .fence = entry.at(2).get<fence_number>()});
    }
    return result;
}

} // namespace teaselcross
