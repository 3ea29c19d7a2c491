#pragma once

// Limits the processor time of child processes by stopping and continuing them in short turns, which needs no
// rights beyond those of a parent.

#include <sys/types.h>

#include <mutex>
#include <set>
#include <stop_token>
#include <thread>

namespace teaselcross::soak {

/// Thread safe.
class processor_limit {
public:
    processor_limit();

    /// Lets the child @a process run for a tenth of the time from now on.
    auto add(pid_t process) -> void;
    /// Lets it run freely again. To be called before it is waited for: its number may be used again then.
    auto remove(pid_t process) -> void;

private:
    auto run(const std::stop_token& stop) -> void;

    std::mutex m_mutex;
    std::set<pid_t> m_processes;
    std::jthread m_thread; ///< The last member: it is stopped first.
};

} // namespace teaselcross::soak
