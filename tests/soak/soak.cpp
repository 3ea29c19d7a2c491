#include "soak.h"

#include "foreign_entries.h"
#include "platform/store.h"
#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace teaselcross::soak {

namespace asio = boost::asio;
using json = nlohmann::json;

namespace {

constexpr auto front_port = std::uint16_t{8548};
constexpr auto ready_port = std::uint16_t{8542};
constexpr auto first_internal_port = std::uint16_t{7540};
constexpr auto store_port = std::uint16_t{8541};
constexpr auto proxy_port = std::uint16_t{8600};  ///< Of the first instance's way to the store.
constexpr auto target_port = std::uint16_t{9000}; ///< Of the first target; its proxy is a thousand above.
constexpr auto recovery_bound = duration{std::chrono::seconds{15}};
constexpr auto recovered_share = 0.25; ///< Of requests served after the recovery, by the platform's rules.
constexpr auto heartbeat = duration{std::chrono::milliseconds{870}};
constexpr auto lapse = heartbeat * 3; ///< Silence after which a target's entry is removed.
constexpr auto start_up = duration{std::chrono::seconds{8}};
/// Of instances that are short of room; the other targets hold keys.
constexpr auto unkeyed_targets = std::size_t{6};
/// Sorts among the names of targets, instances and data centres.
constexpr auto foreign_prefix = "f";

auto began() -> instant {
    static const auto at = monotonic_now();
    return at;
}

} // namespace

soak::soak(soak_options options)
    : m_options{std::move(options)}, m_random{m_options.seed}, m_restore_random{m_options.seed + 1},
      m_pause_random{m_options.seed + 2}, m_store{m_context, address(store_port), m_options.seed,
                                                  3 + m_options.seed % 10},
      m_targets{m_context, m_store, m_seen, drain_bound, m_options.seed} {
    std::filesystem::create_directories(m_options.directory);
    for (std::size_t index = 0; index < m_options.targets; ++index) {
        const auto keyed = index % 3 == 0 || (is_short_of_room() && index >= unkeyed_targets);
        const auto own = address(static_cast<std::uint16_t>(target_port + index));
        const auto listed = address(static_cast<std::uint16_t>(target_port + 1000 + index));
        m_targets.add({.id = "i-" + std::to_string(index),
                       .service = keyed ? "keyed" : (index % 3 == 1 ? "once" : "bulk"),
                       .data_centre = data_centres[index % data_centres.size()],
                       .own = own,
                       .listed = listed,
                       .keyed = keyed,
                       .announces_changes_only = is_short_of_room()});
        m_target_links.push_back(std::make_unique<proxy>(m_context, listed, own));
    }
    for (std::size_t index = 0; index < m_options.instances; ++index) {
        const auto name = "edge-" + std::to_string(index);
        const auto base = m_options.directory + "/" + std::to_string(m_options.seed) + "-" + name;
        const auto link = address(static_cast<std::uint16_t>(proxy_port + index));
        m_processes.push_back({.name = name,
                               .settings_file = base + ".json",
                               .log_file = base + ".log",
                               .store_link = std::make_unique<proxy>(m_context, link, address(store_port))});
        m_fronts.push_back(
            {.address = address(front_port, index + 1), .readiness = address(ready_port, index + 1)});
        write_settings(index);
    }
    m_seen.in_touch_from.resize(m_options.instances);
    m_seen.lives.resize(m_options.instances);
    m_disturbances.resize(m_options.instances);
    m_callers = std::make_unique<callers>(
        m_context, m_fronts, m_seen,
        caller_options{.has_accounts = has_accounts(), .has_quick_changes = is_short_of_room()},
        m_options.seed);
}

soak::~soak() {
    for (auto& each : m_processes) {
        end(each);
    }
}

/// Each soak has loopback addresses of its own, so that several can run at once.
auto soak::address(std::uint16_t port, std::size_t instance) const -> endpoint {
    const auto seed = m_options.seed;
    return {.host = "127." + std::to_string(100 + seed / 250 % 100) + "." + std::to_string(seed % 250 + 1) +
                    "." + std::to_string(instance + 1),
            .port = port};
}

auto soak::pause(duration period) -> asio::awaitable<void> {
    auto timer = asio::steady_timer{m_context, period};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto soak::seconds(double least, double most) -> duration {
    const auto drawn = std::uniform_real_distribution<double>{least, most}(m_random);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(drawn));
}

auto soak::write_settings(std::size_t index) -> void {
    const auto text = [](const endpoint& named) { return named.host + ":" + std::to_string(named.port); };
    auto file = std::ofstream{m_processes[index].settings_file};
    file << json{{"node-name", m_processes[index].name},
                 {"zone", data_centres[index % data_centres.size()]},
                 {"internal-ports", {first_internal_port, first_internal_port + 1}},
                 {"listen",
                  {{"front", text(m_fronts[index].address)}, {"ready", text(m_fronts[index].readiness)}}},
                 {"limits", {{"cpu-share", 0.2}, {"cores", 1}, {"max-fds", file_limit()}}},
                 {"platform",
                  {{"address", text(address(static_cast<std::uint16_t>(proxy_port + index)))},
                   {"writes-per-s", 400}}},
                 {"bounds",
                  {{"grace-s", std::chrono::duration<double>(grace()).count()},
                   {"drain-s", 2},
                   {"evacuation-s", 5},
                   {"hold-max-s", 10}}}}
                .dump(2);
}

auto soak::write_config() -> void {
    const auto rule = [](const std::string& path, const char* service, const char* kind) {
        return json{{"name", path.substr(1, path.size() - 2)},
                    {"kind", kind},
                    {"match", {{"path-prefix", path}}},
                    {"action", {{"service", service}, {"timeout-s", 0.9}, {"max-attempts", 3}}},
                    {"target-latency-s", 0.4},
                    {"priority", 1}};
    };
    auto clusters = json::array();
    for (const auto* name : {"keyed", "once", "bulk"}) {
        clusters.push_back({{"name", name},
                            {"health-path", "/health"},
                            {"max-conns", 130},
                            {"cold-start-s", 0},
                            {"cold-per-s", 100},
                            {"sharded", std::string{name} == "keyed"}});
    }
    m_version += 1 + m_random() % 3;
    m_versions.push_back(m_version);
    auto rules = json::array({rule("/keyed/", "keyed", "safe"), rule("/once/", "once", "non_idempotent"),
                              rule("/bulk/", "bulk", "download")});
    for (const auto version : m_versions) {
        rules.push_back(rule(path_of_version(version), "bulk", "download"));
        if (has_accounts()) {
            rules.back()["public"] = true;
        }
    }
    for (std::size_t index = 0; index < m_added_routes; ++index) {
        rules.push_back(rule("/added-" + std::to_string(index) + "/", "bulk", "download"));
    }
    auto config = json{{"version", m_version},
                       {"listeners", json::array({{{"host", "soak.example"}, {"rules", std::move(rules)}}})},
                       {"clusters", clusters},
                       {"limits", {{"idle-timeout-s", 10 + m_version % 5}}}};
    if (has_accounts()) {
        config["tenants"] = accounts_of_version(m_version);
    }
    m_store.put(platform::kinds::routes, "main", std::move(config));
    m_seen.earlier_config_version = m_seen.config_version;
    m_seen.config_version = m_version;
    m_seen.config_written_at = monotonic_now();
    m_seen.config_times.emplace_back(m_version, m_seen.config_written_at);
}

auto soak::launch(std::size_t instance) -> void {
    auto& started = m_processes[instance];
    ++m_seen.lives[instance];
    auto actions = posix_spawn_file_actions_t{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, started.log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Sockets of the soak must not live on in its children.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    auto words = std::vector<std::string>{m_options.program, "gateway", started.settings_file};
    auto arguments = std::vector<char*>{};
    for (auto& word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    started.is_frozen = false;
    if (posix_spawn(&started.pid, m_options.program.c_str(), &actions, nullptr, arguments.data(), environ) !=
        0) {
        std::cerr << "teaselcross_soak: cannot start " << m_options.program << "\n";
        std::exit(2);
    }
    posix_spawn_file_actions_destroy(&actions);
}

auto soak::end(process& ended) -> void {
    if (ended.pid > 0) {
        m_processor_limit.remove(ended.pid);
        ::kill(ended.pid, SIGCONT);
        ::kill(ended.pid, SIGKILL);
        ::waitpid(ended.pid, nullptr, 0);
        ended.pid = 0;
    }
}

/// Objects of another writer, which stay for the whole soak and name nothing to use.
auto soak::put_foreign_entries() -> void {
    for (const auto* kind : {platform::kinds::targets, platform::kinds::routes, platform::kinds::evacuations,
                             platform::kinds::instances, platform::kinds::key_maps}) {
        for (const auto& name : foreign_names(foreign_prefix)) {
            m_store.put(kind, name, {{"foreign", true}});
        }
    }
}

/// Targets that live write their entries; those of dead ones lapse.
auto soak::heartbeats() -> asio::awaitable<void> {
    auto silent_since = std::map<std::string, instant>{};
    while (m_playing) {
        for (const auto& each : m_targets.all()) {
            const auto& id = each->options().id;
            if (each->up() && !each->is_suspended() && !each->is_cut_off()) {
                silent_since.erase(id);
                if (m_store.faults().mode == store_mode::up) {
                    each->announce();
                }
            } else if (monotonic_now() - silent_since.emplace(id, monotonic_now()).first->second > lapse) {
                m_store.remove(platform::kinds::targets, id);
            }
        }
        co_await pause(heartbeat);
    }
}

/// The same kind of fault once or several times in a row.
auto soak::series(int kind) -> asio::awaitable<void> {
    const auto times = 1 + m_random() % 3;
    for (std::uint64_t count = 0; count < times && m_playing; ++count) {
        co_await one_fault(kind);
        co_await pause(seconds(0.1, 1));
    }
}

auto soak::play() -> asio::awaitable<void> {
    co_await pause(start_up);
    tell("faults begin");
    const auto until = monotonic_now() +
                       std::chrono::duration_cast<duration>(std::chrono::duration<double>(m_options.seconds));
    spawn(m_context, watch_owners());
    if (is_short_of_room()) {
        co_await play_short_of_room(until);
    } else {
        co_await play_faults(until);
    }
    co_await finish();
}

auto soak::play_faults(instant until) -> asio::awaitable<void> {
    constexpr auto kinds = 10U;
    spawn(m_context, restores(until));
    spawn(m_context, suspensions(until));
    spawn(m_context, late_reading(until));
    spawn(m_context, cuts(until));
    spawn(m_context, late_orders(until));
    while (monotonic_now() < until) {
        spawn(m_context, series(static_cast<int>(m_random() % kinds)));
        co_await pause(seconds(0.4, 3));
    }
}

auto soak::finish() -> asio::awaitable<void> {
    m_playing = false;
    while (m_faults_now > 0) {
        co_await pause(std::chrono::milliseconds{50});
    }
    tell("faults are over; all instances are restarted");
    m_playing = true;
    spawn(m_context, heartbeats());
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        spawn(m_context, kill_instance(index));
    }
    co_await pause(longest_restart);
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        if (m_processes[index].pid == 0) {
            launch(index);
        }
    }
    co_await pause(recovery_bound);
    static_cast<void>(m_callers->take_sample());
    co_await pause(std::chrono::seconds{2});
    const auto sample = m_callers->take_sample();
    if (static_cast<double>(sample.served) < recovered_share * static_cast<double>(sample.sent) ||
        sample.sent == 0) {
        report_broken(m_seen, "recovery",
                      std::to_string(sample.served) + " of " + std::to_string(sample.sent) + " served");
    }
    m_callers->stop();
    while (m_callers->in_flight() > 0) {
        co_await pause(std::chrono::milliseconds{50});
    }
    co_await pause(std::chrono::seconds{1}); // What a refusal denies may still run.
    m_context.stop();
}

auto soak::run() -> int {
    m_store.start();
    put_foreign_entries();
    for (std::size_t index = 0; index < m_target_links.size(); ++index) {
        m_target_links[index]->start();
        m_targets.all()[index]->start();
    }
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        m_processes[index].store_link->start();
        launch(index);
    }
    write_config();
    m_signals.async_wait([this](const boost::system::error_code& error, int) {
        if (!error) { // The processes that were started end with the soak.
            report_broken(m_seen, "a seed is played to its end", "a signal came");
            m_context.stop();
        }
    });
    m_callers->start();
    spawn(m_context, heartbeats());
    spawn(m_context, play());
    m_context.run();
    for (const auto& each : m_processes) {
        check_log(each.log_file, m_seen);
    }
    if (m_store.malformed_calls() > 0) {
        report_broken(m_seen, "calls to the store are well formed",
                      std::to_string(m_store.malformed_calls()) + " were refused");
    }
    std::cout << "seed " << m_options.seed << ": " << m_seen.broken << " promises broken;";
    for (const auto& [name, count] : m_seen.counts) {
        std::cout << " " << name << ": " << count << ";";
    }
    std::cout << " store calls: " << m_store.calls() << "; eras: " << m_store.era() << "\n";
    return m_seen.broken == 0 ? 0 : 1;
}

auto spawn(asio::io_context& context, asio::awaitable<void> work) -> void {
    asio::co_spawn(context, std::move(work), [](const std::exception_ptr& fault) {
        if (fault) {
            std::rethrow_exception(fault);
        }
    });
}

auto is_in_touch(const journal& seen, const std::string& request, instant now) -> bool {
    const auto taken = seen.taken_by.find(request);
    return taken != seen.taken_by.end() && now >= seen.in_touch_from[taken->second];
}

auto tell(const std::string& what) -> void {
    const auto at = std::chrono::duration<double>(monotonic_now() - began()).count();
    std::printf("%8.3f %s\n", at, what.c_str());
    std::fflush(stdout);
}

auto report_broken(journal& seen, const std::string& promise, const std::string& what) -> void {
    ++seen.broken;
    tell("BROKEN " + promise + ": " + what);
}

} // namespace teaselcross::soak
