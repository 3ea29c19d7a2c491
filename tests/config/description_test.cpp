// The description's schema and rules, patches, and settings: every fault is reported with its location.

#include "config/patch.h"
#include "settings/settings.h"

#include <gtest/gtest.h>

namespace teaselcross::test {

namespace {

const auto valid_description = std::string{R"({
  "data_centres": {"derby": {}, "stoke": {"state": "out"}},
  "services": {
    "history": {"key": "path", "shards": 16},
    "packs": {"hedge": true}
  },
  "targets": {
    "history-1": {"service": "history", "data_centre": "derby", "host": "127.1.1.1", "port": 9000, "slots": 4},
    "history-2": {"service": "history", "data_centre": "stoke", "host": "127.1.1.2", "port": 9000, "slots": 4}
  }
})"};

auto places(const findings& found) -> std::vector<std::string> {
    auto all = std::vector<std::string>{};
    for (const auto& each : found) {
        all.push_back(each.place);
    }
    std::sort(all.begin(), all.end());
    return all;
}

auto first_configuration() -> configuration {
    const auto applied =
        apply_patch({.version = 0, .document = nlohmann::json::object(), .recent = {}},
                    {.id = "first", .base = 0, .changes = nlohmann::json::parse(valid_description)});
    return applied.value();
}

} // namespace

TEST(description, a_valid_description_is_parsed) {
    const auto parsed = parse_description(nlohmann::json::parse(valid_description));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->targets.size(), 2U);
    EXPECT_TRUE(parsed->is_in_service(parsed->targets.at(target_id{"history-1"})));
    EXPECT_FALSE(parsed->is_in_service(parsed->targets.at(target_id{"history-2"})));
}

TEST(description, all_faults_across_fields_are_reported_at_once) {
    auto document = nlohmann::json::parse(valid_description);
    document["services"]["history"]["shards"] = 12;
    document["targets"]["history-1"]["service"] = "nothing";
    document["targets"]["history-2"]["host"] = "example.org";
    document["targets"]["history-2"]["cold_slots"] = 9;
    const auto parsed = parse_description(document);
    ASSERT_FALSE(parsed);
    EXPECT_EQ(places(parsed.error()),
              (std::vector<std::string>{"/services/history/shards", "/targets/history-1/service",
                                        "/targets/history-2/cold_slots", "/targets/history-2/host"}));
}

TEST(description, a_schema_violation_has_its_json_pointer) {
    auto document = nlohmann::json::parse(valid_description);
    document["targets"]["history-1"]["slots"] = "many";
    const auto parsed = parse_description(document);
    ASSERT_FALSE(parsed);
    const auto found = places(parsed.error());
    EXPECT_NE(std::find(found.begin(), found.end(), "/targets/history-1/slots"), found.end());
}

TEST(description, findings_have_the_line_of_the_file) {
    const auto located = locate({{.place = "/services/packs/hedge", .message = "no"},
                                 {.place = "/targets/history-1/missing", .message = "no"}},
                                valid_description);
    EXPECT_EQ(located[0].line, 5);
    EXPECT_EQ(located[1].line, 8);
}

TEST(description, a_syntax_fault_has_its_line) {
    const auto parsed = parse_json("{\n  \"a\": 1,\n  oops\n}");
    ASSERT_FALSE(parsed);
    EXPECT_EQ(parsed.error().front().line, 3);
}

TEST(patch, applies_only_to_its_base_version) {
    const auto current = first_configuration();
    EXPECT_EQ(current.version, 1U);
    const auto change = nlohmann::json{{"targets", {{"history-1", {{"state", "draining"}}}}}};
    const auto won = apply_patch(current, {.id = "a", .base = 1, .changes = change});
    ASSERT_TRUE(won);
    EXPECT_EQ(won->version, 2U);
    const auto lost = apply_patch(*won, {.id = "b", .base = 1, .changes = change});
    ASSERT_FALSE(lost);
    EXPECT_EQ(std::get<version_conflict>(lost.error()).current, 2U);
}

TEST(patch, a_repeat_reports_the_version_at_which_it_took_effect) {
    const auto current = first_configuration();
    const auto change = patch{.id = "a", .base = 1, .changes = nlohmann::json::object()};
    const auto once = apply_patch(current, change).value();
    const auto later = apply_patch(once, {.id = "b", .base = 2, .changes = nlohmann::json::object()}).value();
    const auto repeat = apply_patch(later, change);
    ASSERT_FALSE(repeat);
    EXPECT_EQ(std::get<already_applied>(repeat.error()).version, 2U);
}

TEST(patch, an_invalid_patch_changes_nothing_and_reports_all_faults) {
    const auto current = first_configuration();
    const auto change = nlohmann::json{
        {"targets",
         {{"history-1", {{"service", "none"}}}, {"history-2", {{"host", "x y"}, {"connections", 1}}}}}};
    const auto refused = apply_patch(current, {.id = "a", .base = 1, .changes = change});
    ASSERT_FALSE(refused);
    EXPECT_EQ(std::get<findings>(refused.error()).size(), 3U);
}

TEST(patch, a_configuration_round_trips_through_json) {
    const auto current = first_configuration();
    const auto read = configuration_from_json(to_json(current));
    EXPECT_EQ(to_json(read), to_json(current));
}

TEST(settings, all_faults_are_reported_with_their_lines) {
    const auto read = parse_settings("{\n"
                                     "  \"instance\": \"derby-1\", \"data_centre\": \"derby\",\n"
                                     "  \"host\": \"localhost\",\n"
                                     "  \"platform\": {\"host\": \"127.0.0.1\", \"port\": 7000},\n"
                                     "  \"ports\": {\"caller\": 8081},\n"
                                     "  \"timing\": {\"grant_heartbeat_ms\": 1000}\n"
                                     "}\n");
    ASSERT_FALSE(read);
    auto lines = std::vector<int>{};
    for (const auto& each : read.error()) {
        lines.push_back(each.line);
    }
    std::sort(lines.begin(), lines.end());
    EXPECT_EQ(lines, (std::vector<int>{3, 5, 6}));
}

TEST(settings, unknown_names_are_faults) {
    const auto read = parse_settings(R"({"instance": "a", "data_centre": "b", "host": "127.0.0.1",
                                         "platform": {"host": "127.0.0.1", "port": 1}, "colour": "red"})");
    EXPECT_FALSE(read);
}

} // namespace teaselcross::test
