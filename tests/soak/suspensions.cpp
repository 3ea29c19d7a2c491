// Targets whose processes are suspended for a while, as on a machine that is short of processor time. What
// was sent to them waits in their sockets, also what its sender has given up since.

#include "runtime/clock.h"
#include "soak.h"

namespace teaselcross::soak {

namespace asio = boost::asio;

namespace {

/// Of each pair of targets.
constexpr auto check_interval = duration{std::chrono::milliseconds{10}};
/// The same with hundreds of targets, whose pairs take long to check.
constexpr auto check_interval_of_many = duration{std::chrono::milliseconds{200}};
constexpr auto many_targets = std::size_t{200};

} // namespace

auto soak::watch_owners() -> asio::awaitable<void> {
    const auto has_many = m_targets.all().size() >= many_targets;
    while (true) {
        m_targets.check_overlaps(monotonic_now());
        co_await pause(has_many ? check_interval_of_many : check_interval);
    }
}

auto soak::suspend_target(target& chosen, duration length) -> asio::awaitable<void> {
    if (!chosen.up() || chosen.is_suspended()) {
        co_return;
    }
    begin_fault();
    tell("suspend " + chosen.options().id + " for " + std::to_string(length.count() / 1000) + " ms");
    chosen.suspend();
    co_await pause(length);
    chosen.resume();
    tell("resume " + chosen.options().id);
    --m_faults_now;
}

auto soak::suspensions(instant until) -> asio::awaitable<void> {
    if (m_options.seed < first_seed_with_suspensions || m_options.seed >= first_seed_with_late_reading) {
        co_return;
    }
    const auto drawn = [this](double least, double most) {
        const auto length = std::uniform_real_distribution<double>{least, most}(m_pause_random);
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(length));
    };
    while (monotonic_now() < until) {
        auto& chosen = *m_targets.all()[3 * (m_pause_random() % (m_targets.all().size() / 3))]; // Holds keys.
        spawn(m_context, suspend_target(chosen, drawn(0.2, 9)));
        if (m_pause_random() % 3 == 0) {
            begin_fault();
            spawn(m_context, [](soak& played) -> asio::awaitable<void> {
                co_await played.freeze_instance(played.lease_holder());
                --played.m_faults_now;
            }(*this));
        }
        co_await pause(drawn(0.5, 5));
    }
}

} // namespace teaselcross::soak
