#include "gateway/quota_messages.h"

#include <nlohmann/json.hpp>

namespace teaselcross {

using json = nlohmann::json;

namespace {

auto to_json(const quota_epoch& epoch) -> json {
    return {epoch.era, epoch.number};
}

auto epoch_of(const json& message) -> quota_epoch {
    const auto& epoch = message.at("epoch");
    return {.era = epoch.at(0).get<std::uint64_t>(), .number = epoch.at(1).get<std::uint64_t>()};
}

} // namespace

auto encode(const quota_query& query) -> std::string {
    auto accounts = json::array();
    for (const auto& each : query.accounts) {
        accounts.push_back({each.account, each.total, each.share, each.held, each.waiting, each.wanted});
    }
    return json{{"from", query.instance},         {"start", query.start_time_ms},
                {"number", query.number},         {"epoch", to_json(query.epoch)},
                {"full", query.is_full},          {"age_us", query.age.count()},
                {"accounts", std::move(accounts)}}
        .dump();
}

auto encode(const quota_reply& reply) -> std::string {
    auto accounts = json::array();
    for (const auto& each : reply.accounts) {
        accounts.push_back({each.account, each.total, each.added, each.recorded});
    }
    return json{{"number", reply.number},
                {"epoch", to_json(reply.epoch)},
                {"recorded", reply.is_recorded},
                {"settled", reply.is_settled},
                {"accounts", std::move(accounts)}}
        .dump();
}

auto decode_quota_query(const std::string& text) -> std::optional<quota_query> {
    try {
        const auto message = json::parse(text);
        auto query = quota_query{.instance = message.at("from").get<std::string>(),
                                 .start_time_ms = message.at("start").get<std::uint64_t>(),
                                 .number = message.at("number").get<std::uint64_t>(),
                                 .epoch = epoch_of(message),
                                 .is_full = message.at("full").get<bool>(),
                                 .age = duration{message.at("age_us").get<duration::rep>()},
                                 .accounts = {}};
        for (const auto& each : message.at("accounts")) {
            query.accounts.push_back({.account = each.at(0).get<std::string>(),
                                      .total = each.at(1).get<std::int64_t>(),
                                      .share = each.at(2).get<std::int64_t>(),
                                      .held = each.at(3).get<std::int64_t>(),
                                      .waiting = each.at(4).get<std::int64_t>(),
                                      .wanted = each.at(5).get<std::int64_t>()});
        }
        return query;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

auto decode_quota_reply(const std::string& text) -> std::optional<quota_reply> {
    try {
        const auto message = json::parse(text);
        auto reply = quota_reply{.number = message.at("number").get<std::uint64_t>(),
                                 .epoch = epoch_of(message),
                                 .is_recorded = message.at("recorded").get<bool>(),
                                 .is_settled = message.at("settled").get<bool>(),
                                 .accounts = {}};
        for (const auto& each : message.at("accounts")) {
            reply.accounts.push_back({.account = each.at(0).get<std::string>(),
                                      .total = each.at(1).get<std::int64_t>(),
                                      .added = each.at(2).get<std::int64_t>(),
                                      .recorded = each.at(3).get<std::int64_t>()});
        }
        return reply;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace teaselcross
