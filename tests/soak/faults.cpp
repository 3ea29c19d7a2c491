// The faults of a soak, each from its begin to its end.

#include "platform/store.h"
#include "runtime/clock.h"
#include "soak.h"

#include <sys/wait.h>

#include <csignal>

namespace teaselcross::soak {

namespace asio = boost::asio;
using json = nlohmann::json;

namespace {

constexpr auto first_restore = duration{std::chrono::seconds{4}}; ///< After the begin of the faults.
constexpr auto pause_between_restores = duration{std::chrono::milliseconds{500}}; ///< Once to eight times.
constexpr auto kinds_around_restore = 4U; ///< The last of them is none, here and below.
constexpr auto kinds_beside_restore = 5U;
constexpr auto rewrite_within = duration{std::chrono::seconds{1}}; ///< After a restore, by the platform.
constexpr auto late_writes = 0.5;                                  ///< Share, at a restore.
constexpr auto thaw_allowance = duration{std::chrono::milliseconds{300}};

auto milliseconds(duration length) -> std::string {
    return std::to_string(length.count() / 1000) + " ms";
}

} // namespace

auto soak::disturb(std::size_t instance) -> void {
    ++m_disturbances[instance];
    m_seen.in_touch_from[instance] = instant::max();
}

auto soak::settle(std::size_t instance) -> void {
    if (--m_disturbances[instance] == 0) {
        m_seen.in_touch_from[instance] = monotonic_now() + stable_window;
    }
}

auto soak::begin_fault() -> void {
    ++m_faults_now;
    for (auto& each : m_fronts) {
        each.stopping_since.reset(); // From here on, an answer may be cut by this fault.
    }
}

auto soak::lease_holder() const -> std::size_t {
    const auto lease = m_store.spec(platform::kinds::controller_lease);
    const auto holder = lease.is_object() ? lease.value("holder", std::string{}) : std::string{};
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        if (holder.starts_with(m_processes[index].name + "#")) {
            return index;
        }
    }
    return 0;
}

auto soak::kill_instance(std::size_t index) -> asio::awaitable<void> {
    auto& chosen = m_processes[index];
    tell("kill " + chosen.name);
    disturb(index);
    end(chosen);
    co_await pause(seconds(0.2, 3));
    if (chosen.pid == 0) {
        launch(index);
    }
    settle(index);
}

auto soak::stop_instance() -> asio::awaitable<void> {
    const auto index = m_random() % m_processes.size();
    auto& chosen = m_processes[index];
    if (chosen.pid == 0 || m_fronts[index].stopping_since) {
        co_return;
    }
    const auto pid = chosen.pid;
    tell("stop " + chosen.name);
    disturb(index);
    ::kill(pid, SIGTERM);
    // A frozen process cannot stop, so only the time in which it runs counts.
    auto left = grace();
    for (auto last = monotonic_now(); left > duration::zero() && chosen.pid == pid; last = monotonic_now()) {
        // Only while nothing else goes on is a cut answer the stop's own doing.
        m_fronts[index].stopping_since = m_faults_now == 1 ? std::optional{monotonic_now()} : std::nullopt;
        if (::waitpid(pid, nullptr, WNOHANG) == pid) {
            chosen.pid = 0;
        }
        co_await pause(std::chrono::milliseconds{20});
        left -= chosen.is_frozen ? duration::zero() : monotonic_now() - last;
    }
    m_fronts[index].stopping_since.reset();
    if (chosen.pid == pid) {
        report_broken(m_seen, "a planned stop ends in time", chosen.name);
        end(chosen);
    }
    if (chosen.pid == 0) {
        launch(index);
    }
    settle(index);
}

auto soak::freeze_instance(std::size_t index) -> asio::awaitable<void> {
    auto& chosen = m_processes[index];
    const auto pid = chosen.pid;
    if (pid == 0) {
        co_return;
    }
    const auto length = seconds(0.3, 6);
    disturb(index);
    tell("freeze " + chosen.name + " for " + milliseconds(length));
    ::kill(pid, SIGSTOP);
    chosen.is_frozen = true;
    co_await pause(length);
    if (chosen.pid == pid) {
        chosen.is_frozen = false;
        ::kill(pid, SIGCONT);
        m_seen.late_orders_until = monotonic_now() + thaw_allowance;
    }
    settle(index);
}

auto soak::break_store() -> asio::awaitable<void> {
    auto& faults = m_store.faults();
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        disturb(index);
    }
    const auto kind = m_random() % 5;
    tell("store trouble of kind " + std::to_string(kind));
    if (kind == 0) {
        faults.mode = store_mode::refusing;
    } else if (kind == 1) {
        faults.mode = store_mode::silent;
    } else if (kind == 2) {
        faults.delay = std::chrono::milliseconds{200};
    } else if (kind == 3) {
        faults.lost_answers = 0.4;
    } else {
        m_store.compact();
    }
    co_await pause(seconds(0.5, 5));
    faults = {};
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        settle(index);
    }
}

auto soak::break_store_link(std::size_t index) -> asio::awaitable<void> {
    auto& chosen = m_processes[index];
    disturb(index);
    const auto mode = static_cast<link_mode>(1 + m_random() % 3);
    tell("link of " + chosen.name + " to the store, mode " + std::to_string(static_cast<int>(mode)));
    chosen.store_link->set(mode);
    co_await pause(seconds(0.5, 6));
    chosen.store_link->set(link_mode::open);
    settle(index);
    m_seen.late_orders_until = monotonic_now() + thaw_allowance;
}

auto soak::break_target_link() -> asio::awaitable<void> {
    const auto index = m_random() % m_target_links.size();
    const auto mode = static_cast<link_mode>(m_random() % 4); // An open one is delayed.
    tell("link to i-" + std::to_string(index) + ", mode " + std::to_string(static_cast<int>(mode)));
    m_target_links[index]->set(mode, mode == link_mode::open ? std::chrono::milliseconds{60} : duration{});
    co_await pause(seconds(0.5, 6));
    m_target_links[index]->set(link_mode::open);
    m_seen.late_orders_until = monotonic_now() + thaw_allowance;
}

auto soak::crash_target(target& chosen) -> asio::awaitable<void> {
    if (!chosen.up()) {
        co_return;
    }
    tell("crash " + chosen.options().id);
    chosen.crash();
    co_await pause(seconds(0.3, 5));
    if (!chosen.up()) { // Another fault may have started it meanwhile.
        chosen.start();
    }
}

auto soak::drain_target(target& chosen, double least, double most) -> asio::awaitable<void> {
    if (!chosen.up() || m_store.faults().mode != store_mode::up) {
        co_return;
    }
    tell("drain " + chosen.options().id);
    chosen.drain();
    const auto beyond = seconds(least, most);
    co_await pause(drain_bound + drain_slack);
    chosen.note_informed_instances();
    co_await pause(beyond - drain_slack);
    if (chosen.up()) {
        chosen.crash();
    }
    co_await pause(seconds(0.5, 2));
    if (!chosen.up()) {
        chosen.start();
    }
}

auto soak::take_out() -> asio::awaitable<void> {
    const auto* name = data_centres[m_random() % data_centres.size()];
    tell(std::string{"take out "} + name);
    m_store.put(platform::kinds::evacuations, name, json::object());
    m_targets.take_out_of_service(name);
    co_await pause(seconds(2, 10));
    m_store.remove(platform::kinds::evacuations, name);
    m_targets.return_to_service(name);
}

/// The store is away for a moment and comes back from an older copy, which mostly lacks a change of owners or
/// of the configuration; another one may follow. The controller may fail meanwhile.
auto soak::restore_store() -> asio::awaitable<void> {
    const auto drawn = [this](double least, double most) {
        const auto length = std::uniform_real_distribution<double>{least, most}(m_restore_random);
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(length));
    };
    begin_fault();
    const auto before = m_restore_random() % kinds_around_restore;
    const auto after = m_restore_random() % kinds_around_restore;
    const auto beside = m_restore_random() % kinds_beside_restore;
    auto& moved = *m_targets.all()[3 * (m_restore_random() % (m_targets.all().size() / 3))]; // Holds keys.
    spawn(m_context, change_around_restore(before, moved, before == 2 ? drain_bound : duration{}));
    co_await pause(drain_bound + drawn(0.5, 1.5));
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        disturb(index);
    }
    spawn(m_context, disturb_beside_restore(beside));
    // At times it goes back again before the system has got over the first time.
    const auto times = m_restore_random() % 4 == 0 ? 2 : 1;
    for (auto count = 0; count < times; ++count) {
        const auto mode = m_restore_random() % 2 == 0 ? store_mode::refusing : store_mode::silent;
        const auto away = drawn(0.2, 3);
        const auto lost = drawn(1, 10);
        tell("store away for " + milliseconds(away) + " after change " + std::to_string(before) +
             ", beside fault " + std::to_string(beside));
        m_store.faults() = {.mode = mode, .late_writes = late_writes};
        co_await pause(away);
        m_store.restore(away + lost, rewrite_within);
        m_store.faults() = {};
        tell("store back without its last " + milliseconds(lost));
        if (count + 1 < times) {
            co_await pause(drawn(0.1, 1.5));
        }
    }
    spawn(m_context, change_around_restore(after, moved, drawn(0.5, 4)));
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        settle(index);
    }
    --m_faults_now;
}

auto soak::change_around_restore(std::uint64_t kind, target& moved, duration delay) -> asio::awaitable<void> {
    begin_fault();
    co_await pause(delay);
    if (kind == 0) { // It serves on for longer than the store is away.
        co_await drain_target(moved, 6, 8);
    } else if (kind == 1) {
        co_await crash_target(moved);
    } else if (kind == 2) {
        tell("change the configuration");
        write_config();
    }
    --m_faults_now;
}

auto soak::disturb_beside_restore(std::uint64_t kind) -> asio::awaitable<void> {
    begin_fault();
    const auto holder = lease_holder();
    if (kind == 0) {
        co_await kill_instance(holder);
    } else if (kind == 1) {
        co_await freeze_instance(holder);
    } else if (kind == 2) {
        co_await break_store_link(holder);
    } else if (kind == 3) {
        for (std::size_t index = 0; index < m_processes.size(); ++index) {
            spawn(m_context, kill_instance(index));
        }
        co_await pause(longest_restart);
    }
    --m_faults_now;
}

/// A few in each run that has them, one after the other.
auto soak::restores(instant until) -> asio::awaitable<void> {
    if (m_options.seed < first_seed_with_restores || m_options.seed % 4 == 0) {
        co_return;
    }
    const auto times = 2 + m_restore_random() % 3;
    co_await pause(first_restore);
    for (std::uint64_t count = 0; count < times && monotonic_now() < until; ++count) {
        co_await restore_store();
        co_await pause(pause_between_restores * (1 + m_restore_random() % 8));
    }
}

auto soak::one_fault(int kind) -> asio::awaitable<void> {
    begin_fault();
    switch (kind) {
    case 0:
        co_await kill_instance(any_instance());
        break;
    case 1:
        co_await stop_instance();
        break;
    case 2:
        co_await freeze_instance(any_instance());
        break;
    case 3:
        co_await break_store();
        break;
    case 4:
        co_await break_store_link(any_instance());
        break;
    case 5:
        co_await break_target_link();
        break;
    case 6:
        co_await crash_target(any_target());
        break;
    case 7:
        co_await drain_target(any_target(), 1, 2);
        break;
    case 8:
        co_await take_out();
        break;
    default:
        write_config();
        break;
    }
    --m_faults_now;
    tell("over: fault of kind " + std::to_string(kind));
}

} // namespace teaselcross::soak
