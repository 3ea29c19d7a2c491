// Instances with a tenth of a core each, and 10 Mbit/s to the store: one controller after the other takes
// over hundreds of targets, most of which cannot be given orders, while large configurations follow one
// another.

#include "runtime/clock.h"
#include "soak.h"

namespace teaselcross::soak {

namespace asio = boost::asio;

namespace {

constexpr auto added_routes = std::size_t{1500};
constexpr auto store_link_rate = 10e6 / 8; ///< In bytes per second.
constexpr auto store_refuses = duration{std::chrono::seconds{6}};
constexpr auto between_takeovers = duration{std::chrono::seconds{8}};
constexpr auto settling =
    duration{std::chrono::seconds{4}}; ///< Without changes of configuration, at the end.

} // namespace

/// Changes the configuration again and again, in quick succession.
auto soak::config_storm(instant until) -> asio::awaitable<void> {
    while (monotonic_now() < until) {
        write_config();
        co_await pause(seconds(0.1, 0.4));
    }
}

/// Nothing passes to or from two thirds of the targets.
auto soak::silence_targets(link_mode mode, duration length) -> asio::awaitable<void> {
    begin_fault();
    auto chosen = std::vector<std::size_t>{};
    for (std::size_t index = 0; index < m_target_links.size(); ++index) {
        if (m_random() % 3 != 0) {
            chosen.push_back(index);
            m_target_links[index]->set(mode);
        }
    }
    tell("links to " + std::to_string(chosen.size()) + " targets, mode " +
         std::to_string(static_cast<int>(mode)));
    co_await pause(length);
    for (const auto index : chosen) {
        m_target_links[index]->set(link_mode::open);
    }
    m_seen.late_orders_until = monotonic_now() + std::chrono::milliseconds{300};
    --m_faults_now;
}

auto soak::replace_controller() -> asio::awaitable<void> {
    begin_fault();
    const auto holder = lease_holder();
    tell("the store refuses the controller " + m_processes[holder].name);
    disturb(holder);
    m_processes[holder].store_link->set(link_mode::reset);
    co_await pause(store_refuses);
    m_processes[holder].store_link->set(link_mode::open);
    settle(holder);
    --m_faults_now;
}

auto soak::play_short_of_room(instant until) -> asio::awaitable<void> {
    for (auto& each : m_processes) {
        each.store_link->set_rate(store_link_rate);
        m_processor_limit.add(each.pid);
    }
    m_added_routes = added_routes;
    write_config();
    co_await pause(settling);
    spawn(m_context, config_storm(until));
    for (auto count = 0; monotonic_now() < until; ++count) {
        const auto mode = count % 2 == 0 ? link_mode::silent : link_mode::reset;
        spawn(m_context, silence_targets(mode, between_takeovers - std::chrono::seconds{1}));
        spawn(m_context, replace_controller());
        co_await pause(between_takeovers);
    }
    co_await pause(settling);
    for (auto& each : m_processes) {
        m_processor_limit.remove(each.pid);
    }
}

} // namespace teaselcross::soak
