// Delays that no constant of the program bounds: data centres that are cut off, with a relay on the way that
// holds what was sent until the cut heals, and orders that get no answer and are carried out later.

#include "runtime/clock.h"
#include "soak.h"

namespace teaselcross::soak {

namespace asio = boost::asio;

namespace {

constexpr auto delay_kinds = std::uint64_t{4};
constexpr auto most_backlog = duration{std::chrono::seconds{2}};
constexpr auto thaw_allowance = duration{std::chrono::milliseconds{300}};

auto draw(std::mt19937_64& random, double least, double most) -> duration {
    const auto length = std::uniform_real_distribution<double>{least, most}(random);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(length));
}

} // namespace

auto soak::has_long_delays(delay_kind kind) const -> bool {
    const auto chosen = static_cast<delay_kind>(m_options.seed % delay_kinds);
    return m_options.seed >= first_seed_with_long_delays && !is_short_of_room() &&
           (chosen == kind || chosen == delay_kind::all);
}

auto soak::cuts(instant until) -> asio::awaitable<void> {
    if (!has_long_delays(delay_kind::cut_off)) {
        co_return;
    }
    while (monotonic_now() < until) {
        begin_fault();
        const auto place = m_pause_random() % data_centres.size();
        const auto length = draw(m_pause_random, 3, has_very_long_delays() ? 25 : 9);
        tell(std::string{"cut off the targets of "} + data_centres[place] + " for " +
             std::to_string(length.count() / 1000) + " ms");
        for (auto index = place; index < m_target_links.size(); index += data_centres.size()) {
            m_target_links[index]->set(link_mode::held, {}, most_backlog);
            m_targets.all()[index]->set_cut_off(has_very_long_delays());
        }
        for (std::size_t index = 0; index < m_processes.size(); ++index) {
            disturb(index);
        }
        co_await pause(length);
        tell("the cut heals");
        for (auto index = place; index < m_target_links.size(); index += data_centres.size()) {
            m_target_links[index]->set(link_mode::open, {}, most_backlog);
            m_targets.all()[index]->set_cut_off(false);
        }
        m_seen.late_orders_until = monotonic_now() + thaw_allowance;
        co_await pause(most_backlog);
        for (std::size_t index = 0; index < m_processes.size(); ++index) {
            settle(index);
        }
        --m_faults_now;
        co_await pause(draw(m_pause_random, 1, 4));
    }
}

auto soak::late_orders(instant until) -> asio::awaitable<void> {
    if (!has_long_delays(delay_kind::late_orders)) {
        co_return;
    }
    while (monotonic_now() < until) {
        begin_fault();
        const auto length = draw(m_pause_random, 3, 7);
        tell("orders are carried out late for " + std::to_string(length.count() / 1000) + " ms");
        for (const auto& each : m_targets.all()) {
            each->carry_out_late_until(monotonic_now() + length, longest_delay());
        }
        co_await pause(length);
        --m_faults_now;
        co_await pause(draw(m_pause_random, 1, 4));
    }
}

} // namespace teaselcross::soak
