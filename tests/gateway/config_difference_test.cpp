// Configurations that arrive as differences: each is in force as if it had come whole, or is asked for whole.

#include "gateway/cluster_state_feed.h"
#include "platform/names.h"
#include "platform/store.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace teaselcross {
namespace {

using json = nlohmann::json;

auto rule(const std::string& name, const std::string& service) -> json {
    return {{"name", name},
            {"kind", "safe"},
            {"match", {{"path-prefix", "/" + name + "/"}}},
            {"action", {{"service", service}, {"timeout-s", 1}, {"max-attempts", 2}}},
            {"target-latency-s", 0.5},
            {"priority", 1}};
}

/// A configuration with one route for each of @a routes, to the service s.
auto configuration(int version, const std::vector<std::string>& routes) -> json {
    auto rules = json::array();
    for (const auto& each : routes) {
        rules.push_back(rule(each, "s"));
    }
    const auto cluster = json{{"name", "s"},       {"health-path", "/health"}, {"max-conns", 8},
                              {"cold-start-s", 0}, {"cold-per-s", 10},         {"sharded", false}};
    return {{"version", version},
            {"listeners", json::array({{{"host", "a"}, {"rules", std::move(rules)}}})},
            {"clusters", json::array({cluster})},
            {"limits", {{"idle-timeout-s", 10}}}};
}

class config_difference : public testing::Test {
protected:
    static auto object(std::uint64_t revision, const std::string& value) -> store_object {
        return {.key = platform::kinds::routes_object, .version = {.number = revision}, .value = value};
    }
    auto apply(std::uint64_t revision, const json& whole) -> void {
        m_events.changed(object(revision, whole.dump()), instant{});
    }
    auto patch(std::uint64_t base, std::uint64_t revision, const std::string& difference) -> bool {
        return m_events.patched(object(revision, difference), {.number = base});
    }
    auto version() const -> std::uint64_t { return m_cluster.routes()->version; }
    auto has_route(const std::string& name) const -> bool {
        return find_route(*m_cluster.routes(), "a", "/" + name + "/x") != nullptr;
    }

    boost::asio::io_context m_context{1};
    gateway_settings m_settings;
    cluster_state m_cluster{m_settings, m_context.get_executor()};
    store_access m_store{m_settings, m_cluster, m_context.get_executor(), platform::platform_dialect};
    cluster_state_feed m_feed{m_settings, m_cluster, m_store};
    follower_events m_events = m_feed.route_events();
    json m_first = configuration(1, {"b", "c", "d"});
    json m_second = configuration(2, {"b", "n", "d"});
};

TEST_F(config_difference, applies_to_its_base_as_the_whole_configuration_would) {
    apply(10, m_first);
    const auto difference = routes_difference(m_first.dump(), m_second.dump());
    ASSERT_TRUE(difference);
    EXPECT_LT(difference->size(), m_second.dump().size());
    EXPECT_TRUE(patch(10, 11, *difference));
    EXPECT_EQ(version(), 2U);
    EXPECT_TRUE(has_route("n"));
    EXPECT_FALSE(has_route("c"));
    const auto stored = m_events.patched_object(platform::kinds::routes_object);
    ASSERT_TRUE(stored);
    EXPECT_EQ(stored->version.number, 11U);
    EXPECT_EQ(json::parse(stored->value), m_second);
}

// Guards against a configuration that nobody has confirmed: differences to another version than the known
// one.
TEST_F(config_difference, with_another_base_is_not_applied) {
    apply(10, m_first);
    const auto difference = *routes_difference(m_first.dump(), m_second.dump());
    EXPECT_FALSE(patch(9, 11, difference));
    EXPECT_EQ(version(), 1U);
    EXPECT_TRUE(patch(10, 11, difference));
}

TEST_F(config_difference, that_cannot_be_applied_leaves_the_configuration_and_asks_for_the_whole) {
    apply(10, m_first);
    const auto bad = std::vector<std::string>{
        "{", "3", R"([{"op":"remove","path":"/listeners/7"}])", R"([{"op":"move"}])",
        R"([{"op":"replace","path":"/version","value":2},{"op":"remove","path":"/none"}])"};
    for (const auto& each : bad) {
        EXPECT_FALSE(patch(10, 11, each)) << each;
        EXPECT_EQ(version(), 1U) << each;
        EXPECT_TRUE(has_route("c")) << each;
        EXPECT_FALSE(patch(10, 11, "[]")) << "after " << each << " nothing is known that could be patched";
        apply(10, m_first);
    }
    apply(11, m_second);
    EXPECT_EQ(version(), 2U);
}

// Guards against an invalid version that is taken, and against one that hides the valid ones after it.
TEST_F(config_difference, to_an_invalid_configuration_is_not_in_force_and_the_next_one_is) {
    auto invalid = m_second;
    invalid["listeners"][0]["rules"][0]["action"]["service"] = "unknown";
    const auto third = configuration(3, {"b", "n"});
    apply(10, m_first);
    EXPECT_TRUE(patch(10, 11, *routes_difference(m_first.dump(), invalid.dump())));
    EXPECT_EQ(version(), 1U);
    EXPECT_TRUE(patch(11, 12, *routes_difference(invalid.dump(), third.dump())));
    EXPECT_EQ(version(), 3U);
}

TEST_F(config_difference, of_a_text_that_cannot_be_parsed_is_none) {
    EXPECT_FALSE(routes_difference("{", m_second.dump()));
    EXPECT_FALSE(routes_difference(m_first.dump(), ""));
}

} // namespace
} // namespace teaselcross
