// Answers to grants that come after the keys have moved on, or in another order than the target has read
// what was sent to it.

#include "ownership/holder_probe.h"
#include "ownership/range_grantor.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace teaselcross::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto start = instant{seconds{10}};
constexpr auto tick = milliseconds{40};
const auto a = target_incarnation{.id = target_id{"a"}, .start_time_ms = 1};
const auto b = target_incarnation{.id = target_id{"b"}, .start_time_ms = 1};

auto write_now(range_grantor& state) -> void {
    if (auto map = next_write(state)) {
        on_written(state, *map, {.number = map->revision.number + 1});
    }
}

/// Target "a" has the first range and "b" the second; the test says what becomes of each call.
class late_answers_test : public testing::Test {
protected:
    late_answers_test() {
        set_holders(m_state, {{a.id, {.incarnation = a, .eligible = true, .capacity = 10}},
                              {b.id, {.incarnation = b, .eligible = true, .capacity = 10}}});
        EXPECT_TRUE(assign_initial_ranges(m_state));
        EXPECT_EQ(m_state.map.ranges.front().holder, a);
        run_until(start + seconds{2}, command_result::done);
    }

    /// The calls that are due now.
    auto due() -> std::vector<holder_command> {
        write_now(m_state);
        auto commands = due_commands(m_state, m_now);
        for (auto& each : commands) {
            each.call = ++m_calls;
        }
        return commands;
    }

    auto finish(const holder_command& command, command_result result, instant sent) -> void {
        on_command_finished(m_state, command, result, "token", sent, m_now);
    }

    /// Each call to "a" ends at once with @a from_a; "b" answers each. The releases behind grants wait.
    auto run_until(instant until, command_result from_a) -> void {
        for (; m_now < until; m_now += tick) {
            for (const auto& each : due()) {
                if (each.behind != 0) {
                    m_behind.push_back(each);
                } else {
                    finish(each, each.to == a ? from_a : command_result::done, m_now);
                }
            }
        }
    }

    /// Waits for the next grant to "a" and makes it overdue; returns it and its time of sending.
    auto make_overdue() -> std::pair<holder_command, instant> {
        for (const auto until = m_now + seconds{2}; m_now < until; m_now += tick) {
            auto overdue = std::optional<holder_command>{};
            for (const auto& each : due()) {
                if (each.to == a && each.kind == command_kind::grant) {
                    overdue = each;
                } else {
                    finish(each, command_result::done, m_now);
                }
            }
            if (overdue) {
                const auto sent = m_now;
                m_now += m_state.options.call_timeout;
                finish(*overdue, command_result::overdue, sent);
                return {*overdue, sent};
            }
        }
        ADD_FAILURE() << "no grant to a";
        return {};
    }

    auto move_first_range_to_b() -> void {
        const auto range = m_state.map.ranges.front();
        start_move(m_state, range.first, range.last, b);
    }

    range_grantor m_state;
    instant m_now = start;
    std::uint64_t m_calls = 0;
    std::vector<holder_command> m_behind;
};

// Guards against a second owner that the controller knows of: a former holder says that it has taken its
// grant only now, and the keys, which nobody had been granted since, are granted to the next holder all the
// same.
TEST_F(late_answers_test, keys_that_a_former_holder_has_just_taken_are_not_granted_to_another) {
    const auto overdue = make_overdue().first;
    move_first_range_to_b();
    auto has_moved = false;
    for (const auto until = m_now + seconds{30}; m_now < until && !has_moved; m_now += tick) {
        for (const auto& each : due()) { // Nobody can be reached.
            has_moved = has_moved || (each.to == b && each.is_first);
            if (each.behind == 0) {
                finish(each, command_result::not_sent, m_now);
            }
        }
    }
    ASSERT_TRUE(has_moved);
    on_overdue_answer(m_state, overdue.call, command_result::done, m_now);
    const auto held_until = m_now + m_state.options.grant_term;
    for (; m_now < held_until; m_now += tick) {
        for (const auto& each : due()) {
            const auto is_second_owner = each.kind == command_kind::grant && each.to == b &&
                                         each.first <= overdue.last && overdue.first <= each.last;
            ASSERT_FALSE(is_second_owner) << (held_until - m_now).count() / 1000 << " ms too early";
            // The releases to "a" stay unanswered.
        }
    }
}

// Guards against keys that come back again and again to a target that answers releases and probes, but no
// grant: each time they have no owner until its grants have expired.
TEST_F(late_answers_test, target_that_answers_no_grant_gets_no_keys_again_and_again) {
    const auto c = target_incarnation{.id = target_id{"c"}, .start_time_ms = 1};
    auto first_grants_to_a = 0;
    const auto begin = m_now;
    for (; m_now < begin + seconds{120}; m_now += tick) {
        // "b" and "c" leave in turn, for half of the time each.
        const auto is_c_leaving = (m_now - begin) % seconds{20} < seconds{10};
        set_holders(
            m_state,
            {{a.id, {.incarnation = a, .eligible = true, .capacity = 10}},
             {b.id, {.incarnation = b, .eligible = is_c_leaving, .leaving = !is_c_leaving, .capacity = 10}},
             {c.id, {.incarnation = c, .eligible = !is_c_leaving, .leaving = is_c_leaving, .capacity = 10}}});
        start_evictions(m_state, std::vector<double>(m_state.map.ranges.size(), 1.0), m_now);
        for (const auto& each : due()) {
            const auto is_grant_to_a = each.to == a && each.kind == command_kind::grant;
            first_grants_to_a += is_grant_to_a && each.is_first && each.earlier_holder != a ? 1 : 0;
            finish(each, is_grant_to_a ? command_result::unanswered : command_result::done, m_now);
        }
    }
    // Each time that it is chosen it leaves four grants unanswered.
    EXPECT_LE(first_grants_to_a, 2 * 4);
}

// Guards against a key that is given away while its holder is at work on it: of two overdue grants on
// different connections, the release behind the first was read before the second, and answered after it.
TEST_F(late_answers_test, release_behind_one_grant_proves_nothing_about_another_one_that_was_read_after_it) {
    const auto first = make_overdue().first;
    const auto second = make_overdue().first;
    move_first_range_to_b();
    auto is_granted_to_b = false;
    const auto run = [&](duration length) {
        auto waiting = std::vector<holder_command>{};
        for (const auto until = m_now + length; m_now < until; m_now += tick) {
            for (const auto& each : due()) {
                if (each.behind != 0) {
                    m_behind.push_back(each);
                } else if (each.to == b) {
                    is_granted_to_b = is_granted_to_b || each.is_first;
                    finish(each, command_result::done, m_now);
                } else {
                    waiting.push_back(each); // A release on a connection of its own: "a" is at work on a key.
                }
            }
        }
        return waiting;
    };
    const auto sent = m_now;
    const auto waiting = run(m_state.options.release_timeout);
    ASSERT_EQ(waiting.size(), 1U);
    finish(waiting.front(), command_result::unanswered, sent);
    const auto behind_first = std::find_if(m_behind.begin(), m_behind.end(),
                                           [&](const auto& each) { return each.behind == first.call; });
    ASSERT_NE(behind_first, m_behind.end());
    // "a" has read the first grant, the release behind it, and the second grant.
    on_overdue_answer(m_state, first.call, command_result::done, m_now);
    on_overdue_answer(m_state, second.call, command_result::done, m_now);
    m_now += tick;
    on_release_behind_answered(m_state, *behind_first, "token");
    run(milliseconds{500});
    EXPECT_FALSE(is_granted_to_b) << "nothing that \"a\" has read after the second grant was answered";
}

// Guards against a second owner after a lost record: a range whose next holder had to be replaced was granted
// to its holder again, under the fence of the earlier era, above which another target may have the keys.
TEST_F(late_answers_test, no_grant_under_a_fence_of_before_the_record_was_lost) {
    auto state = range_grantor{};
    auto known = key_map{.era = 1, .fences_used = 6};
    known.ranges = {{.first = 0, .last = 32767, .fence = 5, .holder = a},
                    {.first = 32768, .last = last_shard_key, .fence = 6, .holder = b}};
    set_holders(state, {{a.id, {.incarnation = a, .eligible = true, .capacity = 10}},
                        {b.id, {.incarnation = b, .eligible = true, .capacity = 10}}});
    take_over_lost_record(state, known, start + seconds{1}, start + seconds{4}, start);
    write_now(state);
    set_holders(state, {{a.id, {.incarnation = a, .leaving = true, .capacity = 10}},
                        {b.id, {.incarnation = b, .eligible = true, .capacity = 10}}});
    start_evictions(state, {}, start + milliseconds{3900}); // The store does not answer any more.
    for (auto now = start + milliseconds{3900}; now < start + seconds{6}; now += tick) {
        for (const auto& each : due_commands(state, now)) {
            ASSERT_FALSE(each.kind == command_kind::grant && each.fence <= 6) << each.fence;
            on_command_finished(state, each, command_result::not_sent, "", now, now);
        }
    }
}

// Guards against a probe that takes a key from the target that it is sent to: the only holder, which gets its
// keys under a new fence, still has them under the one before.
TEST_F(late_answers_test, probe_takes_nothing_from_a_holder_that_gets_a_new_fence) {
    auto state = range_grantor{};
    set_holders(state, {{a.id, {.incarnation = a, .eligible = true, .capacity = 10}}});
    ASSERT_TRUE(assign_initial_ranges(state));
    write_now(state);
    auto now = start;
    auto held_under = std::uint64_t{0};
    auto is_refused = false;
    for (; now < start + seconds{3}; now += tick) {
        write_now(state);
        for (const auto& each : due_commands(state, now)) {
            if (each.kind == command_kind::grant && held_under > 0) {
                const auto probe = make_probe(state.map, each);
                EXPECT_LT(probe.fence, held_under) << "key " << probe.first;
            }
            // One renewal is refused: of a single key, the target has seen a higher fence.
            const auto refuses = held_under > 0 && !is_refused && now > start + seconds{1};
            is_refused = is_refused || refuses;
            const auto result = refuses ? command_result::refused : command_result::done;
            on_command_finished(state, each, result, "", now, now);
            held_under =
                result == command_result::done && each.kind == command_kind::grant ? each.fence : held_under;
        }
    }
    ASSERT_TRUE(is_refused);
}

// Guards against keys without an owner for longer than is needed: a target that has ended is not listed any
// more, and answers nothing that was sent after its overdue grant.
TEST_F(late_answers_test, keys_of_an_ended_target_that_answers_nothing_move_after_the_usual_time) {
    const auto [overdue, sent] = make_overdue();
    set_holders(m_state, {{b.id, {.incarnation = b, .eligible = true, .capacity = 10}}});
    auto granted_at = std::optional<instant>{};
    for (const auto until = sent + seconds{30}; m_now < until && !granted_at; m_now += tick) {
        start_evictions(m_state, {}, m_now);
        for (const auto& each : due()) {
            if (each.to == b && each.first <= overdue.first && overdue.last <= each.last) {
                granted_at = m_now;
            }
            if (each.to == b) {
                finish(each, command_result::done, m_now);
            }
        }
    }
    ASSERT_TRUE(granted_at);
    EXPECT_GE(*granted_at, sent + m_state.options.grant_term);
    EXPECT_LT(*granted_at, sent + seconds{6});
}

} // namespace
} // namespace teaselcross::test
