#pragma once

// One soak: instances of the program as processes of their own on loopback addresses, what surrounds them,
// and faults from outside that come in series and overlap.

#include "accounts.h"
#include "callers.h"
#include "processor_limit.h"
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

/// Earlier seeds are kept as they were recorded, before the store could go back.
constexpr auto first_seed_with_restores = std::uint64_t{1000};
/// Earlier seeds suspend no targets.
constexpr auto first_seed_with_suspensions = std::uint64_t{2000};
/// From here on targets read late and are not suspended.
constexpr auto first_seed_with_late_reading = std::uint64_t{3000};
/// From here on delays are those of the platform's pages and of nobody's constants. By the remainder of the
/// seed by four: data centres are cut off, targets read late, orders are carried out late, or all of it.
constexpr auto first_seed_with_long_delays = std::uint64_t{4000};
/// From here on the same with delays that are longer than any that the pages name, and cut targets whose
/// heartbeats are held up, too.
constexpr auto first_seed_with_very_long_delays = std::uint64_t{5000};
constexpr auto very_long_delay = duration{std::chrono::seconds{30}};
/// From here on instances are short of processor time and of bandwidth to the store, and most targets hold
/// keys.
constexpr auto first_seed_short_of_room = std::uint64_t{8000};
enum class delay_kind : std::uint64_t { cut_off, late_reading, late_orders, all };
/// Orders that get no answer are carried out so much later, by the platform's pages.
constexpr auto most_carried_out_late = duration{std::chrono::seconds{12}};
constexpr auto longest_restart = duration{std::chrono::seconds{3}};
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

/// Runs @a work on its own. An exception is a fault of the soak itself, which must not go on without that
/// part.
auto spawn(boost::asio::io_context& context, boost::asio::awaitable<void> work) -> void;

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
    /// Time of a planned stop; some seeds have another one than the program's default.
    auto grace() const -> duration { return std::chrono::seconds{m_options.seed % 7 == 2 ? 10 : 6}; }
    /// From seed 6000 on, an instance has room for few overdue connections only.
    auto file_limit() const -> int { return m_options.seed >= 6000 && !is_short_of_room() ? 320 : 4100; }
    auto is_short_of_room() const -> bool { return m_options.seed >= first_seed_short_of_room; }
    auto has_accounts() const -> bool {
        return m_options.seed >= first_seed_with_accounts && !is_short_of_room();
    }
    auto write_settings(std::size_t index) -> void;
    auto write_config() -> void;
    auto put_foreign_entries() -> void;
    auto launch(std::size_t instance) -> void;
    auto end(process& ended) -> void;
    auto heartbeats() -> boost::asio::awaitable<void>;
    auto play() -> boost::asio::awaitable<void>;
    auto play_faults(instant until) -> boost::asio::awaitable<void>;
    auto play_short_of_room(instant until) -> boost::asio::awaitable<void>;
    auto config_storm(instant until) -> boost::asio::awaitable<void>;
    auto silence_targets(link_mode mode, duration length) -> boost::asio::awaitable<void>;
    /// The store refuses the controller until another instance has taken over.
    auto replace_controller() -> boost::asio::awaitable<void>;
    auto series(int kind) -> boost::asio::awaitable<void>;
    auto one_fault(int kind) -> boost::asio::awaitable<void>;
    /// The instance is disturbed from now on, until settle() starts its time of rest.
    auto disturb(std::size_t instance) -> void;
    auto settle(std::size_t instance) -> void;
    auto any_instance() -> std::size_t { return m_random() % m_processes.size(); }
    auto any_target() -> target& { return *m_targets.all()[m_random() % m_targets.all().size()]; }
    /// The instance that holds the controller's lease, as the store has it.
    auto lease_holder() const -> std::size_t;
    auto begin_fault() -> void;
    auto kill_instance(std::size_t index) -> boost::asio::awaitable<void>;
    auto stop_instance() -> boost::asio::awaitable<void>;
    auto freeze_instance(std::size_t index) -> boost::asio::awaitable<void>;
    auto break_store() -> boost::asio::awaitable<void>;
    auto break_store_link(std::size_t index) -> boost::asio::awaitable<void>;
    auto break_target_link() -> boost::asio::awaitable<void>;
    auto crash_target(target& chosen) -> boost::asio::awaitable<void>;
    /// The target serves for a time between @a least and @a most, in seconds, beyond its bound.
    auto drain_target(target& chosen, double least, double most) -> boost::asio::awaitable<void>;
    /// Suspends processes of targets that hold keys, and at times the controller beside them.
    auto suspensions(instant until) -> boost::asio::awaitable<void>;
    auto suspend_target(target& chosen, duration length) -> boost::asio::awaitable<void>;
    /// Spells in which a share of the targets that hold keys read late.
    auto late_reading(instant until) -> boost::asio::awaitable<void>;
    /// Cuts off the targets of a data centre; what was held up arrives after the cut has healed.
    auto cuts(instant until) -> boost::asio::awaitable<void>;
    /// Spells in which targets leave a share of the orders unanswered and carry them out late.
    auto late_orders(instant until) -> boost::asio::awaitable<void>;
    /// Whether the seed has delays of @a kind that no constant of the program bounds.
    auto has_long_delays(delay_kind kind) const -> bool;
    auto has_very_long_delays() const -> bool { return m_options.seed >= first_seed_with_very_long_delays; }
    /// The longest time for which a target leaves a call unread or an order undone.
    auto longest_delay() const -> duration {
        return has_very_long_delays() ? very_long_delay : most_carried_out_late;
    }
    auto watch_owners() -> boost::asio::awaitable<void>;
    auto restores(instant until) -> boost::asio::awaitable<void>;
    auto restore_store() -> boost::asio::awaitable<void>;
    auto change_around_restore(std::uint64_t kind, target& moved, duration delay)
        -> boost::asio::awaitable<void>;
    auto disturb_beside_restore(std::uint64_t kind) -> boost::asio::awaitable<void>;
    auto take_out() -> boost::asio::awaitable<void>;
    auto finish() -> boost::asio::awaitable<void>;

    soak_options m_options;
    boost::asio::io_context m_context{1};
    boost::asio::signal_set m_signals{m_context, SIGINT, SIGTERM};
    std::mt19937_64 m_random;
    std::mt19937_64 m_restore_random; ///< Apart, so that restores don't change a seed's other faults.
    std::mt19937_64 m_pause_random;   ///< Apart for the same reason.
    journal m_seen;
    store m_store;
    target_group m_targets;
    std::vector<std::unique_ptr<proxy>> m_target_links;
    std::vector<process> m_processes;
    processor_limit m_processor_limit;
    std::vector<front> m_fronts;
    std::unique_ptr<callers> m_callers;
    std::uint64_t m_version = 0;
    std::vector<std::uint64_t> m_versions; ///< All that were written; each has added a route.
    std::size_t m_added_routes = 0;        ///< Further routes of each version, which nobody asks for.
    std::vector<int> m_disturbances;       ///< Faults that are on, by instance.
    int m_faults_now = 0;
    bool m_playing = true;
};

} // namespace teaselcross::soak
