// Timelines of one request, built from log lines in the format that instances write.

#include "explain/request_timeline.h"

#include <gtest/gtest.h>

#include <sstream>

namespace teaselcross {
namespace {

constexpr auto receiver_log = R"(
ms=900000 up_us=1000000 level=INFO instance=edge-a-1 event=started data_centre=a host=10.1.0.1
ms=901000 up_us=2000000 level=INFO instance=edge-a-1 event=config_in_force version=4 before=3
ms=904000 up_us=5000000 level=WARN instance=edge-a-1 event=store_lost call=watch status=unavailable last_answer_ms=310
ms=905000 up_us=6000000 level=WARN instance=edge-a-1 event=refused id=aa11 reason=no_owner status=503 service=s1 account=acme target=i-7 ms=150
ms=906000 up_us=7000000 level=INFO instance=edge-a-1 event=config_in_force version=9 before=4
)";
constexpr auto controller_log = R"(
ms=880000 up_us=100000 level=INFO instance=edge-b-1 event=range_moves service=s1 first=0 last=9 to=i-8
ms=903900 up_us=4900000 level=INFO instance=edge-b-1 event=key_order kind=release service=s1 target=i-7 first=0 last=9 fence=3 result=unanswered ms=2000
ms=904100 up_us=5100000 level=INFO instance=edge-b-1 event=key_order kind=grant service=s1 target=i-9 first=10 last=19 fence=4 result=unanswered ms=500
ms=904200 up_us=5200000 level=INFO instance=edge-b-1 event=orders_suspended term=1 last_renewal_ms=1700
ms=904300 up_us=5300000 level=WARN instance=edge-b-1 event=refused id=bb22 reason=overload status=503 service=s2 target=i-5 ms=1
)";

auto lines_of(const std::string& text) -> std::vector<log_line> {
    auto input = std::istringstream{text};
    return read_log(input);
}

auto events_of(const std::vector<timeline_entry>& timeline) -> std::vector<std::string> {
    auto events = std::vector<std::string>{};
    for (const auto& each : timeline) {
        events.push_back(each.line.event);
    }
    return events;
}

TEST(request_timeline, includes_the_instance_state_and_the_controller_events) {
    const auto timeline = build_timeline(lines_of(std::string{receiver_log} + controller_log), "aa11");
    EXPECT_EQ(events_of(timeline), (std::vector<std::string>{"started", "config_in_force", "key_order",
                                                             "store_lost", "orders_suspended", "refused"}));
    EXPECT_EQ(timeline.back().kind, timeline_entry_kind::request);
    EXPECT_EQ(timeline[1].line.fields.at("version"), "4")
        << "events after the end of the request are omitted";
    EXPECT_EQ(timeline[2].line.fields.at("target"), "i-7") << "events of other targets are omitted";
}

TEST(request_timeline, omits_moves_of_other_keys_and_state_of_an_earlier_process) {
    const auto timeline = build_timeline(lines_of(R"(
ms=1000 up_us=1000 level=INFO instance=a event=config_in_force version=4 before=3
ms=2000 up_us=2000 level=INFO instance=a event=started data_centre=x host=10.1.0.1
ms=2100 up_us=2100 level=INFO instance=b event=range_moves service=s1 first=0 last=9 to=i-8
ms=2200 up_us=2200 level=INFO instance=b event=range_moves service=s1 first=10 last=19 to=i-9
ms=2300 up_us=2300 level=WARN instance=a event=refused id=aa11 reason=no_owner service=s1 target="" key=12 owner=i-7
)"),
                                         "aa11");
    EXPECT_EQ(events_of(timeline), (std::vector<std::string>{"started", "range_moves", "refused"}));
    EXPECT_EQ(timeline[1].line.fields.at("first"), "10");
}

TEST(request_timeline, does_not_depend_on_the_order_of_the_files) {
    const auto one = build_timeline(lines_of(std::string{receiver_log} + controller_log), "aa11");
    const auto other = build_timeline(lines_of(std::string{controller_log} + receiver_log), "aa11");
    EXPECT_EQ(to_text(one), to_text(other));
    EXPECT_NE(to_text(one).find("account=acme"), std::string::npos);
}

TEST(request_timeline, is_empty_for_an_unknown_request_id) {
    EXPECT_TRUE(build_timeline(lines_of(receiver_log), "aa1").empty());
}

TEST(request_timeline, keeps_the_latest_causes_when_there_are_many) {
    const auto timeline = build_timeline(lines_of(std::string{receiver_log} + controller_log), "aa11",
                                         {.window_ms = 30000, .max_causes = 1});
    EXPECT_EQ(events_of(timeline), (std::vector<std::string>{"started", "config_in_force", "store_lost",
                                                             "orders_suspended", "refused"}));
}

TEST(request_timeline, shows_times_relative_to_the_end_of_the_request) {
    const auto text = to_text(build_timeline(lines_of(std::string{receiver_log} + controller_log), "aa11"));
    EXPECT_NE(text.find("-1000 ms  belief  edge-a-1  event=store_lost"), std::string::npos) << text;
    EXPECT_NE(text.find("0 ms  request  edge-a-1  event=refused id=aa11"), std::string::npos) << text;
}

TEST(log_lines, are_parsed_with_quoted_values_and_a_collector_prefix) {
    const auto line = parse_log_line(
        R"(12.5 edge-a-1 | ms=7 up_us=8 level=WARN instance=edge-a-1 event=settings_refused faults="a \"b\" = c" ms=3)");
    ASSERT_TRUE(line);
    EXPECT_EQ(line->wall_ms, 7);
    EXPECT_EQ(line->steady_us, 8);
    EXPECT_EQ(line->fields.at("faults"), "a \"b\" = c");
    EXPECT_EQ(line->fields.at("ms"), "3") << "the event's own field, not the time of day";
}

TEST(log_lines, are_skipped_when_truncated) {
    EXPECT_FALSE(parse_log_line("ms=7 up_us=8 level=WARN inst"));
    EXPECT_FALSE(parse_log_line(""));
    EXPECT_EQ(lines_of("ms=7 up_us=8 level=INFO instance=a event=started\nms=9 up_us=").size(), 1U);
}

} // namespace
} // namespace teaselcross
