// An instance behind a late relay: it hears from instances of other data centres that it lacks a change, and
// fetches it from them.

#include "core/rendezvous.h"
#include "gateway/copy_refresh.h"
#include "http/server.h"
#include "platform/store.h"
#include "support/router_world.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <nlohmann/json.hpp>

#include <set>

namespace teaselcross {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kind = "config";
constexpr auto old_revision = std::uint64_t{40};
constexpr auto new_revision = std::uint64_t{50};

auto routes_object(std::uint64_t revision) -> json {
    return {"config/main", revision, json{{"version", revision}}.dump(), false, 0};
}

/// Another instance, whose answers a test decides.
class other_instance {
public:
    other_instance(boost::asio::io_context& context, request_handler handler)
        : m_server{context.get_executor(), {.host = "127.0.0.1"}, std::move(handler)} {
        m_server.start();
    }
    auto record(std::string name, const char* data_centre, double cpu_share) const -> instance_record {
        return {.name = std::move(name),
                .data_centre = data_centre_id{data_centre},
                .internal = {.host = "127.0.0.1", .port = m_server.port()},
                .cpu_share = cpu_share};
    }

private:
    http_server m_server;
};

class copy_exchange_test : public testing::Test, protected router_world {
protected:
    copy_exchange_test() {
        m_settings.instance = "own";
        m_settings.data_centre = data_centre_id{"west"};
        m_cluster.set_instances({{.name = "own", .data_centre = m_settings.data_centre, .cpu_share = 1},
                                 m_relay.record("relay", "west", 2),
                                 m_far.record("far", "east", 2)});
        m_copies.push_back(std::make_unique<store_follower>(
            m_store, m_cluster, m_settings, m_context.get_executor(), follower_options{.kind = kind},
            follower_events{.changed = [this](const store_object& object, instant) {
                m_known = std::max(m_known, object.version.number);
            }}));
        boost::asio::co_spawn(m_context, m_copies.front()->run(), boost::asio::detached);
        boost::asio::co_spawn(m_context, m_refresh.run(*m_copies.front()), boost::asio::detached);
        boost::asio::co_spawn(m_context, m_exchange.run(), boost::asio::detached);
    }

    /// A relay that answers, with what it knew long ago.
    auto answer_as_relay(responder& link, const http_request& request) -> boost::asio::awaitable<bool> {
        auto reply = http_response{boost::beast::http::status::ok, 11};
        const auto target = std::string{request.target()};
        const auto query = json::parse(request.body(), nullptr, false);
        if (target == follow_path && query.value("number", std::uint64_t{0}) != 0) {
            co_await sleep_for(seconds{4});
        }
        const auto objects = target == follow_path && query.value("number", std::uint64_t{0}) == 0
                                 ? json::array({routes_object(old_revision)})
                                 : json::array();
        reply.body() = json{
            {"epoch", 1},
            {"number", 1},
            {"at", old_revision},
            {"whole", target == follow_path && !objects.empty()},
            {"present", json::array({"config/main"})},
            {"digest", 0},
            {"objects",
             objects}}.dump();
        reply.prepare_payload();
        co_return co_await write_answer(link, std::move(reply));
    }

    auto answer_as_far(responder& link, const http_request& request) -> boost::asio::awaitable<bool> {
        auto reply = http_response{boost::beast::http::status::ok, 11};
        const auto revision = m_far_has_change ? new_revision : old_revision;
        if (request.target() == copy_exchange_path) {
            const auto own = m_copies.front()->state();
            const auto states = copy_states{{kind,
                                             {.digest = m_known == revision ? own.digest : 1,
                                              .complete_to = {.number = revision},
                                              .age = duration{}}}};
            auto document = to_json(states);
            document["from"] = "far";
            reply.body() = document.dump();
        } else {
            m_fetched += request.target() == compare_path ? 1 : 0;
            reply.body() = json{
                {"at", revision},
                {"whole", false},
                {"objects", json::array({routes_object(revision)})},
                {"present", json::array()},
                {"age_us", 0}}.dump();
        }
        reply.prepare_payload();
        co_return co_await write_answer(link, std::move(reply));
    }

    other_instance m_relay{m_context, [this](auto& link, auto request) -> boost::asio::awaitable<bool> {
                               co_return co_await answer_as_relay(link, request);
                           }};
    other_instance m_far{m_context, [this](auto& link, auto request) -> boost::asio::awaitable<bool> {
                             co_return co_await answer_as_far(link, request);
                         }};
    bool m_far_has_change = false;
    int m_fetched = 0;
    std::uint64_t m_known = 0;
    store_access m_store{m_settings, m_cluster, m_context.get_executor(), platform::platform_dialect};
    gateway_controller m_controller{
        m_settings, m_cluster, m_store, m_router, m_measured, m_context.get_executor(), 1};
    std::vector<std::unique_ptr<store_follower>> m_copies;
    copy_exchange m_exchange{m_settings, m_cluster, m_copies, m_context.get_executor()};
    copy_refresh m_refresh{m_settings, m_cluster, m_controller, m_exchange};
};

// Guards against a confirmed change that a data centre does not have in force in time: its relay answered,
// late, and nobody asked the instances elsewhere that had it.
TEST_F(copy_exchange_test, a_change_that_the_relay_does_not_have_is_fetched_from_another_data_centre) {
    ASSERT_TRUE(run_until(m_context, [&] { return m_known == old_revision; }));
    m_far_has_change = true;
    const auto since = monotonic_now();
    ASSERT_TRUE(run_until(m_context, [&] { return m_known == new_revision; }));
    EXPECT_LT(monotonic_now() - since, m_settings.config_apply);
}

// Guards against fetching what is known: states that agree are confirmed by the exchange alone.
TEST_F(copy_exchange_test, an_equal_copy_confirms_and_nothing_is_fetched) {
    ASSERT_TRUE(run_until(m_context, [&] { return m_known == old_revision; }));
    ASSERT_TRUE(run_until(m_context, [&] { return m_copies.front()->state().age < milliseconds{500}; }));
    EXPECT_EQ(m_fetched, 0);
}

auto fleet_of(std::size_t count, std::size_t data_centres) -> std::vector<instance_record> {
    auto fleet = std::vector<instance_record>{};
    for (auto index = std::size_t{0}; index < count; ++index) {
        fleet.push_back({.name = "i" + std::to_string(index),
                         .data_centre = data_centre_id{"d" + std::to_string(index % data_centres)}});
    }
    return fleet;
}

// Guards against instances that hear of a change late or not at all, although three data centres have it.
TEST(exchange_partners, a_data_centre_that_lacks_a_change_hears_of_it_within_two_rounds) {
    const auto fleet = fleet_of(300, 4);
    auto partners = std::map<std::string, std::vector<instance_record>>{};
    for (const auto& each : fleet) {
        partners[each.name] = exchange_partners(fleet, each.name);
        for (const auto& partner : partners[each.name]) {
            EXPECT_NE(partner.name, each.name);
        }
        EXPECT_NE(partners[each.name].at(0).data_centre, partners[each.name].at(1).data_centre);
    }
    // One data centre lacks the change.
    auto informed = std::set<std::string>{};
    for (const auto& each : fleet) {
        if (each.data_centre != data_centre_id{"d0"}) {
            informed.insert(each.name);
        }
    }
    auto rounds = std::size_t{0};
    for (; informed.size() < fleet.size() && rounds < 10; ++rounds) {
        for (const auto& each : fleet) {
            const auto& with = partners[each.name];
            const auto& partner = with[(rounds + hash_text(each.name)) % with.size()];
            if (informed.contains(each.name) || informed.contains(partner.name)) {
                informed.insert({each.name, partner.name});
            }
        }
    }
    EXPECT_EQ(informed.size(), fleet.size());
    EXPECT_LE(rounds, 2U) << "at most one partner in a row is of the own data centre";
}

TEST(exchange_partners, a_fleet_of_one_data_centre_exchanges_within_it) {
    const auto fleet = fleet_of(2, 1);
    EXPECT_EQ(exchange_partners(fleet, "i0").size(), 1U);
    EXPECT_TRUE(exchange_partners(fleet_of(1, 1), "i0").empty());
}

} // namespace
} // namespace teaselcross
