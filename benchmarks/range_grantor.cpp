// Measures the decisions of a controller at growing numbers of ranges and overdue grants: one tick, the
// answer to an overdue grant, the answer to a renewal, and one round of balancing. Output: one line a
// measurement, "part ranges overdue value unit".

#include "ownership/range_grantor.h"
#include "balance/range_balance.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

using namespace teaselcross;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto tick_interval = milliseconds{40};
constexpr auto holder_count = 250U;
/// One range in so many is moving.
constexpr auto moving_share = 20U;

/// Milliseconds that one call of @a work takes on average over @a rounds.
auto milliseconds_of(int rounds, const std::function<void()>& work) -> double {
    const auto begin = std::chrono::steady_clock::now();
    for (auto round = 0; round < rounds; ++round) {
        work();
    }
    const auto spent = std::chrono::steady_clock::now() - begin;
    return std::chrono::duration<double, std::milli>(spent).count() / rounds;
}

auto holder_of(std::uint32_t index) -> target_incarnation {
    return {.id = target_id{"target-" + std::to_string(index % holder_count)}, .start_time_ms = 1};
}

auto print(const char* part, std::size_t ranges, std::size_t overdue, double value) -> void {
    std::printf("%-24s %6zu %6zu %10.4f ms\n", part, ranges, overdue, value);
}

/// A controller whose grants were all answered but for some overdue ones, with some ranges moving.
class busy_controller {
public:
    busy_controller(std::uint32_t ranges, std::uint32_t overdue) {
        auto holders = std::map<target_id, key_holder>{};
        for (auto index = 0U; index < holder_count; ++index) {
            const auto incarnation = holder_of(index);
            holders[incarnation.id] = {.incarnation = incarnation, .eligible = true, .capacity = 20};
        }
        auto map = key_map{.fences_used = ranges};
        const auto width = (last_shard_key + 1) / ranges;
        for (auto index = 0U; index < ranges; ++index) {
            map.ranges.push_back({.first = index * width,
                                  .last = index + 1 == ranges ? last_shard_key : (index + 1) * width - 1,
                                  .fence = index + 1,
                                  .holder = holder_of(index)});
        }
        take_over(m_state, std::move(map), m_now, m_now);
        set_holders(m_state, std::move(holders));
        write();
        for (const auto& each : tick()) {
            on_command_finished(m_state, each, command_result::done, "", m_now, m_now);
        }
        for (auto index = 0U; index < overdue; ++index) {
            const auto sent = m_now;
            on_command_finished(m_state, grant_of(m_state.map.ranges[index % ranges]),
                                command_result::overdue, "", sent, sent + m_state.options.call_timeout);
        }
        for (auto index = 0U; index < ranges; index += moving_share) {
            const auto& range = m_state.map.ranges[index];
            start_move(m_state, range.first, range.last, holder_of(index + 1));
        }
        write();
        tick();
    }

    auto tick() -> std::vector<holder_command> {
        m_now += tick_interval;
        return due_commands(m_state, m_now);
    }
    auto answer_overdue_grant() -> void {
        on_overdue_answer(m_state, ++m_answered, command_result::done, m_now);
    }
    auto answer_renewal() -> void {
        const auto index = ++m_renewed % m_state.map.ranges.size();
        on_command_finished(m_state, grant_of(m_state.map.ranges[index]), command_result::done, "", m_now,
                            m_now);
    }
    /// Former holders of @a count ranges are asked to release them.
    auto add_former_holders(std::uint32_t count) -> void {
        for (auto index = 0U; index < count; ++index) {
            auto range = m_state.map.ranges[index % m_state.map.ranges.size()];
            range.holder = holder_of(index + 2);
            add_stale_grant(m_state.former, range, m_now);
        }
        tick();
    }
    auto state() -> range_grantor& { return m_state; }

private:
    auto grant_of(const key_range& range) -> holder_command {
        return {.to = range.holder,
                .first = range.first,
                .last = range.last,
                .fence = range.fence,
                .call = ++m_calls};
    }
    auto write() -> void {
        if (auto map = next_write(m_state)) {
            on_written(m_state, *map, {.number = map->revision.number + 1});
        }
    }

    range_grantor m_state;
    instant m_now = instant{seconds{100}};
    std::uint64_t m_calls = 0;
    std::uint64_t m_answered = 0;
    std::size_t m_renewed = 0;
};

/// Request rates with a clump of busy keys, as they make ranges move.
auto make_rates() -> key_rates {
    auto rates = key_rates{.options = hotspot_options};
    auto now = instant{seconds{100}};
    decay(rates, now);
    for (auto key = shard_key{0}; key <= last_shard_key; key += 16) {
        add_requests(rates, key, key % 4096 < 256 ? 40 : 1);
    }
    decay(rates, now + seconds{2});
    return rates;
}

} // namespace

auto main() -> int {
    const auto rates = make_rates();
    for (const auto ranges : {500U, 2000U}) {
        for (const auto overdue : {0U, 100U, 1000U, 10000U}) {
            auto controller = busy_controller{ranges, overdue};
            print("tick", ranges, overdue, milliseconds_of(20, [&] { controller.tick(); }));
            print("answer to a renewal", ranges, overdue,
                  milliseconds_of(200, [&] { controller.answer_renewal(); }));
            if (overdue > 0) {
                print("answer to an overdue", ranges, overdue,
                      milliseconds_of(50, [&] { controller.answer_overdue_grant(); }));
            }
        }
        auto controller = busy_controller{ranges, 0};
        controller.add_former_holders(1000);
        print("tick, former holders", ranges, 0, milliseconds_of(20, [&] { controller.tick(); }));
        print("balance", ranges, 0,
              milliseconds_of(5, [&] { static_cast<void>(plan_moves(controller.state(), rates)); }));
        for (auto index = 0U; index < holder_count; index += 2) {
            controller.state().responses[holder_of(index).id].consecutive_failures = 10;
        }
        const auto evict = [&] { start_evictions(controller.state(), {}, instant{seconds{101}}); };
        print("evictions of half", ranges, 0, milliseconds_of(1, evict));
        print("map as text", ranges, 0,
              milliseconds_of(20, [&] { static_cast<void>(to_json(controller.state().map).dump()); }));
    }
}
