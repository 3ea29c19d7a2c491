// Until when a grant whose answer is awaited beyond its time limit may be in force, and what shows that it is
// not.

#include "ownership/range_grantor.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

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

/// Target "a" has the first range, which is to move to "b"; the test says what becomes of each call to "a".
class overdue_bounds_test : public testing::Test {
protected:
    overdue_bounds_test() {
        set_holders(m_state, {{a.id, {.incarnation = a, .eligible = true, .capacity = 10}},
                              {b.id, {.incarnation = b, .eligible = true, .capacity = 10}}});
        EXPECT_TRUE(assign_initial_ranges(m_state));
        m_keys = m_state.map.ranges.front();
        EXPECT_EQ(m_keys.holder, a);
        run_for(seconds{2}, command_result::done);
    }

    /// The calls that are due now, without those that wait behind overdue grants.
    auto due() -> std::vector<holder_command> {
        write_now(m_state);
        auto commands = due_commands(m_state, m_now);
        std::erase_if(commands, [](const auto& each) { return each.behind != 0; });
        for (auto& each : commands) {
            each.call = ++m_calls;
            const auto is_granted_to_b = each.kind == command_kind::grant && each.to == b;
            if (is_granted_to_b && each.first <= m_keys.last && m_granted_to_b == instant{}) {
                m_granted_to_b = m_now;
            }
        }
        return commands;
    }

    auto finish(const holder_command& command, command_result result, instant sent) -> void {
        on_command_finished(m_state, command, result, "token", sent, m_now);
    }

    /// "b" answers each call at once, and each call to "a" ends at once with @a from_a.
    auto run_for(duration length, command_result from_a) -> void {
        for (const auto until = m_now + length; m_now < until; m_now += tick) {
            for (const auto& each : due()) {
                finish(each, each.to == a ? from_a : command_result::done, m_now);
                m_releases_to_a += each.to == a && each.kind == command_kind::release ? 1 : 0;
            }
        }
    }

    /// "b" answers each call at once, and "a" reads none.
    auto run_unread_for(duration length) -> void {
        auto unread = std::vector<std::pair<holder_command, instant>>{};
        for (const auto until = m_now + length; m_now < until; m_now += tick) {
            start_evictions(m_state, {}, m_now);
            for (const auto& each : due()) {
                if (each.to == a) {
                    unread.emplace_back(each, m_now);
                    m_granted_to_a = each.kind == command_kind::grant ? m_now : m_granted_to_a;
                } else {
                    finish(each, command_result::done, m_now);
                }
            }
            std::erase_if(unread, [&](const auto& each) {
                const auto is_grant = each.first.kind == command_kind::grant;
                const auto& options = m_state.options;
                if (m_now - each.second < (is_grant ? options.call_timeout : options.release_timeout)) {
                    return false;
                }
                finish(each.first, is_grant ? command_result::overdue : command_result::unanswered,
                       each.second);
                return true;
            });
        }
    }

    /// Waits for the next grant to "a" and lets its time limit pass.
    auto make_overdue() -> holder_command {
        for (const auto until = m_now + seconds{2}; m_now < until; m_now += tick) {
            auto grant = holder_command{};
            for (const auto& each : due()) {
                if (each.to == a) {
                    grant = each;
                } else {
                    finish(each, command_result::done, m_now);
                }
            }
            if (grant.call != 0) {
                const auto sent = m_now;
                m_now += m_state.options.call_timeout;
                finish(grant, command_result::overdue, sent);
                return grant;
            }
        }
        ADD_FAILURE() << "no grant to a";
        return {};
    }

    auto move_to_b() -> void { start_move(m_state, m_keys.first, m_keys.last, b); }

    /// Until when "a" may use a grant that it reads at @a read_at.
    auto held_until(instant read_at) const -> instant {
        return read_at + m_state.options.grant_term * 102 / 100;
    }

    range_grantor m_state;
    instant m_now = start;
    key_range m_keys; ///< What "a" has at first.
    std::uint64_t m_calls = 0;
    int m_releases_to_a = 0;
    instant m_granted_to_a{}; ///< When "a" was last sent a grant that it did not read.
    instant m_granted_to_b{}; ///< When "b" was first sent a grant of these keys.
};

// Guards against a second owner when a listed target reads its grants up to 12 s late and answers nothing
// until then: its keys were granted to another while it could still read them.
TEST_F(overdue_bounds_test, grants_to_a_listed_target_that_answers_nothing_may_be_read_twelve_seconds_late) {
    run_unread_for(seconds{30});
    ASSERT_NE(m_granted_to_a, instant{});
    EXPECT_GE(m_granted_to_b, held_until(m_granted_to_a + seconds{12}));
}

// Guards against a second owner when a target reads a grant after it has answered a release, which was sent
// on another connection: the keys were granted to another as soon as the answer to the grant came.
TEST_F(overdue_bounds_test, release_that_was_answered_before_a_late_answer_proves_nothing) {
    const auto grant = make_overdue();
    move_to_b();
    run_for(milliseconds{400}, command_result::done);
    ASSERT_GT(m_releases_to_a, 0);
    ASSERT_EQ(m_granted_to_b, instant{});
    on_overdue_answer(m_state, grant.call, command_result::done, m_now);
    const auto until = held_until(m_now);
    const auto releases_before = m_releases_to_a;
    run_for(milliseconds{80}, command_result::not_sent);
    EXPECT_GT(m_releases_to_a, releases_before) << "it is asked again at once";
    run_for(seconds{10}, command_result::not_sent);
    EXPECT_GE(m_granted_to_b, until);
}

// Guards against a second owner when the connection of an overdue grant ends: the target may have the grant
// in its sockets still, and nobody learns when it reads it.
TEST_F(overdue_bounds_test, grant_whose_connection_has_ended_may_be_read_just_then) {
    const auto grant = make_overdue();
    move_to_b();
    run_for(milliseconds{3500}, command_result::not_sent);
    ASSERT_EQ(m_granted_to_b, instant{});
    on_overdue_answer(m_state, grant.call, command_result::unanswered, m_now);
    const auto until = held_until(m_now);
    run_for(seconds{10}, command_result::not_sent);
    EXPECT_GE(m_granted_to_b, until);
}

// Guards against a second owner when the connection of an overdue grant ends after the holder has answered a
// release: the grant may be read after that release.
TEST_F(overdue_bounds_test, release_proves_nothing_about_a_grant_whose_connection_has_ended) {
    const auto grant = make_overdue();
    move_to_b();
    run_for(milliseconds{400}, command_result::done);
    ASSERT_GT(m_releases_to_a, 0);
    ASSERT_EQ(m_granted_to_b, instant{});
    on_overdue_answer(m_state, grant.call, command_result::unanswered, m_now);
    const auto until = held_until(m_now);
    run_for(seconds{10}, command_result::done);
    EXPECT_GE(m_granted_to_b, until);
}

// Guards against a second owner after a change of controller: the holder released its keys while a grant was
// still awaited, and neither was it asked again, nor did the record name it.
TEST_F(overdue_bounds_test, holder_that_has_released_is_asked_again_while_a_grant_is_awaited) {
    make_overdue();
    run_for(seconds{10}, command_result::done); // Nothing is uncertain any more.
    move_to_b();
    auto is_recorded = false;
    m_releases_to_a = 0;
    for (const auto until = m_now + seconds{2}; m_now < until; m_now += tick) {
        run_for(tick, command_result::done);
        const auto& former = m_state.map.former_holdings;
        is_recorded = is_recorded || std::any_of(former.begin(), former.end(),
                                                 [](const auto& each) { return each.holder == a; });
    }
    ASSERT_NE(m_granted_to_b, instant{});
    EXPECT_TRUE(is_recorded);
    EXPECT_GT(m_releases_to_a, 1);
}

// Guards against a second owner when a former holder takes a grant while a release is on its way to it: the
// answer to that release, which it had read before, counted as one that came after the grant.
TEST_F(overdue_bounds_test, release_on_its_way_to_a_former_holder_proves_nothing_about_a_grant_read_late) {
    const auto grant = make_overdue();
    move_to_b();
    auto release = holder_command{};
    for (const auto until = m_now + seconds{30}; m_now < until && release.call == 0; m_now += tick) {
        for (const auto& each : due()) {
            if (each.to == a && m_granted_to_b != instant{}) {
                release = each;
            } else {
                finish(each, command_result::not_sent, m_now); // Nobody can be reached.
            }
        }
    }
    ASSERT_EQ(release.kind, command_kind::release);
    ASSERT_NE(release.call, 0U);
    ASSERT_FALSE(m_state.former.entries.empty());
    const auto sent = m_now;
    m_now += tick;
    on_overdue_answer(m_state, grant.call, command_result::done, m_now);
    const auto until = held_until(m_now);
    finish(release, command_result::done, sent);
    m_granted_to_b = {};
    run_for(seconds{10}, command_result::not_sent);
    EXPECT_GE(m_granted_to_b, until);
}

// Guards against keys without an owner for longer than is needed: a target that answers one overdue grant has
// read those that were sent before it, though it does not answer them.
TEST_F(overdue_bounds_test, late_answer_to_one_grant_bounds_the_time_of_those_before_it) {
    make_overdue();
    const auto second = make_overdue();
    move_to_b();
    run_for(seconds{1}, command_result::not_sent);
    on_overdue_answer(m_state, second.call, command_result::done, m_now);
    const auto until = held_until(m_now);
    run_for(seconds{20}, command_result::not_sent);
    EXPECT_GE(m_granted_to_b, until);
    EXPECT_LE(m_granted_to_b, until + m_state.overdue.options.reading_spread + milliseconds{500});
}

// Guards against a second owner when there are too many overdue grants for their connections to be kept: the
// target may read a grant whose connection was closed as late as any other.
TEST_F(overdue_bounds_test, grant_whose_connection_was_given_up_may_be_read_twelve_seconds_late) {
    const auto grant = make_overdue();
    const auto sent = m_now - m_state.options.call_timeout;
    move_to_b();
    on_overdue_connection_closed(m_state, grant.call);
    run_for(seconds{30}, command_result::not_sent);
    ASSERT_NE(m_granted_to_b, instant{});
    EXPECT_GE(m_granted_to_b, held_until(sent + seconds{12}));
}

// Guards against a second owner: the holder answers a release on another connection, and may read the grant,
// whose connection was closed, after that.
TEST_F(overdue_bounds_test, release_proves_nothing_at_once_about_a_grant_whose_connection_was_given_up) {
    const auto grant = make_overdue();
    move_to_b();
    on_overdue_connection_closed(m_state, grant.call);
    const auto released_at = m_now;
    run_for(seconds{10}, command_result::done);
    ASSERT_NE(m_granted_to_b, instant{});
    EXPECT_GE(m_granted_to_b, held_until(released_at));
}

// Guards against a clean resignation, and against memory that grows, with grants that nobody waits for.
TEST_F(overdue_bounds_test, grant_whose_connection_was_given_up_is_forgotten_when_it_has_expired) {
    const auto grant = make_overdue();
    on_overdue_connection_closed(m_state, grant.call);
    EXPECT_FALSE(is_certain(m_state, a.id, m_now));
    run_for(seconds{10}, command_result::done);
    EXPECT_TRUE(is_certain(m_state, a.id, m_now));
    EXPECT_TRUE(m_state.overdue.entries.empty());
}

// Guards against a second owner when the grant is read after its keys have moved: nobody listens for its
// answer any more, and the former holder was not asked again after the move.
TEST_F(overdue_bounds_test, holder_of_a_grant_whose_connection_was_given_up_is_asked_after_the_move) {
    const auto grant = make_overdue();
    on_overdue_connection_closed(m_state, grant.call);
    run_for(seconds{10}, command_result::done);
    ASSERT_TRUE(m_state.overdue.entries.empty());
    move_to_b();
    m_releases_to_a = 0;
    run_for(seconds{2}, command_result::done);
    ASSERT_NE(m_granted_to_b, instant{});
    EXPECT_GT(m_releases_to_a, 2);
}

} // namespace
} // namespace teaselcross::test
