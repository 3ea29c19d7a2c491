#pragma once

// One soak: instances of the program as processes of their own on loopback addresses, what surrounds them,
// and faults from outside that come in series and overlap.

#include "callers.h"
#include "proxy.h"
#include "store.h"
#include "targets.h"

#include <boost/asio/signal_set.hpp>

#include <sys/types.h>

#include <array>
#include <csignal>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace teaselcross::soak {

constexpr auto drain_bound = duration{std::chrono::seconds{2}};
/// By index of an instance or a target, in turn.
constexpr auto data_centres = std::array<const char*, 2>{"west", "east"};

struct soak_options {
    std::string program;
    std::string directory = "out/soak";
    std::uint64_t seed = 1;
    std::size_t instances = 4;
    std::size_t targets = 9;
    double seconds = 15;
};

/// One instance's process and its way to the store.
struct process {
    std::string name;
    std::string settings_file;
    std::string log_file;
    std::unique_ptr<proxy> store_link;
    pid_t pid = 0;
    bool is_frozen = false;
};

/// Belongs to one thread. Ends the processes that it has started, by their ids.
class soak {
public:
    explicit soak(soak_options options);
    ~soak();
    soak(const soak&) = delete;
    auto operator=(const soak&) -> soak& = delete;

    auto run() -> int;

private:
    auto address(std::uint16_t port, std::size_t instance = 0) const -> endpoint;
    auto pause(duration period) -> boost::asio::awaitable<void>;
    auto seconds(double least, double most) -> duration;
    auto write_settings(std::size_t index) -> void;
    auto write_config() -> void;
    auto launch(process& started) -> void;
    auto end(process& ended) -> void;
    auto heartbeats() -> boost::asio::awaitable<void>;
    auto play() -> boost::asio::awaitable<void>;
    auto series(int kind) -> boost::asio::awaitable<void>;
    auto one_fault(int kind) -> boost::asio::awaitable<void>;
    /// The instance is disturbed from now on, until settle() starts its time of rest.
    auto disturb(std::size_t instance) -> void;
    auto settle(std::size_t instance) -> void;
    auto kill_instance() -> boost::asio::awaitable<void>;
    auto stop_instance() -> boost::asio::awaitable<void>;
    auto freeze_instance() -> boost::asio::awaitable<void>;
    auto break_store() -> boost::asio::awaitable<void>;
    auto break_store_link() -> boost::asio::awaitable<void>;
    auto break_target_link() -> boost::asio::awaitable<void>;
    auto crash_target() -> boost::asio::awaitable<void>;
    auto drain_target() -> boost::asio::awaitable<void>;
    auto take_out() -> boost::asio::awaitable<void>;
    auto finish() -> boost::asio::awaitable<void>;

    soak_options m_options;
    boost::asio::io_context m_context{1};
    boost::asio::signal_set m_signals{m_context, SIGINT, SIGTERM};
    std::mt19937_64 m_random;
    journal m_seen;
    store m_store;
    target_group m_targets;
    std::vector<std::unique_ptr<proxy>> m_target_links;
    std::vector<process> m_processes;
    std::vector<front> m_fronts;
    std::unique_ptr<callers> m_callers;
    std::uint64_t m_version = 0;
    std::vector<int> m_disturbances; ///< Faults that are on, by instance.
    int m_faults_now = 0;
    bool m_playing = true;
};

} // namespace teaselcross::soak
