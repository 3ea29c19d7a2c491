// Entries that another writer left in the store: what cannot be read names no target to use, and the entries
// beside it hold.

#include "gateway/peers.h"
#include "platform/records.h"
#include "platform/store.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace teaselcross::test {

namespace {

namespace http = boost::beast::http;
using json = nlohmann::json;
using namespace std::string_literals;

constexpr auto depth = std::size_t{100'000};

auto target_entry() -> json {
    return {{"service", "history"}, {"address", "10.0.0.9:8080"}, {"zone", "west"}, {"version", "v1"},
            {"slots", 4},           {"state", "ready"},           {"sequence", 4},  {"cold-remaining-s", 1.5},
            {"born", 1771872880832}};
}

auto nested(const std::string& open, const std::string& close, std::size_t levels = depth) -> std::string {
    auto text = std::string{};
    for (auto level = std::size_t{0}; level < levels; ++level) {
        text += open;
    }
    text += "1";
    for (auto level = std::size_t{0}; level < levels; ++level) {
        text += close;
    }
    return text;
}

/// Specifications that no parser for the usual entries can read.
auto odd_specifications() -> std::vector<std::string> {
    const auto with_slots = [](const std::string& slots) { return R"({"slots":)" + slots + "}"; };
    return {nested("[", "]"),
            nested(R"({"service":)", "}"),
            nested(R"([{"a":)", "}]"),
            with_slots("1e999"),
            with_slots("-1e999"),
            with_slots("1" + std::string(400, '0')),
            with_slots("NaN"),
            with_slots("-Infinity"),
            with_slots("01"),
            "\"\xff\xfe\"",
            R"("\ud800")",
            R"({"service":"]}","a":"\"}","b":"\\"})"};
}

auto item(const std::string& name, int revision, const std::string& specification) -> std::string {
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision) +
           R"(,"created":1,"finalizers":[]},"spec":)" + specification + R"(,"status":{}})";
}

auto read(store_call_kind kind, const std::string& body) -> store_reply {
    auto answer = http_response{http::status::ok, 11};
    answer.body() = body;
    auto reply = store_reply{};
    platform::platform_dialect.read_reply({.kind = kind, .key = "servers"}, answer, reply);
    return reply;
}

auto is_usable(const store_object& object) -> bool {
    return platform::parse_target(object.key, object.value).has_value();
}

auto is_rejected_with(json entry, const char* field, const json& value) -> bool {
    entry[field] = value;
    return !platform::parse_target("i-1", entry.dump()).has_value();
}

} // namespace

// Guards against instances that end, or no longer follow the targets, because of one entry of the list.
TEST(odd_entries, entries_beside_an_odd_one_are_read) {
    const auto usable = target_entry().dump();
    for (const auto& odd : odd_specifications()) {
        const auto shown = odd.substr(0, 60);
        const auto list =
            read(store_call_kind::list, R"({"items":[)" + item("a", 1, usable) + "," + item("b", 2, odd) +
                                            ", " + item("c", 3, usable) + R"(],"has-more":false,"at":9})");
        ASSERT_EQ(list.status, store_status::ok) << shown;
        ASSERT_EQ(list.objects.size(), 3U) << shown;
        EXPECT_EQ(list.version.number, 9U);
        EXPECT_FALSE(list.more);
        EXPECT_TRUE(is_usable(list.objects[0]) && is_usable(list.objects[2])) << shown;
        // Its key and version are part of the digests by which instances compare their copies.
        EXPECT_EQ(list.objects[1].key, "servers/b");
        EXPECT_EQ(list.objects[1].version.number, 2U);
        EXPECT_FALSE(is_usable(list.objects[1])) << shown;
        EXPECT_TRUE(json::accept(list.objects[1].value)) << shown;

        const auto event = [](const std::string& object) {
            return R"({"deleted":false,"object":)" + object + "}";
        };
        const auto events = read(store_call_kind::watch, R"({"at":9,"events":[)" + event(item("b", 2, odd)) +
                                                             "," + event(item("c", 3, usable)) + "]}");
        ASSERT_EQ(events.objects.size(), 2U) << shown;
        EXPECT_EQ(events.objects[0].key, "servers/b");
        EXPECT_TRUE(is_usable(events.objects[1])) << shown;

        const auto one = read(store_call_kind::get, item("b", 2, odd));
        EXPECT_EQ(one.status, store_status::ok) << shown;
        EXPECT_EQ(one.version.number, 2U) << shown;
    }
}

TEST(odd_entries, metadata_of_odd_types_concerns_its_entry_only) {
    const auto usable = target_entry().dump();
    const auto with_metadata = [&](const std::string& metadata) {
        return read(store_call_kind::list, R"({"items":[{"metadata":)" + metadata + R"(,"spec":)" + usable +
                                               "}," + item("c", 3, usable) + R"(],"at":9})");
    };
    for (const auto& nameless : {R"({"name":7,"revision":2})"s, R"({"name":null})"s, R"({})"s, "[]"s, "7"s,
                                 nested("[", "]"), R"({"name":)"s + nested("[", "]") + "}"}) {
        const auto reply = with_metadata(nameless);
        ASSERT_EQ(reply.status, store_status::ok);
        ASSERT_EQ(reply.objects.size(), 1U);
        EXPECT_EQ(reply.objects[0].key, "servers/c");
    }
    for (const auto* revision : {"-2", "2.5", "1e999", "\"2\"", "null", "[2]"}) {
        const auto reply = with_metadata(R"({"name":"b","revision":)"s + revision + "}");
        ASSERT_EQ(reply.objects.size(), 2U) << revision;
        EXPECT_EQ(reply.objects[0].version.number, 0U) << revision;
    }
    const auto reply = with_metadata(R"({"finalizers":)" + nested("[", "]") + R"(,"name":"b","revision":2})");
    ASSERT_EQ(reply.objects.size(), 2U);
    EXPECT_EQ(reply.objects[0].version.number, 2U);
}

TEST(odd_entries, an_answer_that_is_no_list_is_not_taken_for_an_empty_one) {
    for (const auto* body :
         {"", "[]", "{", R"({"items":[],"at":9)", R"({"items":[],"at":9}})", R"({"items":[}],"at":9})",
          R"({"items":{},"at":9})", R"({"items":[],"at":-9})", R"({"items":[],"at":"9"})", R"({"items":[]})",
          R"({"items":[{}{}],"at":9})", R"({"items":["],"at":9})", R"({"items":["\)", R"({"at":9})"}) {
        EXPECT_EQ(read(store_call_kind::list, body).status, store_status::unavailable) << body;
    }
    EXPECT_EQ(read(store_call_kind::list, " { \"at\" : 9 , \"items\" : [ ] } \n").status, store_status::ok);
}

// Guards against numbers that wrap round when they are stored, or are undefined as a duration.
TEST(odd_entries, numbers_out_of_range_name_no_target) {
    const auto entry = target_entry();
    for (const auto& slots : {json(-1), json(0), json(1e300), json(1ULL << 63U), json(~0ULL), json(4.5)}) {
        EXPECT_TRUE(is_rejected_with(entry, "slots", slots)) << slots;
    }
    for (const auto& cold : {json(1e300), json(1e12), json(-1e300), json("1"), json(nullptr)}) {
        EXPECT_TRUE(is_rejected_with(entry, "cold-remaining-s", cold)) << cold;
    }
    for (const auto& born : {json(-1), json(1e300), json(~0ULL), json("1")}) {
        EXPECT_TRUE(is_rejected_with(entry, "born", born)) << born;
    }
    for (const auto* port : {"0", "65536", "70000", "-1", "99999999999999999999", "1e3", "80 ", ""}) {
        EXPECT_TRUE(is_rejected_with(entry, "address", "10.0.0.9:"s + port)) << port;
    }
}

// Guards against a port that wraps round to that of another process.
TEST(odd_entries, numbers_out_of_range_name_no_instance) {
    const auto record = json{{"data_centre", "west"},
                             {"host", "10.0.0.9"},
                             {"port", 7540},
                             {"processor", 0.2},
                             {"birth", 1771872880832}};
    const auto is_read = [&](const char* field, const json& value) {
        auto changed = record;
        changed[field] = value;
        return parse_instance_record({.key = "k/i", .version = {.number = 1}, .value = changed.dump()})
            .has_value();
    };
    EXPECT_TRUE(is_read("port", 7540));
    for (const auto& port : {json(70000), json(-1), json(1e300), json(7540.5), json(~0ULL)}) {
        EXPECT_FALSE(is_read("port", port)) << port;
    }
    EXPECT_FALSE(is_read("birth", 1e300));
    EXPECT_FALSE(is_read("birth", -1));
    EXPECT_FALSE(parse_instance_record({.key = "k/i", .version = {.number = 1}, .value = nested("[", "]")}));
}

TEST(odd_entries, a_configuration_with_a_number_out_of_range_is_rejected) {
    const auto config = [](const std::string& timeout, const std::string& weight,
                           const std::string& attempts) {
        return R"({"version":7,"clusters":[{"name":"s"}],"listeners":[{"host":"a","rules":[{"name":"r",
            "kind":"safe","match":{"path-prefix":"/"},"action":{"timeout-s":)" +
               timeout + R"(,"max-attempts":)" + attempts + R"(,"traffic-split":[{"service":"s","weight":)" +
               weight + "}]}}]}]}";
    };
    EXPECT_TRUE(platform::parse_routes(config("1", "1", "2")));
    EXPECT_TRUE(platform::parse_routes(config("0.5", "1.0", "2.0"))) << "whole numbers";
    for (const auto* odd : {"1e300", "1e999", "-1"}) {
        EXPECT_FALSE(platform::parse_routes(config(odd, "1", "2"))) << odd;
        EXPECT_FALSE(platform::parse_routes(config("1", odd, "2"))) << odd;
        EXPECT_FALSE(platform::parse_routes(config("1", "1", odd))) << odd;
    }
    EXPECT_FALSE(platform::parse_routes(config("1", "4294967297", "2")));
}

TEST(odd_entries, a_deep_entry_that_another_instance_passes_on_names_no_target) {
    EXPECT_FALSE(platform::parse_target("i-1", nested("[", "]")));
    EXPECT_FALSE(platform::parse_target("i-1", nested(R"({"service":)", "}")));
    EXPECT_FALSE(platform::parse_routes(nested(R"({"clusters":)", "}")));
}

} // namespace teaselcross::test
