// Load reports that instances share over the internal port: the messages, the choice of the exchange and its
// loss.

#include "gateway/load_sharing.h"

#include "gateway/peer_request.h"
#include "http/server.h"
#include "runtime/clock.h"
#include "support/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

namespace teaselcross {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/// An instance with one target, its cluster state and its internal port.
struct sharing_instance {
    sharing_instance(asio::io_context& context, const std::string& name)
        : settings{.instance = name, .data_centre = data_centre_id{"west"}},
          cluster{settings, context.get_executor()}, sharing{settings, cluster, measured,
                                                             context.get_executor()},
          server{context.get_executor(), {.host = "127.0.0.1"}, [this](auto& link, auto request) {
                     return handle(link, std::move(request));
                 }} {
        cluster.put_target({.id = target_id{"t"}, .service = service_id{"s"}, .slots = 4, .start_time_ms = 1},
                           {.number = 1}, monotonic_now());
        server.start();
    }

    auto handle(responder& link, http_request request) -> asio::awaitable<bool> {
        auto response = http_response{boost::beast::http::status::ok, 11};
        response.body() = sharing.answer(request.body());
        response.prepare_payload();
        co_return co_await write_answer(link, std::move(response));
    }

    auto view() -> target_view& { return cluster.target(target_id{"t"})->view; }

    gateway_settings settings;
    metrics measured;
    cluster_state cluster;
    load_sharing sharing;
    http_server server;
};

auto record(const std::string& name, std::uint16_t port, double cpu) -> instance_record {
    return {.name = name,
            .data_centre = data_centre_id{"west"},
            .internal = {.host = "127.0.0.1", .port = port},
            .cpu_share = cpu};
}

} // namespace

/// Guards against a lost exchange: reports go through the next instance by rank, and none is lost.
TEST(load_sharing, reports_reach_others_when_the_strongest_instance_does_not_answer) {
    auto context = asio::io_context{1};
    auto first = sharing_instance{context, "a"};
    auto second = sharing_instance{context, "b"};
    constexpr auto unused_port = std::uint16_t{1};
    for (auto* each : {&first, &second}) {
        each->cluster.set_instances({record("lost", unused_port, 4), record("a", first.server.port(), 1),
                                     record("b", second.server.port(), 2), record("c", unused_port, 0.1)});
        asio::co_spawn(context, each->sharing.run(), asio::detached);
    }
    const auto hears = [&](sharing_instance& from, sharing_instance& to, std::uint32_t running) {
        from.sharing.on_own_report(from.view(), {.running = running, .slots = 4}, false, monotonic_now());
        to.sharing.on_request(monotonic_now());
        return run_until(context, [&] { return to.view().other_requests == running; });
    };
    first.sharing.on_request(monotonic_now());
    second.sharing.on_request(monotonic_now());
    ASSERT_TRUE(run_until(context, [&] { return second.measured.value(counter::load_messages) > 0; }));
    EXPECT_TRUE(hears(first, second, 3)) << "to the exchange";
    EXPECT_TRUE(hears(second, first, 2)) << "from the exchange";
    EXPECT_GT(first.measured.value(counter::load_messages_unanswered), 0U);
}

/// Guards against an exchange that would have to serve thousands of instances, and against sharing where it
/// does not pay.
TEST(load_sharing, a_group_is_neither_too_small_nor_too_large) {
    const auto west = data_centre_id{"west"};
    auto instances = std::vector{record("a", 1, 1), record("b", 2, 3), record("c", 3, 2)};
    auto remote = record("d", 4, 9);
    remote.data_centre = data_centre_id{"east"};
    instances.push_back(remote);
    EXPECT_TRUE(sharing_group(instances, "a", west).empty()) << "three in this data centre";
    instances.push_back(record("e", 5, 1));
    const auto group = sharing_group(instances, "a", west);
    ASSERT_EQ(group.size(), 4U);
    EXPECT_EQ(group.front().name, "b") << "the strongest";

    for (auto number = 0; number < 7264; ++number) {
        instances.push_back(record("i" + std::to_string(number), 1, 1));
    }
    EXPECT_LE(sharing_group(instances, "a", west).size(), 150U);
    EXPECT_GE(sharing_group(instances, "a", west).size(), 50U);
}

/// Guards against clocks that differ and messages of other versions: ages only grow on the way, and what is
/// out of range is left out.
TEST(load_sharing, messages_carry_ages_and_survive_nonsense) {
    const auto sent = instant{std::chrono::hours{5}};
    const auto received = instant{std::chrono::hours{900}};
    const auto report = shared_report{.target = 77,
                                      .requests = 5,
                                      .slowness = 2.75,
                                      .service = milliseconds{120},
                                      .rejected = true,
                                      .reported_at = sent - milliseconds{30} - duration{1}};
    const auto text = encode_load_message({.instance = "a", .reports = {report}}, sent);
    auto expected = report;
    expected.reported_at = received - milliseconds{31};
    const auto decoded = decode_load_message(text, received);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->reports, std::vector{expected});

    for (const auto* nonsense : {"", "[]", "{", R"({"instance":1,"reports":[]})", R"({"instance":"a"})"}) {
        EXPECT_FALSE(decode_load_message(nonsense, received)) << nonsense;
    }
    const auto odd = decode_load_message(
        R"({"instance":"a","reports":[1,[],[1,-5,1,1,1,0],[1,1e9,1,1,1,0],[1,5,4294967296,1,1,0],[1,5,1,1,1,2]]})",
        received);
    ASSERT_TRUE(odd);
    EXPECT_TRUE(odd->reports.empty());
}

} // namespace teaselcross
