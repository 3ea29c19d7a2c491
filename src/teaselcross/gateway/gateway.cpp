#include "gateway/gateway.h"

#include "gateway/cluster_state_feed.h"
#include "gateway/copy_exchange.h"
#include "gateway/copy_refresh.h"
#include "gateway/graceful_stop.h"
#include "gateway/instance_gauges.h"
#include "gateway/loop_watch.h"
#include "gateway/peers.h"
#include "gateway/quota_access.h"
#include "gateway/settings_file.h"
#include "gateway/store_follower.h"
#include "gateway/task.h"
#include "logging/log.h"
#include "platform/messages.h"
#include "platform/settings.h"
#include "platform/store.h"
#include "runtime/clock.h"
#include "runtime/event_loop.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <iostream>
#include <limits>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto housekeeping_interval = duration{std::chrono::milliseconds{100}};
/// The file may also change without a signal.
constexpr auto settings_interval = duration{std::chrono::seconds{2}};
/// Requests for keys in transfer wait for the new key map, so its delay is short; other changes have two
/// seconds to take effect everywhere.
constexpr auto key_map_batch_delay = duration{std::chrono::milliseconds{20}};
constexpr auto entry_batch_delay = duration{std::chrono::milliseconds{200}};
/// Interval of refreshes of the list of instances while it is unconfirmed.
constexpr auto instance_refresh_interval = duration{std::chrono::seconds{8}};
/// A rolling restart of the fleet changes the list of instances many times; nothing depends on it at once.
constexpr auto instance_batch_delay = duration{std::chrono::seconds{1}};
/// Interval of the checks whether a restore of the store has lost this instance's record.
constexpr auto registration_check_interval = duration{std::chrono::seconds{1}};
constexpr auto internal_body_limit = 4U * 1024 * 1024;
/// Fraction of the memory that answers may use until they are sent. Beyond it they are streamed, so that the
/// only loss is that of a retry.
constexpr auto answer_memory_fraction = 0.125;
/// The same for the bodies of callers' requests, which are refused beyond it.
constexpr auto request_memory_fraction = 0.375;
/// The same for what was written to clients and has not arrived: of answers on the port for callers, and on
/// each of the other ports.
constexpr auto undelivered_fraction = 0.25;
constexpr auto internal_undelivered_fraction = 0.125;
/// Suggested retry delay for a request for which there was no memory.
constexpr auto memory_retry_after = duration{std::chrono::seconds{1}};

auto fraction_of(std::size_t bytes, double fraction) -> std::size_t {
    return static_cast<std::size_t>(static_cast<double>(bytes) * fraction);
}

/// An instance with all its components.
class gateway {
public:
    gateway(gateway_settings settings, std::string settings_file);

    /// Opens the ports. Throws boost::system::system_error when an address is in use.
    auto start() -> void;
    auto run() -> void { run_event_loop(m_context); }

private:
    auto executor() -> asio::any_io_executor { return m_context.get_executor(); }
    auto spawn(std::string name, task_factory start) -> void {
        asio::co_spawn(m_context, run_task(std::move(name), std::move(start)), asio::detached);
    }
    auto make_server(const endpoint& address, request_handler handler, memory_budget* body_memory = nullptr)
        -> std::unique_ptr<http_server>;
    auto answer_readiness(responder& link, http_request request) -> asio::awaitable<bool>;
    auto is_ready() const -> bool;
    auto reads_store_directly() const -> bool;
    auto add_follower(follower_options options, follower_events events) -> void;
    auto copies() const -> copy_states;
    auto start_following() -> asio::awaitable<void>;
    auto measured(follower_events events) -> follower_events;
    auto create_followers() -> void;
    auto work_so_far() const -> loop_work;
    auto run_housekeeping() -> asio::awaitable<void>;
    auto keep_registered(store_follower& instances) -> asio::awaitable<void>;
    auto watch_signals() -> void;
    auto reload(const char* cause) -> void;
    auto stop() -> asio::awaitable<void>;

    gateway_settings m_settings;
    /// Requests in progress have a part of both until the event loop is destroyed.
    memory_budget m_answer_memory;
    memory_budget m_request_memory;
    asio::io_context m_context{1};
    std::string m_settings_file;
    std::string m_settings_text;
    std::uint64_t m_start_time_ms = static_cast<std::uint64_t>(wall_now().count());
    metrics m_measured;
    cluster_state m_cluster;
    store_access m_store;
    cluster_state_feed m_feed;
    request_router m_router;
    gateway_controller m_controller;
    load_sharing m_sharing;
    quota_service m_quota_service;
    connection_pool m_quota_pool;
    quota_client m_quotas;
    peer_service m_peers;
    std::unique_ptr<http_server> m_callers;
    std::unique_ptr<http_server> m_readiness;
    std::unique_ptr<http_server> m_internal;
    asio::signal_set m_signals;
    std::vector<std::unique_ptr<store_follower>> m_followers;
    copy_exchange m_exchange{m_settings, m_cluster, m_followers, executor()};
    copy_refresh m_refresh{m_settings, m_cluster, m_controller, m_exchange};
    loop_watch m_loop_watch;
    bool m_stopping = false;
    bool m_was_ready = false;
};

gateway::gateway(gateway_settings settings, std::string settings_file)
    : m_settings{std::move(settings)}, m_answer_memory{fraction_of(m_settings.memory_limit,
                                                                   answer_memory_fraction)},
      m_request_memory{fraction_of(m_settings.memory_limit, request_memory_fraction)},
      m_settings_file{std::move(settings_file)}, m_cluster{m_settings, executor()},
      m_store{m_settings, m_cluster, executor(), platform::platform_dialect},
      m_feed{m_settings, m_cluster, m_store}, m_router{m_settings, m_cluster, m_measured, m_answer_memory,
                                                       executor()},
      m_controller{m_settings, m_cluster, m_store, m_router, m_measured, executor(), m_start_time_ms},
      m_sharing{m_settings, m_cluster, m_measured, executor()},
      m_quota_service{m_settings, m_cluster, m_controller}, m_quota_pool{executor(), quota_pool_options},
      m_quotas{m_settings, m_cluster, make_quota_controller(m_controller, m_quota_service, m_quota_pool),
               m_start_time_ms, executor()},
      m_peers{m_settings, m_store, m_controller, m_quota_service, m_sharing, m_measured}, m_signals{m_context,
                                                                                                    SIGTERM,
                                                                                                    SIGINT,
                                                                                                    SIGHUP} {
    m_settings_text = read_file(m_settings_file).value_or(std::string{});
}

auto gateway::make_server(const endpoint& address, request_handler handler, memory_budget* body_memory)
    -> std::unique_ptr<http_server> {
    auto options = server_options{.host = address.host,
                                  .port = address.port,
                                  .body_limit = internal_body_limit,
                                  .body_memory = body_memory,
                                  .sets_outcome_header = false};
    const auto is_for_callers = body_memory != nullptr;
    options.undelivered_limit = fraction_of(
        m_settings.memory_limit, is_for_callers ? undelivered_fraction : internal_undelivered_fraction);
    options.make_busy_answer = [this](const auto& refused) {
        m_measured.count(counter::refused_not_run);
        const auto caller = platform::read_caller_request(http_request{refused});
        return platform::make_refusal(http::status::service_unavailable, caller.attempt_id,
                                      memory_retry_after);
    };
    return std::make_unique<http_server>(executor(), options, std::move(handler));
}

auto gateway::start() -> void {
    m_callers = make_server(
        m_settings.callers,
        [this](auto& link, auto request) { return m_router.handle(link, std::move(request)); },
        &m_request_memory);
    m_readiness = make_server(m_settings.readiness, [this](auto& link, auto request) {
        return answer_readiness(link, std::move(request));
    });
    const auto internal = endpoint{.host = m_settings.callers.host, .port = m_settings.first_internal_port};
    m_internal = make_server(
        internal, [this](auto& link, auto request) { return m_peers.handle(link, std::move(request)); });
    m_callers->start();
    m_readiness->start();
    m_internal->start();
    watch_signals();
    m_feed.set_limits_listener([this](const caller_limits& limits) {
        constexpr auto largest_limit = std::uint64_t{std::numeric_limits<std::uint32_t>::max()};
        m_callers->set_limits(
            {.header_limit = limits.header_bytes,
             .body_limit = static_cast<std::uint32_t>(std::min(limits.body_bytes, largest_limit)),
             .idle_limit = limits.idle_timeout,
             .request_limit = limits.header_timeout});
    });
    m_router.set_quotas(m_quotas);
    spawn("quotas", [this] { return m_quotas.run(); });
    m_controller.set_copy_source([this] { return copies(); });
    m_measured.set_gauge_source([this] {
        return instance_gauges(copies(), {.answer_memory = m_answer_memory,
                                          .request_memory = m_request_memory,
                                          .router = m_router,
                                          .own_controller = m_controller,
                                          .quotas = m_quotas,
                                          .quota_ledger = m_quota_service,
                                          .sharing = m_sharing});
    });
    create_followers();
    spawn("store_probe", [this] {
        return probe_store(m_store, platform::kinds::routes_object,
                           [this] { return reads_store_directly(); });
    });
    spawn("controller", [this] { return m_controller.run(); });
    m_router.set_load_sharing(m_sharing);
    spawn("load_sharing", [this] { return m_sharing.run(); });
    spawn("housekeeping", [this] { return run_housekeeping(); });
}

auto gateway::is_ready() const -> bool {
    return !m_stopping && can_route(m_cluster);
}

auto gateway::answer_readiness(responder& link, http_request request) -> asio::awaitable<bool> {
    const auto is_check = platform::is_readiness_check(request);
    const auto ready = is_ready();
    if (ready != m_was_ready) {
        log::info("readiness", {{"ready", ready}, {"stopping", m_stopping}});
        m_was_ready = ready;
    }
    auto status = ready ? http::status::ok : http::status::service_unavailable;
    auto answer = http_response{is_check ? status : http::status::not_found, 11};
    answer.prepare_payload();
    co_return co_await write_answer(link, std::move(answer));
}

/// Whether this instance follows the store itself or controls, so that it has to notice an outage early.
auto gateway::reads_store_directly() const -> bool {
    return m_controller.is_controller() || m_followers.empty() || m_followers.front()->is_direct() ||
           !m_followers.front()->listed();
}

auto gateway::add_follower(follower_options options, follower_events events) -> void {
    m_followers.push_back(std::make_unique<store_follower>(m_store, m_cluster, m_settings, executor(),
                                                           std::move(options), std::move(events)));
}

/// Starts following once the other instances are known, so that only relays read from the store.
auto gateway::start_following() -> asio::awaitable<void> {
    co_await register_and_list_instances(m_settings, m_cluster, m_store, m_start_time_ms);
    for (const auto& each : m_followers) {
        if (each->kind() == platform::kinds::instances) {
            spawn("registration", [this, &instances = *each] { return keep_registered(instances); });
        }
        spawn("follow_" + each->kind(), [&follower = *each] { return follower.run(); });
        spawn("refresh_" + each->kind(), [this, &copy = *each] { return m_refresh.run(copy); });
    }
    spawn("copy_exchange", [this] { return m_exchange.run(); });
}

auto gateway::copies() const -> copy_states {
    auto states = copy_states{};
    for (const auto& each : m_followers) {
        if (each->listed()) {
            states[each->kind()] = each->state();
        }
    }
    return states;
}

/// Lets the delays of changes be measured that have to take effect everywhere in time.
auto gateway::measured(follower_events events) -> follower_events {
    events.measured = [this](const store_object&, duration delay) {
        m_measured.time(timing::change_delay, delay);
    };
    return events;
}

auto gateway::create_followers() -> void {
    add_follower({.kind = platform::kinds::targets, .batch_delay = entry_batch_delay},
                 measured(m_feed.target_events()));
    add_follower({.kind = platform::kinds::routes,
                  .batch_delay = entry_batch_delay,
                  .logs_changes = true,
                  .difference = routes_difference},
                 measured(m_feed.route_events()));
    m_router.set_config_age([&routes = *m_followers.back()] { return routes.state().age; });
    add_follower(
        {.kind = platform::kinds::evacuations, .batch_delay = entry_batch_delay, .logs_changes = true},
        measured(m_feed.out_of_service_events()));
    add_follower({.kind = platform::kinds::instances,
                  .batch_delay = instance_batch_delay,
                  .refresh_interval = instance_refresh_interval},
                 m_feed.instance_events());
    add_follower({.kind = platform::kinds::key_maps,
                  .batch_delay = key_map_batch_delay,
                  .difference = key_map_difference,
                  .writer = [this] { return m_controller.key_map_writer(); }},
                 m_feed.key_map_events());
    m_controller.set_write_listener(
        [&key_maps = *m_followers.back()](const auto& object, instant written_at) {
            key_maps.apply_own_write(object, written_at);
        });
    for (const auto& each : m_followers) {
        m_peers.add_follower(*each);
    }
    m_peers.set_copy_exchange(m_exchange);
    spawn("start", [this] { return start_following(); });
}

/// Writes this instance's record again when a restore of the store has lost it.
auto gateway::keep_registered(store_follower& instances) -> asio::awaitable<void> {
    const auto key = std::string{platform::kinds::instances} + "/" + m_settings.instance;
    auto registered_in = m_store.era();
    while (true) {
        co_await sleep_for(registration_check_interval);
        const auto era = instances.state().complete_to.era;
        if (era <= registered_in) {
            continue;
        }
        if (!instances.is_live(key)) {
            log::info("instance_record_lost", {{"era", era}, {"before", registered_in}});
            co_await register_self(m_settings, m_store, m_start_time_ms);
        }
        registered_in = era;
    }
}

auto gateway::work_so_far() const -> loop_work {
    auto work = loop_work{.requests = m_measured.value(counter::requests),
                          .orders = m_measured.value(counter::grants_made) +
                                    m_measured.value(counter::grants_unanswered),
                          .orders_not_sent = m_measured.value(counter::orders_not_sent)};
    for (const auto& each : m_followers) {
        work.copied_bytes += each->copied_bytes();
    }
    return work;
}

auto gateway::run_housekeeping() -> asio::awaitable<void> {
    auto next_settings = monotonic_now() + settings_interval;
    while (true) {
        const auto due = monotonic_now() + housekeeping_interval;
        co_await sleep_for(housekeeping_interval);
        const auto now = monotonic_now();
        const auto delay = std::max(now - due, duration::zero());
        m_measured.time(timing::event_loop_delay, delay);
        m_loop_watch.note(delay, work_so_far(), now);
        m_controller.note_loop_delay(delay);
        m_cluster.remove_expired(now);
        m_router.log_shortages();
        log::flush_direct();
        if (now >= next_settings) {
            next_settings = now + settings_interval;
            reload("the file has changed");
        }
    }
}

auto gateway::reload(const char* cause) -> void {
    auto text = read_file(m_settings_file);
    if (!text || *text == m_settings_text) {
        return;
    }
    const auto parsed = platform::parse_settings(*text);
    m_settings_text = std::move(*text);
    if (!parsed) {
        log::error("settings_refused",
                   {{"cause", cause}, {"faults", to_text(parsed.error(), m_settings_file)}});
        return;
    }
    // Addresses and the memory cannot change while the process runs; the other settings take effect at once.
    auto reloaded = parsed->settings;
    reloaded.instance = m_settings.instance;
    reloaded.callers = m_settings.callers;
    reloaded.memory_limit = m_settings.memory_limit;
    reloaded.readiness = m_settings.readiness;
    reloaded.first_internal_port = m_settings.first_internal_port;
    m_settings = std::move(reloaded);
    log::info("settings_reloaded", {{"cause", cause}});
    log_unused_settings(*parsed);
}

auto gateway::watch_signals() -> void {
    m_signals.async_wait([this](const boost::system::error_code& error, int signal) {
        if (error) {
            return;
        }
        watch_signals(); // First, so that a failure below does not leave later signals unnoticed.
        if (signal == SIGHUP) {
            log::info("hang_up", {});
            reload("signal");
        } else if (!m_stopping) {
            m_stopping = true;
            spawn("stop", [this] { return stop(); });
        }
    });
}

auto gateway::stop() -> asio::awaitable<void> {
    log::info("stopping", {{"busy", m_callers->busy()}, {"connections", m_callers->connections()}});
    const auto schedule = make_stop_schedule(monotonic_now(), m_settings.stop_grace);
    m_callers->close_after_next_answer();
    co_await m_controller.stop();
    co_await stop_serving(*m_callers, m_router, schedule);
    log::info("stopped", {{"busy", m_callers->busy()}, {"connections", m_callers->connections()}});
    for (auto* each : {m_callers.get(), m_readiness.get(), m_internal.get()}) {
        each->hand_over_to_system();
    }
    log::flush_direct();
    m_context.stop();
}

} // namespace

auto run_gateway(const std::string& settings_file) -> exit_code {
    const auto parsed = read_settings(settings_file);
    if (!parsed) {
        std::cerr << to_text(parsed.error(), settings_file);
        return exit_code::usage;
    }
    const auto& settings = parsed->settings;
    log::start_direct(settings.instance, "info");
    auto running = gateway{settings, settings_file};
    try {
        running.start();
    } catch (const boost::system::system_error& error) {
        std::cerr << "teaselcross: cannot listen on " << settings.callers.host << ": " << error.what()
                  << "\n";
        return exit_code::usage;
    }
    log::info("started", {{"data_centre", settings.data_centre}, {"host", settings.callers.host}});
    log_unused_settings(*parsed);
    log::flush_direct();
    running.run();
    return exit_code::ok;
}

} // namespace teaselcross
