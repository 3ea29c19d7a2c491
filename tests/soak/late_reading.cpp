// Targets that read every call late without being suspended, as processes among many others on a machine. A
// grant's term begins when it is read, and calls of different connections are read in any order. The targets
// go on to announce themselves.

#include "runtime/clock.h"
#include "soak.h"

#include <cstdio>

namespace teaselcross::soak {

namespace asio = boost::asio;

namespace {

constexpr auto longest_read_delay = duration{std::chrono::milliseconds{1500}};
constexpr auto late_share = 3U; ///< One in so many of the targets that hold keys reads late in a spell.

auto draw(std::mt19937_64& random, double least, double most) -> duration {
    const auto length = std::uniform_real_distribution<double>{least, most}(random);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(length));
}

auto in_seconds(duration length) -> std::string {
    auto text = std::array<char, 32>{};
    std::snprintf(text.data(), text.size(), "%.3f s", std::chrono::duration<double>(length).count());
    return text.data();
}

} // namespace

auto target::draw_read_delay() -> duration {
    const auto most = std::chrono::duration<double>(m_longest_read_delay).count();
    return monotonic_now() < m_reads_late_until ? draw(m_group.random(), 0.05, most) : duration::zero();
}

auto target::draw_order_delay() -> std::optional<duration> {
    constexpr auto share = 0.3;
    const auto is_chosen = monotonic_now() < m_carries_out_late_until &&
                           std::uniform_real_distribution<double>{}(m_group.random()) < share;
    const auto most = std::chrono::duration<double>(m_longest_order_delay).count();
    return is_chosen ? std::optional{draw(m_group.random(), 2, most)} : std::nullopt;
}

auto target::describe(const grant& held, instant now) const -> std::string {
    return m_options.id + " read fence " + std::to_string(held.fence) + " " + in_seconds(now - held.read_at) +
           " ago, " + in_seconds(held.late_by) + " after it arrived, in a process of " +
           in_seconds(held.read_at - m_started_at) + " born " + std::to_string(m_birth) +
           (held.is_of_earlier_process ? ", and an earlier process had this fence" : "");
}

auto target::describe_holds(shard_key first, shard_key last, instant now) const -> std::string {
    auto text = std::string{};
    for (const auto& each : m_grants) {
        if (now < each.until && each.first <= last && first <= each.last) {
            text += "; " + describe(each, now);
        }
    }
    return text;
}

auto soak::late_reading(instant until) -> asio::awaitable<void> {
    const auto has_long = m_options.seed >= first_seed_with_long_delays;
    if (m_options.seed < first_seed_with_late_reading ||
        (has_long && !has_long_delays(delay_kind::late_reading))) {
        co_return;
    }
    const auto longest = has_long ? longest_delay() : longest_read_delay;
    while (monotonic_now() < until) {
        begin_fault();
        const auto length = draw(m_pause_random, 2, 6);
        auto names = std::string{};
        for (std::size_t index = 0; index < m_targets.all().size(); index += 3) { // Those that hold keys.
            if (m_pause_random() % late_share == 0) {
                auto& chosen = *m_targets.all()[index];
                chosen.read_late_until(monotonic_now() + length, longest);
                names += " " + chosen.options().id;
            }
        }
        tell("read late for " + in_seconds(length) + ":" + names);
        co_await pause(length);
        --m_faults_now;
        co_await pause(draw(m_pause_random, 0.5, 3));
    }
}

} // namespace teaselcross::soak
