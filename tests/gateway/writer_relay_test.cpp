// How key maps reach all instances without watches of the store: the relay of each data centre follows the
// instance that writes them, the others follow their relay. Pattern: many small changes in a fleet where a
// watch for each data centre and change would cost more store calls than everything else.

#include "gateway/cluster_state_feed.h"
#include "http/server.h"
#include "platform/store.h"
#include "runtime/clock.h"
#include "support/http_client.h"
#include "support/loopback_peer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace teaselcross {
namespace {

using json = nlohmann::json;
using std::chrono::seconds;

constexpr auto key_maps = "teaselcross-key-maps";
const auto service = service_id{"s"};

/// A map of many ranges, one of which belongs to the target of the given number.
auto make_map(int number) -> key_map {
    constexpr auto ranges = shard_key{64};
    constexpr auto size = (last_shard_key + 1) / ranges;
    auto map = key_map{.fences_used = static_cast<std::uint64_t>(number + 1)};
    for (auto index = shard_key{0}; index < ranges; ++index) {
        const auto holder = index == static_cast<shard_key>(number) % ranges ? "moved" : "home";
        map.ranges.push_back({.first = index * size,
                              .last = (index + 1) * size - 1,
                              .fence = index == static_cast<shard_key>(number) % ranges ? map.fences_used : 1,
                              .holder = {.id = target_id{holder}, .start_time_ms = 1}});
    }
    return map;
}

/// An instance that follows the key maps and serves them to others.
class instance {
public:
    instance(boost::asio::io_context& context, std::string name, std::string data_centre, endpoint store)
        : m_context{context}, m_settings{.instance = std::move(name),
                                         .data_centre = data_centre_id{std::move(data_centre)},
                                         .store = std::move(store)} {
        m_server.start();
    }

    auto record(double cpu_share) const -> instance_record {
        return {.name = m_settings.instance,
                .data_centre = m_settings.data_centre,
                .internal = {.host = "127.0.0.1", .port = m_server.port()},
                .cpu_share = cpu_share};
    }
    auto start(std::vector<instance_record> fleet) -> void {
        m_cluster.set_instances(std::move(fleet));
        boost::asio::co_spawn(m_context, m_follower.run(), boost::asio::detached);
    }
    auto set_writer(std::optional<instance_record> writer) -> void { m_writer = std::move(writer); }
    auto write(int number) -> void {
        m_follower.apply_own_write({.key = std::string{key_maps} + "/s",
                                    .version = {.number = static_cast<std::uint64_t>(100 + number)},
                                    .value = to_json(make_map(number)).dump()},
                                   monotonic_now());
    }
    auto knows(int number) const -> bool {
        const auto map = m_cluster.keys(service);
        return map != nullptr && map->ranges == make_map(number).ranges;
    }
    auto mean_bytes() const -> double { return static_cast<double>(m_bytes) / m_answers; }
    auto answers() const -> int { return m_answers; }
    auto is_direct() const -> bool { return m_follower.is_direct(); }

private:
    auto serve(responder& to, http_request request) -> boost::asio::awaitable<bool> {
        auto response = http_response{boost::beast::http::status::ok, 11};
        response.body() = co_await m_follower.answer_follower(std::move(request.body()));
        response.prepare_payload();
        ++m_answers;
        m_bytes += response.body().size();
        co_return co_await write_answer(to, std::move(response));
    }

    boost::asio::io_context& m_context;
    gateway_settings m_settings;
    cluster_state m_cluster{m_settings, m_context.get_executor()};
    store_access m_store{m_settings, m_cluster, m_context.get_executor(), platform::platform_dialect};
    cluster_state_feed m_feed{m_settings, m_cluster, m_store};
    std::optional<instance_record> m_writer;
    store_follower m_follower{
        m_store,
        m_cluster,
        m_settings,
        m_context.get_executor(),
        {.kind = key_maps, .difference = key_map_difference, .writer = [this] { return m_writer; }},
        m_feed.key_map_events()};
    http_server m_server{m_context.get_executor(), {.host = "127.0.0.1"}, [this](auto& to, auto request) {
                             return serve(to, std::move(request));
                         }};
    int m_answers = 0;
    std::size_t m_bytes = 0;
};

/// What a store answers that holds the key map of the given number at revision 50, to any read.
auto store_answer(int number) -> std::string {
    const auto item =
        json{{"metadata", {{"name", "s"}, {"revision", 50}}}, {"spec", to_json(make_map(number))}};
    return json{{"items", json::array({item})}, {"events", json::array()}, {"at", 50}}.dump();
}

TEST(writer_relay, changes_reach_all_instances_as_differences_without_a_watch) {
    auto context = boost::asio::io_context{1};
    auto store_calls = 0;
    auto watches = 0;
    auto store = loopback_peer{context.get_executor(), [&](const auto& request) {
                                   ++store_calls;
                                   watches += request.target().find("watch=") != std::string::npos ? 1 : 0;
                                   return store_answer(0);
                               }};
    auto writer = instance{context, "writer", "east", store.address()};
    auto relay = instance{context, "relay", "west", store.address()};
    auto other = instance{context, "other", "west", store.address()};
    const auto fleet = std::vector{writer.record(3), relay.record(2), other.record(1)};
    for (auto* each : {&writer, &relay, &other}) {
        each->set_writer(writer.record(3));
        each->start(fleet);
    }
    ASSERT_TRUE(run_until(context, [&] { return writer.knows(0) && relay.knows(0) && other.knows(0); }));
    const auto calls_before = store_calls;
    for (auto number = 1; number <= 30; ++number) {
        writer.write(number);
        ASSERT_TRUE(run_until(context, [&] { return relay.knows(number) && other.knows(number); })) << number;
    }
    EXPECT_EQ(store_calls, calls_before);
    EXPECT_EQ(watches, 0);
    EXPECT_TRUE(relay.is_direct());
    EXPECT_FALSE(other.is_direct());
    const auto whole = static_cast<double>(to_json(make_map(0)).dump().size());
    EXPECT_LT(relay.mean_bytes(), whole / 4) << "the relay sent whole maps";
    EXPECT_LT(writer.mean_bytes(), whole / 4) << "the writer sent whole maps";
}

TEST(writer_relay, a_follower_that_lags_gets_the_differences_in_order) {
    auto context = boost::asio::io_context{1};
    auto store = loopback_peer{context.get_executor(), [](const auto&) { return store_answer(0); }};
    auto writer = instance{context, "writer", "east", store.address()};
    auto relay = instance{context, "relay", "west", store.address()};
    auto other = instance{context, "other", "west", store.address()};
    const auto fleet = std::vector{writer.record(3), relay.record(2), other.record(1)};
    for (auto* each : {&writer, &relay, &other}) {
        each->set_writer(writer.record(3));
        each->start(fleet);
    }
    for (auto round = 0; round < 12; ++round) {
        for (auto step = 1; step <= 4; ++step) {
            writer.write(round * 4 + step); // Several changes before anybody can ask again.
        }
        ASSERT_TRUE(run_until(context, [&] { return other.knows(round * 4 + 4); })) << round;
    }
    EXPECT_TRUE(relay.knows(48));
}

TEST(writer_relay, without_an_answer_of_the_writer_the_relay_reads_the_store) {
    auto context = boost::asio::io_context{1};
    auto store_calls = 0;
    auto store = loopback_peer{context.get_executor(), [&](const auto&) {
                                   ++store_calls;
                                   return store_answer(7);
                               }};
    auto silent = loopback_peer{context.get_executor(), [](const auto&) { return std::string{}; }};
    auto relay = instance{context, "relay", "west", store.address()};
    const auto gone = instance_record{.name = "writer",
                                      .data_centre = data_centre_id{"east"},
                                      .internal = silent.address(),
                                      .cpu_share = 3};
    relay.set_writer(gone);
    relay.start({gone, relay.record(2)});
    EXPECT_TRUE(run_until(context, [&] { return relay.knows(7); }));
    EXPECT_GT(store_calls, 0);
}

/// When the whole fleet starts, the relay has not read the store yet when it is asked.
TEST(writer_relay, a_relay_that_is_starting_is_waited_for) {
    auto context = boost::asio::io_context{1};
    auto store_calls = 0;
    auto store = loopback_peer{context.get_executor(), [&](const auto&) {
                                   ++store_calls;
                                   return std::string{};
                               }};
    auto asked = 0;
    auto relay =
        loopback_peer{context.get_executor(), [&](const auto&) {
                          return ++asked <= 3
                                     ? starting_answer()
                                     : encode(follow_answer{
                                           .epoch = 1,
                                           .number = 1,
                                           .complete_to = {.number = 50},
                                           .is_whole = true,
                                           .objects = {{.object = {.key = std::string{key_maps} + "/s",
                                                                   .version = {.number = 50},
                                                                   .value = to_json(make_map(3)).dump()}}}});
                      }};
    auto other = instance{context, "other", "west", store.address()};
    other.start({{.name = "relay",
                  .data_centre = data_centre_id{"west"},
                  .internal = relay.address(),
                  .cpu_share = 2},
                 other.record(1)});
    EXPECT_TRUE(run_until(context, [&] { return other.knows(3); }));
    EXPECT_EQ(store_calls, 0);
}

/// A target whose entry expired in an outage of the store is kept for a while, also by an instance that reads
/// through another one and has not noticed the outage itself.
TEST(writer_relay, an_outage_is_learned_from_the_relay) {
    auto context = boost::asio::io_context{1};
    const auto settings = gateway_settings{};
    const auto cluster = cluster_state{settings, context.get_executor()};
    auto store = store_access{settings, cluster, context.get_executor(), platform::platform_dialect};
    EXPECT_EQ(store.outage_grace(), duration::zero());
    const auto text = encode(follow_answer{.epoch = 1, .outage_grace = seconds{2}});
    store.note_relayed_outage(decode_follow_answer(text)->outage_grace);
    EXPECT_GT(store.outage_grace(), seconds{1});
    EXPECT_LE(store.outage_grace(), seconds{2});
}

/// The store refuses this instance and answers others: entries that disappear are gone, and keeping them sent
/// requests to targets that had left (vesilippu-gw-grown trouble-1, DRAIN at 6.6 s).
TEST(writer_relay, a_store_that_answers_through_another_instance_is_no_outage) {
    auto context = boost::asio::io_context{1};
    auto refusing =
        http_server{context.get_executor(),
                    {.host = "127.0.0.1"},
                    [](responder& to, http_request) -> boost::asio::awaitable<bool> {
                        auto refusal = http_response{boost::beast::http::status::service_unavailable, 11};
                        refusal.prepare_payload();
                        co_return co_await write_answer(to, std::move(refusal));
                    }};
    refusing.start();
    auto other = loopback_peer{context.get_executor(), [](const auto&) { return store_answer(0); }};
    const auto settings =
        gateway_settings{.instance = "own", .store = {.host = "127.0.0.1", .port = refusing.port()}};
    auto cluster = cluster_state{settings, context.get_executor()};
    auto store = store_access{settings, cluster, context.get_executor(), platform::platform_dialect};
    auto reads = 0;
    const auto read = [&] {
        const auto before = reads;
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                auto call = store_call{.kind = store_call_kind::list, .key = key_maps};
                static_cast<void>(co_await store.read(std::move(call)));
                ++reads;
            },
            boost::asio::detached);
        EXPECT_TRUE(run_until(context, [&] { return reads > before; }));
    };
    cluster.set_instances({{.name = "other", .internal = other.address()}});
    read();
    EXPECT_FALSE(store.is_healthy());
    EXPECT_TRUE(store.is_reachable());
    EXPECT_EQ(store.outage_grace(), duration::zero());
    cluster.set_instances({});
    read();
    EXPECT_FALSE(store.is_reachable());
    EXPECT_EQ(store.outage_grace(), settings.outage_grace);
}

} // namespace
} // namespace teaselcross
