#include "processor_limit.h"

#include <chrono>
#include <csignal>

namespace teaselcross::soak {

namespace {

constexpr auto step = std::chrono::milliseconds{2};
constexpr auto steps_in_turn = std::size_t{10}; ///< A process runs in one of them.

} // namespace

processor_limit::processor_limit() : m_thread{[this](const std::stop_token& stop) { run(stop); }} {}

auto processor_limit::add(pid_t process) -> void {
    const auto lock = std::scoped_lock{m_mutex};
    m_processes.insert(process);
}

auto processor_limit::remove(pid_t process) -> void {
    const auto lock = std::scoped_lock{m_mutex};
    if (m_processes.erase(process) > 0) {
        ::kill(process, SIGCONT);
    }
}

auto processor_limit::run(const std::stop_token& stop) -> void {
    for (auto count = std::size_t{0}; !stop.stop_requested(); ++count) {
        {
            const auto lock = std::scoped_lock{m_mutex};
            auto index = std::size_t{0};
            for (const auto process : m_processes) {
                const auto place = (count + index++) % steps_in_turn;
                if (place <= 1) {
                    ::kill(process, place == 0 ? SIGCONT : SIGSTOP);
                }
            }
        }
        std::this_thread::sleep_for(step);
    }
}

} // namespace teaselcross::soak
