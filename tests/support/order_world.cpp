#include "support/order_world.h"

#include <algorithm>
#include <optional>
#include <sstream>

namespace teaselcross::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto tick = milliseconds{20};
constexpr auto world_start = instant{seconds{100}};
constexpr auto target_count = std::size_t{5};
constexpr auto slowest_clock = 1.02;
/// By the platform's pages, an order without an answer is carried out so much later.
constexpr auto min_lateness = milliseconds{2000};
constexpr auto max_lateness = milliseconds{12000};
constexpr auto longest_wait_for_answer = seconds{20};

/// Keys that a target holds.
struct holding {
    key_span keys;
    std::uint64_t fence = 0;
    instant until{};
};

struct simulated_target {
    target_incarnation process;
    std::uint64_t listed_start_time_ms = 1;
    instant listed_again_at{};
    std::vector<holding> holdings;
    std::vector<holding> seen; ///< The fences of all grants that were taken; the times mean nothing.
};

struct simulated_call {
    holder_command command;
    std::size_t target = 0;
    std::uint64_t start_time_ms = 0; ///< Of the process that has received it.
    instant sent{};
    instant arrival{};
    instant carried_out_at{};
    bool is_answered = false; ///< As soon as it is carried out.
    bool is_carried_out = false;
    bool is_awaited = true; ///< By the controller that sent it.
    bool is_overdue = false;
    command_result result = command_result::done;
};

auto overlap(const key_span& left, const key_span& right) -> bool {
    return left.first <= right.last && right.first <= left.last;
}

class order_world {
public:
    order_world(const order_world_options& options, std::uint64_t seed) : m_options{options}, m_random{seed} {
        for (auto index = std::size_t{0}; index < target_count; ++index) {
            m_targets.push_back({.process = {.id = id_of(index), .start_time_ms = 1}});
        }
        list_targets();
        assign_initial_ranges(m_state);
    }

    auto run() -> std::string {
        for (; m_now < world_start + m_options.length && m_broken.empty(); m_now += tick) {
            change_world();
            carry_out_calls();
            end_calls();
            list_targets();
            start_evictions(m_state, {}, m_now);
            write();
            for (auto& command : due_commands(m_state, m_now)) {
                send(std::move(command));
            }
            check();
        }
        return m_broken;
    }

private:
    static auto id_of(std::size_t index) -> target_id { return target_id{"t" + std::to_string(index)}; }
    auto chance(double probability) -> bool {
        return std::uniform_real_distribution<>{0, 1}(m_random) < probability;
    }
    auto between(duration least, duration most) -> duration {
        return duration{std::uniform_int_distribution<duration::rep>{least.count(), most.count()}(m_random)};
    }
    auto below(std::size_t limit) -> std::size_t {
        return std::uniform_int_distribution<std::size_t>{0, limit - 1}(m_random);
    }

    auto change_world() -> void {
        constexpr auto move_probability = 0.08;
        constexpr auto rare = 0.004;
        if (chance(move_probability)) {
            start_some_move();
        }
        if (m_options.may_restart_targets && chance(rare)) {
            restart(m_targets[below(m_targets.size())]);
        }
        if (m_options.may_replace_controller && chance(rare)) {
            replace_controller(false);
        } else if (m_options.may_lose_record && chance(rare)) {
            replace_controller(true);
        }
        if (m_options.may_close_connections && chance(10 * rare)) {
            close_oldest_connection();
        }
    }

    auto start_some_move() -> void {
        if (m_state.map.ranges.empty() || !m_state.owns_record) {
            return;
        }
        const auto index = below(m_state.map.ranges.size());
        const auto& range = m_state.map.ranges[index];
        const auto to = below(target_count);
        if (!is_served(m_state, index) || m_state.map.ranges.size() > 4 * target_count ||
            range.holder.id == id_of(to)) {
            return;
        }
        const auto half = range.first + (range.last - range.first) / 2;
        start_move(m_state, range.first, chance(0.5) ? half : range.last, m_targets[to].process);
    }

    auto restart(simulated_target& target) -> void {
        ++target.process.start_time_ms;
        target.holdings.clear();
        target.seen.clear();
        target.listed_again_at = m_now + between(milliseconds{0}, milliseconds{1500});
    }

    /// A successor knows only the record, or with @a is_lost an older one in a new era.
    auto replace_controller(bool is_lost) -> void {
        if (m_records.empty()) {
            return;
        }
        for (auto& call : m_calls) {
            call.is_awaited = false;
        }
        if (m_write && chance(0.5)) {
            m_written_at = m_now;
            end_write();
        }
        m_write.reset();
        auto successor = range_grantor{};
        const auto bound = m_now + max_remaining_hold(successor.options);
        if (is_lost) {
            auto known = m_records[m_records.size() - 1 - below(std::min<std::size_t>(m_records.size(), 20))];
            ++m_era;
            known.revision = {.era = m_era, .number = ++m_revision};
            known.era = m_era;
            take_over_lost_record(successor, std::move(known), bound, bound, m_now);
        } else {
            take_over(successor, m_records.back(), bound, m_now);
        }
        m_state = std::move(successor);
        list_targets();
    }

    auto close_oldest_connection() -> void {
        const auto found = std::find_if(m_calls.begin(), m_calls.end(),
                                        [](const auto& each) { return each.is_awaited && each.is_overdue; });
        if (found != m_calls.end()) {
            found->is_awaited = false;
            on_overdue_connection_closed(m_state, found->command.call);
        }
    }

    auto list_targets() -> void {
        auto holders = std::map<target_id, key_holder>{};
        for (auto& target : m_targets) {
            if (m_now >= target.listed_again_at) {
                target.listed_start_time_ms = target.process.start_time_ms;
            }
            holders[target.process.id] = {
                .incarnation = {.id = target.process.id, .start_time_ms = target.listed_start_time_ms},
                .eligible = true,
                .capacity = 10};
        }
        set_holders(m_state, std::move(holders));
    }

    auto end_write() -> void {
        m_write->revision = {.era = m_era, .number = ++m_revision};
        m_records.push_back(*m_write);
        const auto written = *std::exchange(m_write, std::nullopt);
        on_written(m_state, written, written.revision);
    }

    auto write() -> void {
        if (m_write && m_now >= m_written_at) {
            end_write();
        }
        if (!m_write) {
            m_write = next_write(m_state);
            m_written_at = m_now + between(milliseconds{2}, milliseconds{60});
        }
    }

    auto send(holder_command command) -> void {
        const auto target = static_cast<std::size_t>(
            std::find_if(m_targets.begin(), m_targets.end(),
                         [&](const auto& each) { return each.process.id == command.to.id; }) -
            m_targets.begin());
        command.call = ++m_call_count;
        auto call = simulated_call{.command = std::move(command),
                                   .target = target,
                                   .start_time_ms = m_targets[target].process.start_time_ms,
                                   .sent = m_now,
                                   .arrival = m_now + between(milliseconds{1}, milliseconds{15})};
        const auto is_late = chance(m_options.late_share);
        call.carried_out_at = call.arrival + (is_late ? between(min_lateness, max_lateness) : duration{});
        call.is_answered = !is_late;
        if (call.command.behind != 0) {
            // Read behind a grant that gets no answer, so that nothing is read of an answer to it.
            call.is_awaited = false;
        }
        m_calls.push_back(std::move(call));
    }

    auto carry_out_calls() -> void {
        for (auto& call : m_calls) {
            auto& target = m_targets[call.target];
            if (call.is_carried_out || m_now < call.carried_out_at) {
                continue;
            }
            call.is_carried_out = true;
            const auto is_lost = call.start_time_ms != target.process.start_time_ms;
            if (!is_lost && call.command.kind == command_kind::grant) {
                call.result = take_grant(target, call);
            } else if (!is_lost) {
                release(target, call.command);
            }
            call.is_answered = call.is_answered && !is_lost;
        }
    }

    auto take_grant(simulated_target& target, const simulated_call& call) -> command_result {
        const auto keys = key_span{.first = call.command.first, .last = call.command.last};
        const auto has_seen_higher =
            std::any_of(target.seen.begin(), target.seen.end(), [&](const auto& each) {
                return overlap(each.keys, keys) && each.fence > call.command.fence;
            });
        if (has_seen_higher) {
            return command_result::refused;
        }
        const auto term = std::chrono::duration_cast<duration>(call.command.term * slowest_clock);
        target.seen.push_back({.keys = keys, .fence = call.command.fence});
        target.holdings.push_back({.keys = keys, .fence = call.command.fence, .until = call.arrival + term});
        return command_result::done;
    }

    auto release(simulated_target& target, const holder_command& command) -> void {
        const auto keys = key_span{.first = command.first, .last = command.last};
        auto kept = std::vector<holding>{};
        for (const auto& each : target.holdings) {
            const auto is_taken = each.fence <= command.fence || m_options.old_release_takes_keys;
            if (!overlap(each.keys, keys) || !is_taken) {
                kept.push_back(each);
                continue;
            }
            if (each.keys.first < keys.first) {
                kept.push_back(each);
                kept.back().keys.last = keys.first - 1;
            }
            if (each.keys.last > keys.last) {
                kept.push_back(each);
                kept.back().keys.first = keys.last + 1;
            }
        }
        target.holdings = std::move(kept);
    }

    auto end_calls() -> void {
        const auto& options = m_state.options;
        for (auto& call : m_calls) {
            if (!call.is_awaited) {
                continue;
            }
            const auto is_grant = call.command.kind == command_kind::grant;
            const auto waited = m_now - call.sent;
            if (call.is_answered && call.is_carried_out) {
                call.is_awaited = false;
                on_command_finished(m_state, call.command, call.result, "token", call.sent, m_now);
            } else if (is_grant && !call.is_overdue && waited >= options.call_timeout) {
                call.is_overdue = true;
                on_command_finished(m_state, call.command, command_result::overdue, "", call.sent, m_now);
            } else if (is_grant && waited >= longest_wait_for_answer) {
                call.is_awaited = false;
                on_overdue_answer(m_state, call.command.call, command_result::unanswered, m_now);
            } else if (!is_grant && waited >= options.release_timeout) {
                call.is_awaited = false;
                on_command_finished(m_state, call.command, command_result::unanswered, "", call.sent, m_now);
            }
        }
        std::erase_if(m_calls, [](const auto& each) { return !each.is_awaited && each.is_carried_out; });
    }

    auto check() -> void {
        for (auto& target : m_targets) {
            std::erase_if(target.holdings, [this](const auto& each) { return m_now >= each.until; });
        }
        for (auto left = std::size_t{0}; left < m_targets.size(); ++left) {
            for (auto right = left + 1; right < m_targets.size(); ++right) {
                check_pair(left, right);
            }
        }
    }

    auto check_pair(std::size_t left, std::size_t right) -> void {
        for (const auto& one : m_targets[left].holdings) {
            for (const auto& other : m_targets[right].holdings) {
                if (overlap(one.keys, other.keys) && m_broken.empty()) {
                    auto text = std::ostringstream{};
                    text << (m_now - world_start).count() / 1000 << " ms: t" << left << " holds "
                         << one.keys.first << "-" << one.keys.last << " under " << one.fence << ", t" << right
                         << " holds " << other.keys.first << "-" << other.keys.last << " under "
                         << other.fence;
                    m_broken = text.str();
                }
            }
        }
    }

    order_world_options m_options;
    std::mt19937_64 m_random;
    instant m_now = world_start;
    range_grantor m_state;
    std::vector<simulated_target> m_targets;
    std::vector<simulated_call> m_calls;
    std::vector<key_map> m_records; ///< All that were written, in order.
    std::optional<key_map> m_write;
    instant m_written_at{};
    std::uint64_t m_era = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_call_count = 0;
    std::string m_broken;
};

} // namespace

auto run_order_world(const order_world_options& options, std::uint64_t seed) -> std::string {
    return order_world{options, seed}.run();
}

} // namespace teaselcross::test
