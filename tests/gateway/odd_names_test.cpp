// Objects of other writers under names that a path or a query cannot contain as they are, in a store that
// hands lists out in pages and refuses malformed calls.

#include "core/field_text.h"
#include "gateway/cluster_state_feed.h"
#include "gateway/object_list.h"
#include "gateway/store_follower.h"
#include "logging/log.h"
#include "platform/records.h"
#include "platform/store.h"
#include "soak/foreign_entries.h"
#include "soak/store.h"
#include "support/http_client.h"
#include "support/loopback_peer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

using json = nlohmann::json;
using std::chrono::seconds;

constexpr auto page_size = std::size_t{3};
const auto usable_names = std::vector<std::string>{"i-a", "i-b", "i-c", "i-d", "i-e", "i-f"};

/// Each sorts between "i-b" and "i-d", so that it ends the first page.
auto odd_names() -> std::vector<std::string> {
    return soak::foreign_names("i-bb");
}

auto target_specification() -> json {
    return {{"service", "s"}, {"address", "10.0.0.9:8080"}, {"zone", "west"},
            {"slots", 4},     {"state", "ready"},           {"sequence", 1}};
}

class odd_names_test : public testing::Test {
protected:
    odd_names_test() {
        m_store.start();
        m_settings.store = {.host = "127.0.0.1", .port = m_store.port()};
    }

    auto put_usable(const std::string& kind) -> void {
        for (const auto& name : usable_names) {
            m_store.put(kind, name, target_specification());
        }
    }

    auto list(const std::string& kind) -> object_list {
        auto found = std::optional<object_list>{};
        boost::asio::co_spawn(
            m_context, read_object_list(m_access, kind, false),
            [&](const std::exception_ptr&, object_list result) { found = std::move(result); });
        EXPECT_TRUE(run_until(m_context, [&] { return found.has_value(); }));
        return found.value_or(object_list{});
    }

    static auto keys_in(const object_list& found) -> std::vector<std::string> {
        auto keys = std::vector<std::string>{};
        for (const auto& page : found.pages) {
            for (const auto& object : page.objects) {
                keys.push_back(object.key);
            }
        }
        return keys;
    }

    boost::asio::io_context m_context{1};
    soak::store m_store{m_context, {.host = "127.0.0.1"}, 1, page_size};
    gateway_settings m_settings{.instance = "own", .data_centre = data_centre_id{"east"}};
    cluster_state m_cluster{m_settings, m_context.get_executor()};
    store_access m_access{m_settings, m_cluster, m_context.get_executor(), platform::platform_dialect};
};

// Guards against lists that cannot be read, or have no end, because of the name of one object: no request was
// served after a restart while it stood.
TEST_F(odd_names_test, one_that_ends_a_page_costs_no_other_object) {
    for (const auto* kind : {platform::kinds::targets, platform::kinds::routes, platform::kinds::evacuations,
                             platform::kinds::instances, platform::kinds::key_maps}) {
        put_usable(kind);
        for (const auto& name : odd_names()) {
            m_store.put(kind, name, json::object());
            const auto calls = m_store.calls();
            const auto found = list(kind);
            EXPECT_EQ(found.end, list_end::complete) << kind << ": " << name;
            auto expected = std::vector<std::string>{};
            for (const auto& each : usable_names) {
                expected.push_back(std::string{kind} + "/" + each);
            }
            expected.insert(expected.begin() + 2, std::string{kind} + "/" + name);
            EXPECT_EQ(keys_in(found), expected) << kind << ": " << name;
            EXPECT_EQ(m_store.calls() - calls, 3U) << kind << ": " << name;
            m_store.remove(kind, name);
        }
    }
    EXPECT_EQ(m_store.malformed_calls(), 0U);
}

// The same for the follower of the targets: one that has all other targets has read the list to its end.
TEST_F(odd_names_test, targets_beside_one_are_known) {
    for (const auto& name : odd_names()) {
        put_usable(platform::kinds::targets);
        m_store.put(platform::kinds::targets, name, json::object());
        auto cluster = cluster_state{m_settings, m_context.get_executor()};
        auto access = store_access{m_settings, cluster, m_context.get_executor(), platform::platform_dialect};
        auto feed = cluster_state_feed{m_settings, cluster, access};
        auto follower = store_follower{access,
                                       cluster,
                                       m_settings,
                                       m_context.get_executor(),
                                       {.kind = platform::kinds::targets},
                                       feed.target_events()};
        auto result = std::optional<refresh_result>{};
        boost::asio::co_spawn(m_context, follower.refresh(),
                              [&](const std::exception_ptr&, refresh_result found) { result = found; });
        ASSERT_TRUE(run_until(m_context, [&] { return result.has_value(); }));
        EXPECT_EQ(*result, refresh_result::complete) << name;
        for (const auto& each : usable_names) {
            EXPECT_NE(cluster.target(target_id{each}), nullptr) << each << " beside " << name;
        }
        m_store.remove(platform::kinds::targets, name);
    }
}

// Guards against a call that is shortened or split by the name of the object that it concerns.
TEST_F(odd_names_test, calls_name_the_object_as_it_is) {
    for (const auto& name : odd_names()) {
        m_store.put("k", name, json{{"x", 1}});
        for (const auto call_kind :
             {store_call_kind::get, store_call_kind::update, store_call_kind::remove}) {
            auto call = store_call{.kind = call_kind, .key = "k/" + name, .value = R"({"x":2})"};
            auto reply = std::optional<store_reply>{};
            boost::asio::co_spawn(
                m_context, m_access.call_directly(std::move(call)),
                [&](const std::exception_ptr&, store_reply got) { reply = std::move(got); });
            ASSERT_TRUE(run_until(m_context, [&] { return reply.has_value(); }));
            EXPECT_EQ(reply->status, store_status::ok) << name;
        }
        EXPECT_TRUE(m_store.spec("k/" + name).is_null()) << name;
    }
}

/// A store whose lists cannot be continued.
class odd_pages : public odd_names_test {
protected:
    /// Lists with @a items, which the store says are followed by more.
    auto list_of(const std::vector<std::string>& items) -> object_list {
        auto joined = std::string{};
        for (const auto& each : items) {
            joined += (joined.empty() ? "" : ",") + each;
        }
        m_calls = 0;
        m_body = R"({"items":[)" + joined + R"(],"has-more":true,"at":9})";
        m_settings.store = m_peer.address();
        return list("servers");
    }
    static auto item(const std::string& name) -> std::string {
        return R"({"metadata":{"name":)" + name + R"(,"revision":1},"spec":{}})";
    }

    std::size_t m_calls = 0;
    std::string m_body;
    loopback_peer m_peer{m_context.get_executor(), [this](const auto&) {
                             ++m_calls;
                             return m_body;
                         }};
};

// Guards against a list that is taken for complete although the store has more, and against one without end.
TEST_F(odd_pages, list_that_cannot_be_continued_is_incomplete_after_a_few_calls) {
    const auto nameless = list_of({item("7"), item("null")});
    EXPECT_EQ(nameless.end, list_end::incomplete);
    EXPECT_EQ(m_calls, 1U);
    const auto empty = list_of({});
    EXPECT_EQ(empty.end, list_end::incomplete);
    EXPECT_EQ(m_calls, 1U);
    const auto repeated = list_of({item("\"a\""), item("7"), item("\"b\"")});
    EXPECT_EQ(repeated.end, list_end::incomplete);
    EXPECT_EQ(m_calls, 2U);
    EXPECT_EQ(keys_in(repeated).front(), "servers/a");
}

// Guards against removals of objects that an incomplete list does not reach, and against calls without a
// pause.
TEST_F(odd_pages, incomplete_list_removes_nothing_and_is_read_again_at_intervals) {
    auto feed = cluster_state_feed{m_settings, m_cluster, m_access};
    auto follower = store_follower{m_access,
                                   m_cluster,
                                   m_settings,
                                   m_context.get_executor(),
                                   {.kind = platform::kinds::targets},
                                   feed.target_events()};
    const auto target = [](const std::string& name, int revision) {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision) +
               R"(},"spec":)" + target_specification().dump() + "}";
    };
    m_settings.store = m_peer.address();
    m_body = R"({"items":[)" + target("a", 1) + "," + target("z", 2) + R"(],"at":9})";
    boost::asio::co_spawn(m_context, follower.refresh(), boost::asio::detached);
    ASSERT_TRUE(run_until(m_context, [&] { return follower.listed(); }));
    m_calls = 0;
    m_body = R"({"items":[)" + target("b", 12) + "," + item("7") + R"(],"has-more":true,"at":99})";
    boost::asio::co_spawn(m_context, follower.run(), boost::asio::detached);
    m_context.restart();
    m_context.run_for(seconds{3});
    for (const auto* name : {"a", "b", "z"}) {
        EXPECT_NE(m_cluster.target(target_id{name}), nullptr) << name;
    }
    EXPECT_EQ(follower.state().complete_to.number, 9U);
    EXPECT_GE(m_calls, 4U) << "two calls a list";
    EXPECT_LE(m_calls, 8U);
}

// Guards against a request to a target that is split by the target's name.
TEST(odd_target_names, name_that_no_header_field_can_carry_names_no_target) {
    const auto is_target = [](const std::string& name) {
        return platform::parse_target(name, target_specification().dump()).has_value();
    };
    EXPECT_TRUE(is_target("i-1") && is_target("i 1&+#%") && is_target("\xc3\xa9"));
    for (const auto& name :
         {std::string{}, std::string{"i\r\nX: y"}, std::string{"i\n"}, std::string{"i\x7f"},
          std::string{" i"}, std::string{"i "}, std::string("i\0", 2), std::string(70'000, 'i')}) {
        EXPECT_FALSE(is_target(name)) << name.substr(0, 20);
    }
    auto entry = target_specification();
    entry["address"] = "::1%\r\nX: y:80";
    EXPECT_FALSE(platform::parse_target("i-1", entry.dump()));
}

// Guards against log lines that a name of another writer ends or forges.
TEST(odd_target_names, name_stays_within_its_log_line) {
    const auto line = log::format("object_added", {{"object", std::string{"a\r\x1b\nevent=stopped\x01"}}});
    EXPECT_TRUE(std::none_of(line.begin(), line.end(), is_control_character)) << line;
    EXPECT_EQ(line.find("event=stopped"), line.find("a ") + 4) << "within the quotes";
    EXPECT_NE(line.find('"'), std::string::npos);
}

} // namespace
} // namespace teaselcross
