// Decoding of the client accounts of a configuration.

#include "platform/records.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace teaselcross::platform {
namespace {

using json = nlohmann::json;

auto config(const json& tenants) -> std::string {
    auto document = json::parse(R"({"version":7,"clusters":[{"name":"s"}],"listeners":[{"host":"a","rules":[
        {"name":"r","kind":"safe","public":true,"match":{"path-prefix":"/"},
         "action":{"service":"s","timeout-s":1}}]}]})");
    document["tenants"] = tenants;
    return document.dump();
}

const auto two_accounts = json::parse(R"([
    {"name":"acme","api-keys":["k1","secret"],"rate-per-s":12.5,"burst":40,"priority":0,"colour":"red"},
    {"name":"b","api-keys":["k3"]}])");

TEST(platform_accounts, accounts_are_decoded_and_unknown_fields_are_remarked) {
    const auto table = parse_routes(config(two_accounts));
    ASSERT_TRUE(table) << table.error();
    const auto expected = client_account{.name = "acme", .rank = 0, .quota = {.rate = 12.5, .burst = 40}};
    EXPECT_EQ(*find_account(*table->accounts, "secret"), expected);
    EXPECT_EQ(*find_account(*table->accounts, "k3"), client_account{.name = "b"});
    EXPECT_EQ(table->remarks, std::vector<std::string>{"/tenants/0/colour: unknown field"});
    EXPECT_FALSE(needs_account(*table, table->rules_by_host.at("a").front())) << "the rule is public";
}

TEST(platform_accounts, an_empty_list_needs_a_key_and_no_list_has_no_accounts) {
    const auto rule = route_rule{};
    const auto empty = parse_routes(config(json::array()));
    ASSERT_TRUE(empty && empty->accounts);
    EXPECT_TRUE(needs_account(*empty, rule));
    auto document = json::parse(config(json::array()));
    document.erase("tenants");
    EXPECT_EQ(parse_routes(document.dump())->accounts, nullptr);
}

/// Guards against an installation that is open, or closed to a caller, because its accounts were misread.
TEST(platform_accounts, a_faulty_list_is_refused_as_a_whole_and_the_fault_is_located) {
    const auto faults =
        std::vector<std::pair<std::string, json>>{{"/0", "acme"},          {"/0/name", ""},
                                                  {"/0/name", 5},          {"/0/name", nullptr},
                                                  {"/1/name", "acme"},     {"/0/api-keys", "k1"},
                                                  {"/0/api-keys/1", ""},   {"/0/api-keys/1", 5},
                                                  {"/0/api-keys/1", "k1"}, {"/1/api-keys/0", "secret"},
                                                  {"/0/rate-per-s", -1},   {"/0/rate-per-s", "secret"},
                                                  {"/0/burst", -0.5},      {"/0/burst", nullptr},
                                                  {"/0/priority", -1},     {"/0/priority", 0.5},
                                                  {"/0/priority", "0"},    {"/0/priority", 4294967296},
                                                  {"", nullptr},           {"", json::object()},
                                                  {"", "secret"}};
    for (const auto& [place, wrong] : faults) {
        auto tenants = two_accounts;
        tenants[json::json_pointer{place}] = wrong;
        const auto table = parse_routes(config(tenants));
        ASSERT_FALSE(table) << place << " = " << wrong;
        EXPECT_TRUE(table.error().starts_with("/tenants" + place + ": ")) << table.error();
        EXPECT_EQ(table.error().find("secret"), std::string::npos) << "keys are secret";
    }
}

} // namespace
} // namespace teaselcross::platform
