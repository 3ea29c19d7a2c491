// Every sequence of outcomes of the sends of one request, up to the highest number of attempts: the caller
// gets the outcome of the last send or a true refusal, and never anything that an earlier send has left
// behind.

#include "support/router_world.h"

#include <array>

namespace teaselcross {
namespace {

/// What a target does with a send.
enum class behaviour {
    success,
    failure,
    unstated_refusal,
    shed,
    misdirected,
    cut,
    closed,
    garbled,
    copy_and_cut,
    unsigned_success
};
constexpr enum_table<behaviour, 10> behaviour_names{
    "success", "failure", "unstated_refusal", "shed",         "misdirected",
    "cut",     "closed",  "garbled",          "copy_and_cut", "unsigned_success"};
constexpr auto max_attempts = std::size_t{3};

using behaviours = std::vector<behaviour>;

auto may_run(behaviour each) -> bool {
    return each != behaviour::shed && each != behaviour::misdirected;
}

auto status_line(const std::string& status, const std::string& id) -> std::string {
    return "HTTP/1.1 " + status + "\r\n" + platform::names::attempt_id + ": " + id + "\r\n";
}

auto cut_success(const std::string& id) -> std::string {
    const auto whole = success(id, "never whole");
    return whole.substr(0, whole.size() - 3);
}

auto answer_with(behaviour each, const std::string& id) -> scripted_answer {
    const auto not_executed = platform::names::not_executed + std::string{": 1\r\n"};
    switch (each) {
    case behaviour::success:
        return {.bytes = success(id, "of " + id)};
    case behaviour::failure:
        return {.bytes = status_line("500 Internal Server Error", id) + platform::names::signature +
                         ": s\r\nContent-Length: 6\r\n\r\nfailed"};
    case behaviour::unstated_refusal:
        return {.bytes = status_line("503 Service Unavailable", id) + platform::names::signature +
                         ": s\r\nContent-Length: 4\r\n\r\nbusy"};
    case behaviour::shed:
        return {.bytes = refusal(id)};
    case behaviour::misdirected:
        return {.bytes =
                    status_line("421 Misdirected Request", id) + not_executed + "Content-Length: 0\r\n\r\n"};
    case behaviour::cut:
        return {.bytes = cut_success(id), .closes = true};
    case behaviour::closed:
        return {.bytes = {}, .closes = true};
    case behaviour::garbled:
        return {.bytes = "garbled\r\n\r\n", .closes = true};
    case behaviour::copy_and_cut:
        return {.bytes = success("an earlier one", "of another") + "HTTP/1.1 200 OK\r\nConte",
                .closes = true};
    case behaviour::unsigned_success:
        return {.bytes = status_line("200 OK", id) + "Content-Length: 2\r\n\r\nok"};
    }
    return {};
}

/// The targets behave in the order of @a sequence, whichever of them a send reaches.
class sequence_world : router_world {
public:
    sequence_world(const behaviours& sequence, std::size_t targets)
        : router_world{static_cast<std::uint32_t>(max_attempts)}, m_sequence{sequence} {
        for (std::size_t index = 0; index < targets; ++index) {
            m_targets.push_back(std::make_unique<scripted_target>(m_context, [this](const auto& request) {
                const auto next = m_sequence[std::min(m_sent.size(), m_sequence.size() - 1)];
                m_sent.push_back(next);
                return answer_with(next, request.attempt_id);
            }));
            list("t" + std::to_string(index), *m_targets.back());
        }
    }

    auto answer_to(const std::string& rule) -> http_response { return ask(rule, "1"); }
    /// What the targets did, send by send.
    auto sent() const -> const behaviours& { return m_sent; }

private:
    const behaviours& m_sequence;
    behaviours m_sent;
    std::vector<std::unique_ptr<scripted_target>> m_targets;
};

auto name_of(const behaviours& sequence) -> std::string {
    auto name = std::string{};
    for (const auto each : sequence) {
        name += std::string{name_in(behaviour_names, each)} + " ";
    }
    return name;
}

auto expect_true_answer(const http_response& answer, const behaviours& sent, const std::string& rule)
    -> void {
    ASSERT_FALSE(sent.empty());
    ASSERT_LE(sent.size(), max_attempts);
    const auto has_run = std::any_of(sent.begin(), sent.end(), may_run);
    const auto is_signed = answer.find(platform::names::signature) != answer.end();
    // Of a request that runs at most once, it would be an untrue promise.
    const auto is_refusal_passed_on = sent.back() == behaviour::unstated_refusal && rule == "safe";
    EXPECT_EQ(answer.result_int() == 200, sent.back() == behaviour::success);
    EXPECT_EQ(is_signed,
              sent.back() == behaviour::success || sent.back() == behaviour::failure || is_refusal_passed_on);
    if (sent.back() == behaviour::success) {
        EXPECT_EQ(answer.body(), "of 1");
    } else if (sent.back() == behaviour::failure) {
        EXPECT_EQ(answer.result_int(), 500U);
        EXPECT_EQ(answer.body(), "failed");
    } else if (is_refusal_passed_on) {
        EXPECT_EQ(answer.result_int(), 503U);
        EXPECT_EQ(answer.body(), "busy");
    } else {
        EXPECT_EQ(answer.result_int(), has_run ? 502U : 503U);
    }
}

auto all_sequences() -> std::vector<behaviours> {
    auto found = std::vector<behaviours>{{}};
    for (std::size_t length = 0; length < max_attempts; ++length) {
        auto longer = std::vector<behaviours>{};
        for (const auto& sequence : found) {
            for (std::size_t each = 0; each < behaviour_names.size(); ++each) {
                longer.push_back(sequence);
                longer.back().push_back(static_cast<behaviour>(each));
            }
        }
        found = std::move(longer);
    }
    return found;
}

// Guards against a response made of what an earlier send has left: a success that no target gave, or a crash.
TEST(send_sequences_test, caller_gets_the_outcome_of_the_last_send) {
    for (const auto& sequence : all_sequences()) {
        for (const auto targets : {std::size_t{2}, std::size_t{4}}) {
            SCOPED_TRACE(name_of(sequence) + "at " + std::to_string(targets) + " targets");
            auto world = sequence_world{sequence, targets};
            const auto answer = world.answer_to("safe");
            expect_true_answer(answer, world.sent(), "safe");
        }
    }
}

// Guards against a second send of a request that may have run and must run at most once.
TEST(send_sequences_test, request_that_runs_at_most_once_is_sent_on_only_after_a_refusal) {
    for (const auto& sequence : all_sequences()) {
        SCOPED_TRACE(name_of(sequence));
        auto world = sequence_world{sequence, 2};
        const auto answer = world.answer_to("once");
        expect_true_answer(answer, world.sent(), "once");
        EXPECT_LE(std::count_if(world.sent().begin(), world.sent().end(), may_run), 1);
    }
}

// Guards against the crash of an instance on a failure, then a refusal, with no target left to try.
TEST(send_sequences_test, failure_then_refusal_with_no_target_left_is_answered) {
    const auto sequence = behaviours{behaviour::failure, behaviour::shed};
    auto world = sequence_world{sequence, 2};
    EXPECT_EQ(world.answer_to("safe").result_int(), 502U);
    EXPECT_EQ(world.sent(), sequence);
}

// Guards against a success without content after a failure, then a copied answer and one that is broken off.
TEST(send_sequences_test, failure_then_copied_and_cut_answers_are_no_success) {
    const auto sequence = behaviours{behaviour::failure, behaviour::copy_and_cut};
    auto world = sequence_world{sequence, 2};
    EXPECT_EQ(world.answer_to("safe").result_int(), 502U);
    EXPECT_EQ(world.sent(), sequence);
}

} // namespace
} // namespace teaselcross
