// Answers to grants that come after the time limit of the call: the target has read the grant only then, and
// holds the keys for a term from that time on.

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
/// Orders may be carried out so late, by the platform's pages.
constexpr auto longest_delivery = seconds{12};
const auto a = target_id{"a"};
const auto b = target_id{"b"};

auto write_now(range_grantor& state) -> void {
    if (auto map = next_write(state)) {
        on_written(state, *map, {.number = map->revision.number + 1});
    }
}

/// Target "a" reads none of its calls until @a reads_from, and "b" reads them at once. Each call of "a" that
/// is sent has an open connection; a grant whose time limit has passed is overdue.
class overdue_grants_test : public testing::Test {
protected:
    overdue_grants_test() {
        auto holders = std::map<target_id, key_holder>{};
        for (const auto& id : {a, b}) {
            holders[id] = {.incarnation = {.id = id, .start_time_ms = 1}, .eligible = true, .capacity = 10};
        }
        set_holders(m_state, std::move(holders));
        EXPECT_TRUE(assign_initial_ranges(m_state));
        write_now(m_state);
        run_until(start + seconds{1});
    }

    auto run_until(instant until) -> void {
        for (; m_now < until; m_now += tick) {
            start_evictions(m_state, {}, m_now);
            write_now(m_state);
            end_calls();
            for (auto& command : due_commands(m_state, m_now)) {
                send(std::move(command));
            }
        }
    }

    /// What "a" has in its sockets; it has read none of it.
    struct unread_call {
        holder_command command;
        instant sent{};
        bool is_overdue = false;
    };

    auto send(holder_command command) -> void {
        if (command.behind != 0) {
            m_behind.push_back(command);
            return;
        }
        command.call = ++m_calls;
        if (command.kind == command_kind::grant && command.to.id == b && command.is_first) {
            m_first_grants_to_b.push_back(m_now);
        }
        if (command.to.id == a && m_now >= m_reads_until && m_unread.size() < m_unread_limit) {
            m_unread.push_back({.command = std::move(command), .sent = m_now});
            return;
        }
        if (command.to.id == a && command.kind == command_kind::release) {
            m_releases_to_a.push_back(m_now);
        }
        on_command_finished(m_state, command, command_result::done, "token", m_now, m_now);
    }

    auto end_calls() -> void {
        for (auto& each : m_unread) {
            const auto is_grant = each.command.kind == command_kind::grant;
            const auto limit = is_grant ? m_state.options.call_timeout : m_state.options.release_timeout;
            if (!each.is_overdue && m_now - each.sent >= limit) {
                each.is_overdue = true;
                const auto result = is_grant ? command_result::overdue : command_result::unanswered;
                on_command_finished(m_state, each.command, result, "", each.sent, m_now);
            }
        }
    }

    /// "a" reads the first grant that waits in its sockets, and nothing else.
    auto read_first_grant() -> void {
        const auto found = std::find_if(m_unread.begin(), m_unread.end(), [](const auto& each) {
            return each.command.kind == command_kind::grant && each.is_overdue;
        });
        ASSERT_NE(found, m_unread.end());
        on_overdue_answer(m_state, found->command.call, command_result::done, m_now);
        m_unread.erase(found);
    }

    auto longest_hold() const -> duration { return m_state.options.grant_term * 102 / 100; }

    range_grantor m_state;
    instant m_now = start;
    instant m_reads_until = instant::max();
    std::size_t m_unread_limit = 1000; ///< Further calls are read at once.
    std::uint64_t m_calls = 0;
    std::vector<unread_call> m_unread;
    std::vector<holder_command> m_behind;
    std::vector<instant> m_first_grants_to_b;
    std::vector<instant> m_releases_to_a;
};

// Guards against a second owner when a target takes a grant long after its time limit: the move counted with
// one that is read a second late at the most.
TEST_F(overdue_grants_test, no_move_before_a_grant_that_was_read_late_has_expired) {
    m_state.overdue.options.longest_reading = {};
    m_first_grants_to_b.clear();
    m_reads_until = m_now;
    run_until(m_now + seconds{6});
    ASSERT_TRUE(m_first_grants_to_b.empty());
    read_first_grant();
    const auto read_at = m_now;
    run_until(m_now + seconds{5});
    ASSERT_FALSE(m_first_grants_to_b.empty());
    EXPECT_GE(m_first_grants_to_b.front(), read_at + longest_hold());
}

// Guards against a second owner when the former holder takes a grant after the keys have moved.
TEST_F(overdue_grants_test, former_holder_that_reads_a_grant_late_is_asked_to_release_at_once) {
    m_first_grants_to_b.clear();
    m_reads_until = m_now;
    run_until(m_now + seconds{20});
    ASSERT_FALSE(m_first_grants_to_b.empty());
    m_reads_until = instant::max();
    for (const auto& each : m_unread) { // What is still awaited was read before the grant.
        if (!each.is_overdue) {
            on_command_finished(m_state, each.command, command_result::done, "token", each.sent, m_now);
        }
    }
    run_until(m_now + seconds{2});
    ASSERT_TRUE(m_state.former.entries.empty());
    m_releases_to_a.clear();
    read_first_grant();
    const auto read_at = m_now;
    run_until(m_now + 2 * tick);
    ASSERT_FALSE(m_releases_to_a.empty());
    EXPECT_EQ(m_releases_to_a.front(), read_at);
}

// Guards against a second owner when something on the way holds a grant for longer than the usual time: the
// target is alive, as its heartbeats show, and nothing that was sent after the grant was answered.
TEST_F(overdue_grants_test,
       keys_of_a_listed_target_that_answers_nothing_do_not_move_before_the_longest_reading) {
    m_first_grants_to_b.clear();
    m_reads_until = m_now;
    const auto begin = m_now;
    run_until(m_now + seconds{30});
    ASSERT_FALSE(m_first_grants_to_b.empty());
    EXPECT_GE(m_first_grants_to_b.front(), begin + longest_delivery);
}

// Guards against keys without an owner for longer than is needed: the entry of a target that ended has
// lapsed.
TEST_F(overdue_grants_test, keys_of_a_target_that_is_not_listed_move_after_the_usual_time) {
    m_first_grants_to_b.clear();
    m_reads_until = m_now;
    const auto begin = m_now;
    m_unread_limit = 1;
    run_until(m_now + seconds{1});
    set_holders(m_state,
                {{b, {.incarnation = {.id = b, .start_time_ms = 1}, .eligible = true, .capacity = 10}}});
    m_unread_limit = 1000;
    run_until(m_now + seconds{9});
    ASSERT_FALSE(m_first_grants_to_b.empty());
    EXPECT_LT(m_first_grants_to_b.front(), begin + seconds{8});
}

// Guards against keys without an owner for longer than is needed: a target that answers later calls has read
// the grant, though it does not answer it.
TEST_F(overdue_grants_test, later_answer_of_the_target_bounds_the_time_of_an_overdue_grant) {
    m_first_grants_to_b.clear();
    m_reads_until = m_now;
    m_unread_limit = 1;
    run_until(m_now + milliseconds{1500});
    ASSERT_EQ(m_unread.size(), 1U);
    const auto& range = m_state.map.ranges.front();
    ASSERT_EQ(range.holder.id, a);
    start_move(m_state, range.first, range.last, {.id = b, .start_time_ms = 1});
    run_until(m_now + seconds{6});
    ASSERT_FALSE(m_first_grants_to_b.empty());
    EXPECT_GE(m_first_grants_to_b.front(), m_unread.front().sent + longest_hold());
}

// Guards against a second owner when a target takes a grant after the keys have moved: the release that waits
// behind it on the same connection is read right after it.
TEST_F(overdue_grants_test, release_is_sent_behind_an_overdue_grant_before_the_keys_move) {
    m_first_grants_to_b.clear();
    m_reads_until = m_now;
    run_until(m_now + seconds{20});
    ASSERT_FALSE(m_first_grants_to_b.empty());
    ASSERT_FALSE(m_behind.empty());
    const auto& grant = *std::find_if(m_unread.begin(), m_unread.end(), [](const auto& each) {
        return each.command.kind == command_kind::grant;
    });
    EXPECT_EQ(m_behind.front().behind, grant.command.call);
    EXPECT_EQ(m_behind.front().first, grant.command.first);
    EXPECT_EQ(m_behind.front().last, grant.command.last);
    EXPECT_EQ(m_behind.front().fence, grant.command.fence);
    EXPECT_EQ(m_behind.front().kind, command_kind::release);
}

// Guards against a second owner when a release overtakes a grant on another connection of the holder.
TEST_F(overdue_grants_test, release_that_was_sent_before_a_late_answer_proves_nothing) {
    m_unread_limit = 1;
    m_reads_until = m_now;
    run_until(m_now + milliseconds{1500});
    ASSERT_EQ(m_unread.size(), 1U);
    ASSERT_TRUE(m_unread.front().is_overdue);
    m_unread_limit = 2; // Of the two, the release is read first, and answered last.
    const auto& range = m_state.map.ranges.front();
    ASSERT_EQ(range.holder.id, a);
    start_move(m_state, range.first, range.last, {.id = b, .start_time_ms = 1});
    run_until(m_now + milliseconds{1000});
    ASSERT_EQ(m_unread.size(), 2U);
    const auto release = m_unread.back();
    ASSERT_EQ(release.command.kind, command_kind::release);
    read_first_grant();
    on_command_finished(m_state, release.command, command_result::done, "token", release.sent, m_now);
    m_unread.clear();
    m_unread_limit = 0;
    m_first_grants_to_b.clear();
    m_releases_to_a.clear();
    run_until(m_now + seconds{1});
    ASSERT_FALSE(m_releases_to_a.empty());
    ASSERT_FALSE(m_first_grants_to_b.empty());
    EXPECT_GE(m_first_grants_to_b.front(), m_releases_to_a.front());
}

// Guards against keys without an owner for longer than is needed: a grant that was answered late is certain.
TEST_F(overdue_grants_test, answer_of_the_release_behind_a_grant_proves_that_the_keys_are_free) {
    m_unread_limit = 1;
    m_reads_until = m_now;
    run_until(m_now + milliseconds{1500});
    ASSERT_EQ(m_unread.size(), 1U);
    m_unread_limit = 1000;
    const auto& range = m_state.map.ranges.front();
    ASSERT_EQ(range.holder.id, a);
    start_move(m_state, range.first, range.last, {.id = b, .start_time_ms = 1});
    run_until(m_now + milliseconds{700});
    ASSERT_EQ(m_behind.size(), 1U);
    m_first_grants_to_b.clear();
    read_first_grant();
    on_release_behind_answered(m_state, m_behind.front(), "token");
    const auto released_at = m_now;
    run_until(m_now + seconds{1});
    ASSERT_FALSE(m_first_grants_to_b.empty());
    EXPECT_LE(m_first_grants_to_b.front(), released_at + 2 * tick);
}

} // namespace
} // namespace teaselcross::test
