// One owner at a time although processes are suspended: a controller aborts its calls late, and a holder
// takes calls that have waited in its sockets since before they were aborted.

#include "ownership/range_grantor.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace teaselcross::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto start = instant{seconds{10}};
const auto a = target_id{"a"};
const auto b = target_id{"b"};

auto holders(const std::vector<std::string>& names) -> std::map<target_id, key_holder> {
    auto found = std::map<target_id, key_holder>{};
    for (const auto& name : names) {
        found[target_id{name}] = {
            .incarnation = {.id = target_id{name}, .start_time_ms = 1}, .eligible = true, .capacity = 10};
    }
    return found;
}

auto write_now(range_grantor& state) -> void {
    if (auto map = next_write(state)) {
        on_written(state, *map, {.number = map->revision.number + 1});
    }
}

auto finish(range_grantor& state, const holder_command& command, command_result result, instant now) -> void {
    on_command_finished(state, command, result, result == command_result::done ? "token" : "", now, now);
}

/// Two holders whose first grants were answered at @a now; "a" has the lower half of the keys.
auto settled(instant now) -> range_grantor {
    auto state = range_grantor{};
    set_holders(state, holders({"a", "b"}));
    EXPECT_TRUE(assign_initial_ranges(state));
    write_now(state);
    for (const auto& command : due_commands(state, now)) {
        finish(state, command, command_result::done, now);
    }
    write_now(state);
    return state;
}

auto longest_hold(const range_grantor& state) -> duration {
    return state.options.grant_term * 102 / 100;
}

// Guards against a second owner when a controller that was suspended aborts a grant late: until then it may
// have arrived.
TEST(suspended_holder_test, grant_that_was_aborted_late_delays_the_move) {
    auto state = settled(start);
    const auto sent = start + milliseconds{700};
    auto pending = std::vector<holder_command>{};
    for (const auto& command : due_commands(state, sent)) {
        if (command.to.id == a) {
            pending.push_back(command);
        } else {
            finish(state, command, command_result::done, sent);
        }
    }
    ASSERT_EQ(pending.size(), 1U);
    const auto aborted = sent + seconds{4};
    on_command_finished(state, pending.front(), command_result::unanswered, {}, sent, aborted);
    start_move(state, 0, 99, {.id = b, .start_time_ms = 1});
    write_now(state);
    for (auto now = aborted; now < aborted + longest_hold(state); now += milliseconds{20}) {
        for (const auto& command : due_commands(state, now)) {
            ASSERT_FALSE(command.kind == command_kind::grant && command.to.id == b && command.first == 0)
                << (now - aborted).count() / 1000 << " ms after the grant was aborted";
            // The release is answered.
            finish(state, command, command_result::done, now);
        }
    }
}

// Guards against a second owner when a holder that is short of processor time reads a grant only after it was
// aborted: its term runs from then.
TEST(suspended_holder_test, grant_that_may_be_read_late_delays_the_move) {
    auto state = settled(start);
    const auto sent = start + milliseconds{700};
    const auto aborted = sent + state.options.call_timeout;
    const auto read = aborted + milliseconds{1000};
    for (auto now = sent; now < read + longest_hold(state); now += milliseconds{20}) {
        start_evictions(state, {}, now);
        write_now(state);
        for (const auto& command : due_commands(state, now)) {
            ASSERT_FALSE(command.to.id == b && command.first == 0)
                << (now - aborted).count() / 1000 << " ms after the grant was aborted";
            const auto is_first_call = now == sent;
            if (command.to.id == a && is_first_call) {
                on_command_finished(state, command, command_result::unanswered, {}, sent, aborted);
            } else {
                finish(state, command, command.to.id == a ? command_result::not_sent : command_result::done,
                       now);
            }
        }
    }
}

// Guards against a second owner when a holder refuses a renewal under an old fence and then cannot be
// reached: its earlier grant goes on.
TEST(suspended_holder_test, new_fence_for_the_same_holder_does_not_end_its_earlier_grant) {
    auto state = settled(start);
    const auto refused = start + milliseconds{700};
    for (const auto& command : due_commands(state, refused)) {
        finish(state, command, command.to.id == a ? command_result::refused : command_result::done, refused);
    }
    for (auto now = refused; now < start + longest_hold(state); now += milliseconds{20}) {
        start_evictions(state, {}, now);
        write_now(state);
        for (const auto& command : due_commands(state, now)) {
            ASSERT_FALSE(command.to.id == b && command.first == 0) << (now - start).count() / 1000 << " ms";
            finish(state, command, command.to.id == a ? command_result::not_sent : command_result::done, now);
        }
    }
}

/// Which processes a model suspends. While both are, nothing can take a stale grant back. Entries of listed
/// holders lapse while they are suspended, and return with the first heartbeat after that.
enum class suspended_part { holders, listed_holders, controller, holders_of_killed_controllers };

/// Holders and calls on their way, in virtual time. Processes are suspended at random.
class suspension_model {
public:
    suspension_model(std::uint32_t seed, suspended_part suspended) : m_random{seed}, m_suspended{suspended} {
        for (const auto* name : {"a", "b", "c"}) {
            m_holders[target_id{name}] = {};
        }
        set_holders(m_state, holders({"a", "b", "c"}));
        EXPECT_TRUE(assign_initial_ranges(m_state));
    }

    /// Returns the longest time for which two holders held the same keys.
    auto run(duration length) -> duration {
        for (; m_now < start + length; m_now += step) {
            suspend_some();
            if (m_suspended == suspended_part::listed_holders) {
                update_list();
            }
            deliver_calls();
            const auto is_killed = m_suspended == suspended_part::controller ||
                                   m_suspended == suspended_part::holders_of_killed_controllers;
            if (is_killed && m_random() % 3000 == 0) {
                replace_controller();
            }
            if (m_now >= m_controller_resumes) {
                finish_calls();
                control();
            }
            measure_overlap();
        }
        return m_longest_overlap;
    }

private:
    static constexpr auto step = milliseconds{10};
    static constexpr auto heartbeat_interval = milliseconds{870};
    static constexpr auto entry_lifetime = 3 * heartbeat_interval;
    struct held_range {
        holder_command grant;
        instant until{};
    };
    struct modelled_holder {
        std::vector<held_range> held;
        instant suspended{};
        instant resumes{};
    };
    struct call {
        holder_command command;
        instant sent{};
        instant arrives{};
        instant deadline{};
        bool was_aborted = false; ///< The controller no longer waits for it.
        bool was_taken = false;   ///< The holder has carried it out.
    };

    auto drawn(int least, int most) -> milliseconds {
        return milliseconds{std::uniform_int_distribution<int>{least, most}(m_random)};
    }

    auto suspend_some() -> void {
        if (m_suspended == suspended_part::controller) {
            if (m_now >= m_controller_resumes && m_random() % 400 == 0) {
                m_controller_resumes = m_now + drawn(100, 4000);
            }
            return;
        }
        for (auto& [id, holder] : m_holders) {
            if (m_now >= holder.resumes && m_random() % 600 == 0) {
                holder.suspended = m_now;
                holder.resumes = m_now + drawn(100, 9000);
            }
        }
    }

    auto update_list() -> void {
        auto names = std::vector<std::string>{};
        for (const auto& [id, holder] : m_holders) {
            const auto is_missing = holder.resumes > holder.suspended + entry_lifetime &&
                                    m_now >= holder.suspended + entry_lifetime &&
                                    m_now < holder.resumes + heartbeat_interval;
            if (!is_missing) {
                names.push_back(id.value());
            }
        }
        set_holders(m_state, holders(names));
    }

    /// The process is killed, and a successor takes over what is recorded. Its calls may have arrived.
    auto replace_controller() -> void {
        for (auto& each : m_calls) {
            each.was_aborted = true;
        }
        m_controller_resumes = {};
        auto successor = range_grantor{};
        take_over(successor, m_recorded, m_now + max_remaining_hold(successor.options), m_now);
        set_holders(successor, m_state.holders);
        m_state = std::move(successor);
    }

    auto control() -> void {
        start_evictions(m_state, {}, m_now);
        if (m_random() % 200 == 0) {
            const auto& range = m_state.map.ranges[m_random() % m_state.map.ranges.size()];
            auto to = m_holders.begin();
            std::advance(to, m_random() % m_holders.size());
            if (to->first != range.holder.id) {
                start_move(m_state, range.first, range.last, {.id = to->first, .start_time_ms = 1});
            }
        }
        if (auto map = next_write(m_state)) {
            m_recorded = *map;
            on_written(m_state, *map, {.number = map->revision.number + 1});
        }
        for (auto& command : due_commands(m_state, m_now)) {
            const auto is_grant = command.kind == command_kind::grant;
            const auto timeout = is_grant ? m_state.options.call_timeout : m_state.options.release_timeout;
            const auto arrives = m_now + drawn(0, 30);
            m_calls.push_back({.command = std::move(command),
                               .sent = m_now,
                               .arrives = arrives,
                               .deadline = m_now + timeout});
        }
    }

    /// A holder that goes on takes what has waited for it in any order.
    auto deliver_calls() -> void {
        std::shuffle(m_calls.begin(), m_calls.end(), m_random);
        for (auto& each : m_calls) {
            auto& holder = m_holders.at(each.command.to.id);
            if (!each.was_taken && m_now >= each.arrives && m_now >= holder.resumes) {
                each.was_taken = true;
                take(holder, each.command);
            }
        }
        std::erase_if(m_calls, [](const auto& each) { return each.was_taken && each.was_aborted; });
    }

    auto take(modelled_holder& holder, const holder_command& command) const -> void {
        std::erase_if(holder.held, [&command](const auto& each) {
            return each.grant.fence <= command.fence && each.grant.first <= command.last &&
                   command.first <= each.grant.last;
        });
        if (command.kind == command_kind::grant) {
            holder.held.push_back({.grant = command, .until = m_now + command.term * 102 / 100});
        }
    }

    auto finish_calls() -> void {
        for (auto index = std::size_t{0}; index < m_calls.size(); ++index) {
            auto& each = m_calls[index];
            if (each.was_aborted || (!each.was_taken && m_now < each.deadline)) {
                continue;
            }
            each.was_aborted = true;
            on_command_finished(m_state, each.command,
                                each.was_taken ? command_result::done : command_result::unanswered, "token",
                                each.sent, m_now);
        }
    }

    /// A suspended holder does nothing with what it holds.
    auto measure_overlap() -> void {
        auto overlaps = false;
        for (const auto& [id, holder] : m_holders) {
            for (const auto& [other_id, other] : m_holders) {
                const auto run = m_now >= holder.resumes && m_now >= other.resumes;
                overlaps = overlaps || (id < other_id && run && is_shared(holder, other));
            }
        }
        m_overlap = overlaps ? m_overlap + step : duration::zero();
        m_longest_overlap = std::max(m_longest_overlap, m_overlap);
    }

    auto is_shared(const modelled_holder& left, const modelled_holder& right) const -> bool {
        for (const auto& one : left.held) {
            for (const auto& other : right.held) {
                if (m_now < one.until && m_now < other.until && one.grant.first <= other.grant.last &&
                    other.grant.first <= one.grant.last) {
                    return true;
                }
            }
        }
        return false;
    }

    std::mt19937 m_random;
    suspended_part m_suspended;
    range_grantor m_state;
    key_map m_recorded;
    std::map<target_id, modelled_holder> m_holders;
    std::vector<call> m_calls;
    instant m_now = start;
    instant m_controller_resumes{};
    duration m_overlap{};
    duration m_longest_overlap{};
};

// Guards against two owners for as long as a grant lasts, when a holder that was suspended takes one that was
// aborted before.
TEST(suspended_holder_test, no_two_holders_hold_a_key_for_long_after_one_was_suspended) {
    for (auto seed = 0U; seed < 40; ++seed) {
        auto model = suspension_model{seed, suspended_part::holders};
        EXPECT_LE(model.run(seconds{120}), milliseconds{500}) << "seed " << seed;
    }
}

// Guards against two owners when a former holder goes on after its entry has lapsed: it is not listed again
// before its next heartbeat.
TEST(suspended_holder_test, no_two_holders_hold_a_key_for_long_after_an_unlisted_one_was_suspended) {
    for (auto seed = 0U; seed < 40; ++seed) {
        auto model = suspension_model{seed, suspended_part::listed_holders};
        EXPECT_LE(model.run(seconds{120}), milliseconds{500}) << "seed " << seed;
    }
}

// Guards against a former holder that nobody asks any more when the controller that asked it is killed.
TEST(suspended_holder_test, successor_goes_on_asking_the_former_holder) {
    auto state = settled(start);
    auto now = start;
    const auto is_settled = [&state] {
        return !state.map.ranges.front().is_moving() && state.map.ranges.front().holder.id == b &&
               is_served(state, 0);
    };
    for (; !is_settled() && now < start + seconds{20}; now += milliseconds{20}) {
        start_evictions(state, {}, now);
        write_now(state);
        for (const auto& command : due_commands(state, now)) {
            finish(state, command, command.to.id == a ? command_result::unanswered : command_result::done,
                   now);
        }
    }
    ASSERT_TRUE(is_settled());
    const auto recorded = next_write(state);
    ASSERT_TRUE(recorded);
    auto successor = range_grantor{};
    take_over(successor, *recorded, now + max_remaining_hold(successor.options), now);
    set_holders(successor, holders({"b"}));
    EXPECT_TRUE(due_commands(successor, now).empty()) << "the predecessor may still write";
    write_now(successor);
    auto asked = std::vector<holder_command>{};
    for (const auto& command : due_commands(successor, now)) {
        if (command.to.id == a) {
            asked.push_back(command);
        }
    }
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_EQ(asked.front().kind, command_kind::release);
    EXPECT_EQ(asked.front().first, 0U);
    EXPECT_EQ(asked.front().last, state.map.ranges.front().last);
}

// Guards against two owners when a holder takes a stale grant after the controller that moved its keys was
// killed.
TEST(suspended_holder_test, no_two_holders_hold_a_key_for_long_after_controllers_were_killed) {
    for (auto seed = 0U; seed < 40; ++seed) {
        auto model = suspension_model{seed, suspended_part::holders_of_killed_controllers};
        EXPECT_LE(model.run(seconds{120}), milliseconds{500}) << "seed " << seed;
    }
}

// Guards against two owners when a controller is suspended while its calls are on their way, or is killed
// then.
TEST(suspended_holder_test, no_two_holders_hold_a_key_while_the_controller_is_suspended) {
    for (auto seed = 0U; seed < 40; ++seed) {
        auto model = suspension_model{seed, suspended_part::controller};
        EXPECT_EQ(model.run(seconds{120}), duration::zero()) << "seed " << seed;
    }
}

} // namespace
} // namespace teaselcross::test
