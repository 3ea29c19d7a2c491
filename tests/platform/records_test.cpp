// Tests of decoding and encoding the platform's objects, settings and messages, including malformed and
// incomplete input.

#include "platform/messages.h"
#include "platform/records.h"
#include "platform/settings.h"
#include "platform/store.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace teaselcross::test {

namespace {

namespace http = boost::beast::http;
using json = nlohmann::json;

auto target_entry() -> json {
    return {{"service", "history"}, {"address", "10.0.0.9:8080"}, {"zone", "west"}, {"version", "v1"},
            {"slots", 4},           {"state", "ready"},           {"sequence", 4},  {"cold-remaining-s", 1.5},
            {"born", 1771872880832}};
}

auto config_entry() -> json {
    return json::parse(R"({"version":7,"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,
        "header-timeout-s":3,"idle-timeout-s":15},
        "listeners":[{"host":"a.example","rules":[
            {"name":"r1","kind":"safe","target-latency-s":0.3,"priority":2,"match":{"path-prefix":"/x/"},
             "action":{"traffic-split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
                       "timeout-s":0.8,"max-attempts":2}},
            {"name":"r2","kind":"non_idempotent","match":{"path-prefix":"/x/y/"},
             "action":{"service":"s2","timeout-s":1}}]}],
        "clusters":[{"name":"s1","health-path":"/health","max-conns":130,"cold-start-s":3.0,"cold-per-s":13.0,
                     "sharded":true},
                    {"name":"s2"}]})");
}

auto settings_document() -> json {
    return json::parse(R"({"node-name":"e1","zone":"west","internal-ports":[7540,7555],
        "listen":{"front":"10.1.0.34:8548","ready":"10.1.0.34:8542"},
        "limits":{"cpu-share":0.2,"cores":1},
        "platform":{"address":"10.200.1.7:8541","writes-per-s":400},
        "bounds":["grace-s=6","drain-s=2.5","budget-extra=192","closed=false"]})");
}

} // namespace

TEST(platform_records, a_target_is_decoded) {
    const auto target = platform::parse_target("i-1", target_entry().dump());
    ASSERT_TRUE(target) << target.error();
    EXPECT_EQ(target->service, service_id{"history"});
    EXPECT_EQ(target->host, "10.0.0.9");
    EXPECT_EQ(target->port, 8080);
    EXPECT_EQ(target->slots, 4U);
    EXPECT_FALSE(target->leaving);
    EXPECT_EQ(target->cold_remaining, std::chrono::milliseconds{1500});
    EXPECT_EQ(target->start_time_ms, 1771872880832U);
}

TEST(platform_records, malformed_targets_are_rejected) {
    for (const auto* field : {"service", "address", "zone", "slots", "state", "sequence"}) {
        auto missing = target_entry();
        missing.erase(field);
        EXPECT_FALSE(platform::parse_target("i-1", missing.dump())) << field << " is missing";
        auto mistyped = target_entry();
        mistyped[field] = json::array();
        EXPECT_FALSE(platform::parse_target("i-1", mistyped.dump())) << field << " is an array";
    }
    auto malformed = target_entry();
    malformed["state"] = "sleeping";
    EXPECT_FALSE(platform::parse_target("i-1", malformed.dump()));
    malformed = target_entry();
    malformed["born"] = 1.5;
    EXPECT_FALSE(platform::parse_target("i-1", malformed.dump()));
    malformed = target_entry();
    malformed["address"] = "nowhere";
    EXPECT_FALSE(platform::parse_target("i-1", malformed.dump()));
    EXPECT_FALSE(platform::parse_target("i-1", "\x01\x02{"));
}

TEST(platform_records, a_configuration_is_decoded) {
    const auto table = platform::parse_routes(config_entry().dump());
    ASSERT_TRUE(table) << table.error();
    EXPECT_EQ(table->version, 7U);
    const auto* rule = find_route(*table, "a.example", "/x/y/z");
    ASSERT_NE(rule, nullptr);
    EXPECT_EQ(rule->name, "r2") << "the longest prefix wins";
    EXPECT_EQ(rule->kind, request_kind::at_most_once);
    EXPECT_EQ(rule->objective, rule->timeout) << "without a latency objective, the timeout applies";
    EXPECT_TRUE(table->services.at(service_id{"s1"}).keyed);
}

TEST(platform_records, an_invalid_configuration_is_rejected_as_a_whole) {
    const auto is_rejected = [](const std::string& pointer, const json& value) {
        auto document = config_entry();
        document[json::json_pointer{pointer}] = value;
        return !platform::parse_routes(document.dump()).has_value();
    };
    EXPECT_TRUE(is_rejected("/listeners/0/rules/0/kind", "odd"));
    EXPECT_TRUE(is_rejected("/listeners/0/rules/0/action/timeout-s", -1));
    EXPECT_TRUE(is_rejected("/listeners/0/rules/1/action/service", "unknown"));
    EXPECT_TRUE(is_rejected("/version", "seven"));
    auto without_timeout = config_entry();
    without_timeout["listeners"][0]["rules"][0]["action"].erase("timeout-s");
    EXPECT_FALSE(platform::parse_routes(without_timeout.dump()));
    EXPECT_FALSE(platform::parse_routes(config_entry().dump().substr(0, 200)));
}

// Guards against a configuration without routes in place of one whose lists have another form.
TEST(platform_records, a_configuration_whose_lists_are_no_lists_is_rejected) {
    for (const auto* place :
         {"/clusters", "/listeners", "/listeners/0/rules", "/listeners/0/rules/0/action/traffic-split"}) {
        const auto list = config_entry().at(json::json_pointer{place});
        auto by_name = json::object();
        for (std::size_t index = 0; index < list.size(); ++index) {
            by_name["entry-" + std::to_string(index)] = list.at(index);
        }
        for (const auto& wrong : {by_name, json(nullptr), json::object(), json("all"), json(1)}) {
            auto document = config_entry();
            document[json::json_pointer{place}] = wrong;
            const auto routes = platform::parse_routes(document.dump());
            ASSERT_FALSE(routes) << place << " = " << wrong;
        }
    }
}

TEST(platform_settings, fields_and_bounds_are_decoded) {
    const auto parsed = platform::parse_settings(settings_document().dump());
    ASSERT_TRUE(parsed);
    const auto* settings = &parsed->settings;
    EXPECT_EQ(settings->instance, "e1");
    EXPECT_EQ(settings->callers.port, 8548);
    EXPECT_EQ(settings->drain, std::chrono::milliseconds{2500});
    EXPECT_DOUBLE_EQ(settings->retry_extra, 192);
    EXPECT_DOUBLE_EQ(settings->cpu_share, 0.2);
}

TEST(platform_settings, all_errors_are_reported_together) {
    auto document = settings_document();
    document.erase("node-name");
    document["listen"]["front"] = "nowhere";
    document["internal-ports"] = {0, 7555};
    document["bounds"].push_back("grace-s=soon");
    const auto settings = platform::parse_settings(document.dump());
    ASSERT_FALSE(settings);
    auto places = std::vector<std::string>{};
    for (const auto& error : settings.error()) {
        places.push_back(error.place);
    }
    EXPECT_EQ(places,
              (std::vector<std::string>{"/node-name", "/listen/front", "/internal-ports/0", "/bounds/4"}));
}

TEST(platform_messages, a_target_request_keeps_the_end_to_end_fields) {
    auto request = http_request{http::verb::post, "/x/1?q=2", 11};
    request.set(http::field::host, "a.example:80");
    request.set(http::field::connection, "keep-alive, X-Hop");
    request.set("X-Hop", "1");
    request.set("X-Own", "2");
    request.set("Teaselcross-Request-Attempt-Id", "id1");
    request.set("Teaselcross-Deadline-Remaining-Ms", "800");
    request.set("Teaselcross-Shard-Key", "65536");
    request.set("Teaselcross-Expect-Instance", "forged");
    const auto decoded = platform::read_caller_request(request);
    EXPECT_EQ(decoded.attempt_id, "id1");
    EXPECT_EQ(decoded.host, "a.example");
    EXPECT_EQ(decoded.time_left, std::chrono::milliseconds{800});
    EXPECT_FALSE(decoded.key) << "out of range";
    platform::make_target_request(request);
    platform::address_target_request(request, target_id{"i-1"}, std::chrono::milliseconds{500});
    EXPECT_EQ(request.count("X-Hop"), 0U);
    EXPECT_EQ(request["X-Own"], "2");
    EXPECT_EQ(request["Teaselcross-Request-Attempt-Id"], "id1");
    EXPECT_EQ(request["Teaselcross-Deadline-Remaining-Ms"], "500");
    EXPECT_EQ(request["Teaselcross-Expect-Instance"], "i-1");
    EXPECT_EQ(request.target(), "/x/1?q=2");
}

TEST(platform_messages, a_refusal_has_a_retry_after_field) {
    const auto answer =
        platform::make_refusal(http::status::service_unavailable, "id1", std::chrono::milliseconds{125});
    EXPECT_EQ(answer[http::field::retry_after], "0.125");
    EXPECT_EQ(answer["Teaselcross-Request-Attempt-Id"], "id1");
    EXPECT_EQ(answer[http::field::content_length], "0");
}

TEST(platform_messages, orders_are_encoded_and_their_responses_decoded) {
    const auto order = holder_command{.kind = command_kind::grant,
                                      .to = {.id = target_id{"i-1"}, .start_time_ms = 1},
                                      .first = 4096,
                                      .last = 8191,
                                      .fence = 12,
                                      .term = std::chrono::milliseconds{3400},
                                      .handover = "token"};
    const auto request = platform::make_order(order, "10.0.0.9");
    const auto body = json::parse(request.body());
    EXPECT_EQ(body, json::parse(R"({"from":4096,"to":8191,"fence":12,"hold-s":3.4,"handover":"token"})"));
    auto handover = std::string{};
    const auto result = [&](http::status status) {
        return platform::read_order_answer(order, http_response{status, 11}, handover);
    };
    EXPECT_EQ(result(http::status::ok), command_result::done);
    EXPECT_EQ(result(http::status::conflict), command_result::refused);
    EXPECT_EQ(result(http::status::service_unavailable), command_result::unanswered);
}

/// A target wrote the answer to an earlier grant a second time, on the connection of a release.
TEST(platform_messages, copy_of_the_answer_to_a_grant_is_no_proof_of_a_release) {
    const auto order = holder_command{.kind = command_kind::release, .first = 1, .last = 2, .fence = 12};
    auto handover = std::string{};
    auto answer = http_response{http::status::ok, 11};
    EXPECT_EQ(platform::read_order_answer(order, answer, handover), command_result::unanswered);
    answer.set("Teaselcross-Handover", "token");
    EXPECT_EQ(platform::read_order_answer(order, answer, handover), command_result::done);
    EXPECT_EQ(handover, "token");
}

/// A target wrote the answer to an earlier probe, which is a release, a second time.
TEST(platform_messages, copy_of_the_answer_to_a_release_is_no_proof_of_a_grant) {
    const auto order = holder_command{.kind = command_kind::grant, .first = 1, .last = 2, .fence = 12};
    auto handover = std::string{};
    auto answer = http_response{http::status::ok, 11};
    EXPECT_EQ(platform::read_order_answer(order, answer, handover), command_result::done);
    answer.set("Teaselcross-Handover", "token");
    EXPECT_EQ(platform::read_order_answer(order, answer, handover), command_result::unanswered);
}

// Guards against keys that stay out of service: the token of their last holder could not be put into a grant.
TEST(platform_messages, token_that_json_cannot_carry_is_dropped) {
    const auto release = holder_command{.kind = command_kind::release, .fence = 12};
    for (const auto& token : {std::string{"\xff\xfe"}, std::string{"a\xc3"}, std::string{"\xed\xa0\x80"}}) {
        auto answer = http_response{http::status::ok, 11};
        answer.set("Teaselcross-Handover", token);
        auto handover = std::string{};
        EXPECT_EQ(platform::read_order_answer(release, answer, handover), command_result::done)
            << "the keys are free";
        const auto grant = holder_command{.kind = command_kind::grant, .fence = 13, .handover = handover};
        EXPECT_NO_THROW(platform::make_order(grant, "h"));
        EXPECT_TRUE(handover.empty());
    }
}

TEST(platform_messages, targets_that_leave_or_ask_for_quiet_are_recognised) {
    const auto read = [](http::status status, const std::string& field, const std::string& value) {
        auto answer = open_answer{};
        answer.parser = std::make_unique<http::response_parser<http::buffer_body>>();
        answer.parser->get().result(status);
        answer.parser->get().set(field, value);
        return platform::read_target_answer(answer);
    };
    EXPECT_TRUE(read(http::status::ok, "Server-Leaving", "1").is_leaving);
    EXPECT_FALSE(read(http::status::ok, "Server", "1").is_leaving);
    using std::chrono::milliseconds;
    EXPECT_EQ(read(http::status::service_unavailable, "Retry-After", "1.5").quiet_for, milliseconds{1500});
    EXPECT_EQ(read(http::status::ok, "Retry-After", "1.5").quiet_for, std::nullopt);
    for (const auto* value : {"", "soon", "-1", "nan", "1 s", "Wed, 21 Oct 2015 07:28:00 GMT"}) {
        EXPECT_EQ(read(http::status::service_unavailable, "Retry-After", value).quiet_for, std::nullopt)
            << value;
    }
}

TEST(platform_store, an_update_without_a_version_is_unconditional) {
    const auto write = store_call{.kind = store_call_kind::update, .key = "k/n", .value = "{}"};
    const auto body = json::parse(platform::platform_dialect.make_request(write, "store").body());
    EXPECT_FALSE(body["metadata"].contains("revision"));
}

TEST(platform_store, replies_are_decoded_and_objects_with_an_invalid_specification_are_kept) {
    const auto& dialect = platform::platform_dialect;
    const auto call = store_call{.kind = store_call_kind::watch, .key = "servers", .after = {.number = 530}};
    EXPECT_EQ(dialect.make_request(call, "store").target(), "/-/objects/servers?watch=530&wait-ms=0");
    auto answer = http_response{http::status::ok, 11};
    answer.body() = R"({"at":533,"events":[
        {"deleted":true,"object":{"metadata":{"name":"i-1","revision":531}}},
        {"deleted":false,"object":{"metadata":{"name":"i-2","revision":532},"spec":"?"}},
        {"deleted":false,"object":7}]})";
    auto reply = store_reply{};
    dialect.read_reply(call, answer, reply);
    ASSERT_EQ(reply.status, store_status::ok);
    ASSERT_EQ(reply.objects.size(), 2U);
    EXPECT_TRUE(reply.objects[0].removed);
    EXPECT_EQ(reply.objects[1].key, "servers/i-2");
    EXPECT_EQ(reply.version, store_revision{.number = 533});
    dialect.read_reply(call, http_response{http::status::gone, 11}, reply);
    EXPECT_EQ(reply.status, store_status::history_lost);
    const auto write = store_call{
        .kind = store_call_kind::update, .key = "k/n", .value = "{}", .expected_version = {.number = 4}};
    EXPECT_EQ(json::parse(dialect.make_request(write, "store").body())["metadata"]["revision"], 4);
    dialect.read_reply(write, http_response{http::status::service_unavailable, 11}, reply);
    EXPECT_EQ(reply.status, store_status::unavailable) << "the call did not take effect";
    dialect.read_reply(write, http_response{http::status::internal_server_error, 11}, reply);
    EXPECT_EQ(reply.status, store_status::unknown);
}

} // namespace teaselcross::test
