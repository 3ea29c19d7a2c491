// Tests the order in which a follower accepts answers of relays, peers and the store.

#include "gateway/cluster_state_feed.h"
#include "http/server.h"
#include "platform/names.h"
#include "platform/store.h"
#include "support/loopback_peer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace teaselcross {
namespace {

using json = nlohmann::json;

constexpr auto entry_revision = 196;
constexpr auto kind = "evacuations";
const auto data_centre = data_centre_id{"west"};

/// A relay's answer with revision @a at: the complete list, or the changes since the last answer.
auto relay_answer(int at, bool is_whole, const json& objects) -> std::string {
    return json{{"epoch", 1}, {"number", at}, {"at", at}, {"whole", is_whole}, {"objects", objects}}.dump();
}

auto entry() -> json {
    return {"evacuations/west", entry_revision, "{}", false, 0};
}

/// A follower of the data centres out of service, in an instance without a store.
class relayed_follower : public testing::Test {
protected:
    relayed_follower() {
        m_settings.instance = "own";
        m_settings.data_centre = data_centre_id{"east"};
    }

    /// Makes @a peers the instances of this data centre; earlier ones are preferred as relay.
    auto set_relays(const std::vector<loopback_peer*>& peers) -> void {
        auto instances = std::vector<instance_record>{
            {.name = "own", .data_centre = m_settings.data_centre, .cpu_share = 1}};
        for (auto* peer : peers) {
            instances.push_back({.name = "peer" + std::to_string(instances.size()),
                                 .data_centre = m_settings.data_centre,
                                 .internal = peer->address(),
                                 .cpu_share = 10.0 - static_cast<double>(instances.size())});
        }
        m_cluster.set_instances(std::move(instances));
    }

    /// Runs the event loop until @a condition holds; false after ten seconds without it.
    template <class Condition>
    auto run_until(Condition condition) -> bool {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{10};
        while (!condition() && std::chrono::steady_clock::now() < end) {
            m_context.run_one_for(std::chrono::milliseconds{100});
        }
        return condition();
    }

    auto is_out() const -> bool { return m_cluster.out_of_service_since(data_centre).has_value(); }
    auto executor() -> boost::asio::any_io_executor { return m_context.get_executor(); }

    boost::asio::io_context m_context{1};
    gateway_settings m_settings;
    cluster_state m_cluster{m_settings, m_context.get_executor()};
    store_access m_store{m_settings, m_cluster, m_context.get_executor(), platform::platform_dialect};
    cluster_state_feed m_feed{m_settings, m_cluster, m_store};
    store_follower m_follower{m_store,
                              m_cluster,
                              m_settings,
                              m_context.get_executor(),
                              {.kind = kind, .batch_delay = duration{}},
                              m_feed.out_of_service_events()};
};

// Guards against requests to a data centre that is out of service: a new relay's list was older than the
// follower's copy and took a live entry away, and the entry was refused when it was offered again.
TEST_F(relayed_follower, an_older_list_of_another_relay_keeps_a_live_entry) {
    auto first_answers = 0;
    auto second_answers = 0;
    auto first = loopback_peer{executor(), [&](const auto&) {
                                   return ++first_answers == 1
                                              ? relay_answer(entry_revision, true, json::array({entry()}))
                                              : std::string{};
                               }};
    auto second =
        loopback_peer{executor(), [&](const auto&) {
                          return ++second_answers == 1
                                     ? relay_answer(entry_revision - 16, true, json::array())
                                     : relay_answer(entry_revision + 3, false, json::array({entry()}));
                      }};
    set_relays({&first, &second});
    boost::asio::co_spawn(m_context, m_follower.run(), boost::asio::detached);
    ASSERT_TRUE(run_until([&] { return is_out(); }));
    ASSERT_TRUE(run_until([&] { return second_answers >= 2; }));
    EXPECT_TRUE(is_out()) << "an older list was applied";
    ASSERT_TRUE(run_until([&] { return second_answers >= 3; }));
    EXPECT_TRUE(is_out()) << "the live entry was refused";
}

// Guards against the same loss by way of the controller: an instance whose copy lacked the entry, but not its
// revision, told all others that the entry was removed.
TEST_F(relayed_follower, a_copy_made_older_by_a_list_does_not_vouch_for_a_removal) {
    auto answers = 0;
    auto relay =
        loopback_peer{executor(), [&](const auto&) {
                          ++answers;
                          return answers == 1   ? relay_answer(entry_revision, true, json::array({entry()}))
                                 : answers == 2 ? relay_answer(entry_revision - 16, true, json::array())
                                                : std::string{};
                      }};
    set_relays({&relay});
    boost::asio::co_spawn(m_context, m_follower.run(), boost::asio::detached);
    ASSERT_TRUE(run_until([&] { return answers >= 3; }));
    const auto query = json{{"kind", kind}, {"versions", {{"evacuations/west", entry_revision}}}};
    const auto answer = json::parse(m_follower.answer_comparison(query));
    const auto knows_entry = answer.at("present").size() == 1;
    EXPECT_TRUE(knows_entry || answer.at("at").template get<int>() < entry_revision) << answer;
}

auto target_item(const std::string& name, int revision, const std::string& specification) -> std::string {
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision) +
           R"(},"spec":)" + specification + "}";
}

auto target_specification() -> std::string {
    return R"({"service":"s","address":"10.0.0.9:8080","zone":"west","slots":4,"state":"ready","sequence":1})";
}

/// Specifications of another writer that cannot be read.
auto odd_specifications() -> std::vector<std::string> {
    constexpr auto depth = std::size_t{100'000};
    return {std::string(depth, '[') + std::string(depth, ']'), R"({"slots":1e999})",
            R"({"service":"s","address":"10.0.0.9:70000","zone":"w","slots":4,"state":"ready","sequence":1})",
            R"({"service":"s","address":"10.0.0.9:80","zone":"w","slots":4,"state":"ready","sequence":1,)"
            R"("cold-remaining-s":1e300})"};
}

// Guards against an instance that ends, or follows the targets no longer, because of one entry.
TEST(store_follower, an_odd_entry_among_the_targets_does_not_end_the_following) {
    for (const auto& odd : odd_specifications()) {
        const auto shown = odd.substr(0, 80);
        auto context = boost::asio::io_context{1};
        auto calls = 0;
        auto store = loopback_peer{
            context.get_executor(), [&](const auto& /*request*/) {
                const auto usable = target_specification();
                ++calls;
                if (calls == 1) {
                    return R"({"items":[)" + target_item("a", 1, usable) + "," + target_item("b", 2, odd) +
                           "," + target_item("c", 3, usable) + R"(],"at":3})";
                }
                if (calls > 3) {
                    return std::string{}; // The store answers nothing more.
                }
                return R"({"events":[{"object":)" + target_item("b", 2 * calls, odd) + R"(},{"object":)" +
                       target_item("d" + std::to_string(calls), 2 * calls + 1, usable) + R"(}],"at":)" +
                       std::to_string(2 * calls + 1) + "}";
            }};
        const auto settings = gateway_settings{
            .instance = "own", .data_centre = data_centre_id{"east"}, .store = store.address()};
        auto cluster = cluster_state{settings, context.get_executor()};
        auto access = store_access{settings, cluster, context.get_executor(), platform::platform_dialect};
        auto feed = cluster_state_feed{settings, cluster, access};
        auto follower = store_follower{access,
                                       cluster,
                                       settings,
                                       context.get_executor(),
                                       {.kind = platform::kinds::targets},
                                       feed.target_events()};
        const auto knows = [&](const char* name) { return cluster.target(target_id{name}) != nullptr; };
        auto ended = false;
        boost::asio::co_spawn(context, follower.run(), [&](const std::exception_ptr&) { ended = true; });
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{10};
        while (!knows("d3") && !ended && std::chrono::steady_clock::now() < end) {
            context.run_one_for(std::chrono::milliseconds{100});
        }
        EXPECT_FALSE(ended) << shown;
        for (const auto* name : {"a", "c", "d2", "d3"}) {
            EXPECT_TRUE(knows(name)) << name << " beside " << shown;
        }
        EXPECT_FALSE(knows("b")) << shown;
        // Instances compare their copies by the versions of all entries, and pass on the odd one too.
        const auto versions = json{{"servers/b", 6}};
        const auto same = json::parse(follower.answer_comparison({{"versions", versions}}));
        EXPECT_EQ(same.at("present"), json::array({"servers/b"})) << shown;
        const auto whole = follower.answer_comparison({{"versions", json::object()}});
        EXPECT_LT(whole.size(), 4096U) << shown;
    }
}

/// A store that answers lists and watches of one kind, with its era.
struct scripted_store {
    std::uint64_t era = 1;
    std::uint64_t revision = 155;
    json items = json::array();
    json events = json::array(); ///< What the next watch reports.
    bool has_history = true;     ///< False: all watches are answered as too old.
    int lists = 0;
    int watches = 0;

    auto answer(const http_request& request) -> http_response {
        auto reply = http_response{boost::beast::http::status::ok, 11};
        reply.set(platform::names::store_era_header, std::to_string(era));
        if (std::string{request.target()}.find("watch=") == std::string::npos) {
            ++lists;
            reply.body() = json{{"at", revision}, {"items", items}}.dump();
        } else {
            ++watches;
            reply.result(has_history ? boost::beast::http::status::ok : boost::beast::http::status::gone);
            reply.body() = json{{"at", revision}, {"events", std::exchange(events, json::array())}}.dump();
        }
        reply.prepare_payload();
        return reply;
    }
};

auto routes_item(std::uint64_t revision, int version) -> json {
    return {{"metadata", {{"name", "main"}, {"revision", revision}}}, {"spec", {{"version", version}}}};
}

/// A follower of the configuration that reads the store itself.
class direct_follower : public testing::Test {
protected:
    direct_follower() {
        m_server.start();
        m_settings.instance = "own";
        m_settings.store = {.host = "127.0.0.1", .port = m_server.port()};
        m_script.items = json::array({routes_item(145, 9)});
        boost::asio::co_spawn(m_context, m_follower.run(), boost::asio::detached);
    }

    template <class Condition>
    auto run_until(Condition condition, duration limit = std::chrono::seconds{5}) -> bool {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            m_context.run_one_for(std::chrono::milliseconds{20});
        }
        return condition();
    }

    boost::asio::io_context m_context{1};
    scripted_store m_script;
    http_server m_server{m_context.get_executor(),
                         {.host = "127.0.0.1"},
                         [this](responder& link, http_request request) -> boost::asio::awaitable<bool> {
                             co_return co_await write_answer(link, m_script.answer(request));
                         }};
    gateway_settings m_settings;
    cluster_state m_cluster{m_settings, m_context.get_executor()};
    store_access m_store{m_settings, m_cluster, m_context.get_executor(), platform::platform_dialect};
    std::vector<store_object> m_changes;
    bool m_writes = false; ///< Whether this instance writes the objects.
    store_follower m_follower{
        m_store,
        m_cluster,
        m_settings,
        m_context.get_executor(),
        {.kind = "config",
         .batch_delay = duration{},
         .writer =
             [this] { return m_writes ? std::optional{instance_record{.name = "own"}} : std::nullopt; }},
        {.changed = [this](const store_object& object, instant) { m_changes.push_back(object); }}};
};

// Guards against a confirmed change that is never in force: after a restore its revision was lower than that
// of the version before, and lists were refused until the numbers had caught up.
TEST_F(direct_follower, a_change_after_a_restore_is_applied_although_its_revision_is_lower) {
    m_script.has_history = false;
    ASSERT_TRUE(run_until([&] { return m_changes.size() == 1; }));
    m_script.era = 2;
    m_script.revision = 131;
    m_script.items = json::array({routes_item(131, 11)});
    ASSERT_TRUE(run_until([&] { return m_changes.size() == 2; }));
    EXPECT_EQ(m_changes.back().version, (store_revision{.era = 2, .number = 131}));
    ASSERT_TRUE(run_until([&] { return m_follower.state().complete_to.era == 2; }));
    EXPECT_EQ(m_follower.state().complete_to.number, 131U);
}

// Guards against a watch that continues in another history: the restored store knows the number already.
TEST_F(direct_follower, a_watch_that_another_era_answers_is_no_continuation) {
    ASSERT_TRUE(run_until([&] { return m_script.lists == 1 && m_script.watches >= 1; }));
    m_script.era = 2;
    m_script.items = json::array({routes_item(140, 11)});
    ASSERT_TRUE(run_until([&] { return m_changes.size() == 2; }));
    EXPECT_EQ(m_script.lists, 2);
}

// Guards against thousands of calls in a second: a watch whose history was lost and a list that was refused
// followed each other without a pause.
TEST_F(direct_follower, lists_that_bring_no_revision_to_watch_are_paced) {
    m_script.has_history = false;
    static_cast<void>(run_until([] { return false; }, std::chrono::seconds{2}));
    EXPECT_GE(m_script.lists, 3);
    EXPECT_LE(m_script.lists, 8);
}

// Guards against an answer of a store from before a restore that undoes a change or vouches for the copy.
TEST_F(direct_follower, an_answer_of_an_earlier_era_changes_and_confirms_nothing) {
    m_script.has_history = false;
    m_script.era = 2;
    ASSERT_TRUE(run_until([&] { return m_changes.size() == 1; }));
    m_script.era = 1;
    m_script.revision = 300;
    m_script.items = json::array({routes_item(300, 8)});
    const auto lists = m_script.lists;
    const auto watches = m_script.watches;
    const auto age = m_follower.state().age;
    auto refreshed = std::optional<refresh_result>{};
    boost::asio::co_spawn(m_context, m_follower.refresh(),
                          [&](const std::exception_ptr&, refresh_result result) { refreshed = result; });
    ASSERT_TRUE(run_until([&] { return refreshed && m_script.watches > watches + 2; }));
    EXPECT_EQ(*refreshed, refresh_result::failed);
    EXPECT_GT(m_script.lists, lists);
    EXPECT_EQ(m_changes.size(), 1U);
    EXPECT_GT(m_follower.state().age, age);
    EXPECT_EQ(m_follower.state().complete_to.era, 2U);
}

// Guards against a writer whose copy stays in the era of before a restore, so that nobody can follow it.
TEST_F(direct_follower, a_writer_reads_the_store_once_after_a_restore) {
    ASSERT_TRUE(run_until([&] { return m_follower.listed(); }));
    m_writes = true;
    m_script.era = 2;
    m_script.revision = 131;
    auto get = store_call{.kind = store_call_kind::list, .key = "other"};
    boost::asio::co_spawn(m_context, m_store.read(std::move(get)), boost::asio::detached);
    ASSERT_TRUE(run_until([&] { return m_follower.state().complete_to.era == 2; }));
    const auto lists = m_script.lists;
    EXPECT_FALSE(run_until([&] { return m_script.lists > lists; }, std::chrono::seconds{1}));
}

auto event_of(json item) -> json {
    return {{"object", std::move(item)}, {"deleted", false}};
}

// Guards against a configuration that is late because older ones are applied first: after a time without
// answers a watch reports each version, and only the last one is of use.
TEST_F(direct_follower, a_watch_that_reports_several_versions_of_an_object_applies_the_last_one) {
    ASSERT_TRUE(run_until([&] { return m_script.watches >= 1; }));
    m_script.events = json::array();
    for (auto version = 10; version < 14; ++version) {
        m_script.events.push_back(event_of(routes_item(++m_script.revision, version)));
    }
    m_script.items = json::array({m_script.events.back().at("object")});
    ASSERT_TRUE(run_until([&] { return m_changes.size() >= 2; }));
    EXPECT_EQ(m_changes.size(), 2U);
    EXPECT_EQ(m_changes.back().version.number, m_script.revision);
}

// Guards against a follower that falls further behind with each answer: large versions followed one another
// faster than its link could carry them, and the watch brought all of them.
TEST_F(direct_follower, a_watch_far_behind_is_replaced_by_lists_until_the_changes_stop) {
    ASSERT_TRUE(run_until([&] { return m_script.watches >= 1; }));
    const auto large = std::string(40'000, 'x');
    m_script.events = json::array();
    for (auto version = 10; version < 14; ++version) {
        auto item = routes_item(++m_script.revision, version);
        item["spec"]["comment"] = large;
        m_script.events.push_back(event_of(std::move(item)));
    }
    m_script.items = json::array({routes_item(++m_script.revision, 14)});
    const auto watches = m_script.watches;
    const auto is_newest_known = [&] { return m_changes.back().version.number == m_script.revision; };
    ASSERT_TRUE(run_until(is_newest_known)) << "what came after the watch's answer was not listed";
    EXPECT_EQ(m_script.watches, watches + 1) << "it watched again before it had listed";
    m_script.items = json::array({routes_item(++m_script.revision, 15)});
    ASSERT_TRUE(run_until(is_newest_known)) << "it did not list until nothing changed";
    ASSERT_TRUE(run_until([&] { return m_script.watches > watches + 1; }))
        << "it did not return to the watch";
}

} // namespace
} // namespace teaselcross
