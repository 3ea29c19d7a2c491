#include "gateway/gateway.h"

#include "gateway/knowledge_feed.h"
#include "gateway/peers.h"
#include "gateway/store_follower.h"
#include "logging/log.h"
#include "membership/knowledge_check.h"
#include "platform/messages.h"
#include "platform/settings.h"
#include "platform/store.h"
#include "runtime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto housekeeping_interval = duration{std::chrono::milliseconds{100}};
constexpr auto settings_interval =
    duration{std::chrono::seconds{2}}; ///< The file may change without a signal.
/// The balancer asks once a second and takes an instance out after two misses; callers come until then. What
/// comes later than three seconds after the signal may not be answered in time.
constexpr auto callers_leave_after = duration{std::chrono::milliseconds{2800}};
/// Before the platform kills the process, everything has ended.
constexpr auto stop_margin = duration{std::chrono::milliseconds{500}};
/// Requests for keys that move wait for the news; the rest has two seconds to take effect everywhere.
constexpr auto key_map_pause = duration{std::chrono::milliseconds{20}};
constexpr auto entry_pause = duration{std::chrono::milliseconds{200}};
/// Between two looks at whether others know the same.
constexpr auto compare_interval = duration{std::chrono::milliseconds{100}};
/// What the controller said is news for so long: two of its answers.
constexpr auto confirmation_life = duration{std::chrono::milliseconds{850}};
/// News reaches instances at different moments; a difference that lasts longer is a watch that hangs.
constexpr auto disagreement_patience = duration{std::chrono::milliseconds{300}};
/// Between two lists while nobody confirms what is known; changes must take effect within two seconds.
constexpr auto refresh_interval = duration{std::chrono::milliseconds{900}};
constexpr auto internal_body_limit = 4U * 1024 * 1024;

auto read_file(const std::string& name) -> std::optional<std::string> {
    auto file = std::ifstream{name};
    if (!file) {
        return std::nullopt;
    }
    auto text = std::ostringstream{};
    text << file.rdbuf();
    return text.str();
}

auto read_settings(const std::string& name) -> tl::expected<gateway_settings, findings> {
    const auto text = read_file(name);
    if (!text) {
        return tl::unexpected(findings{{.place = "", .message = "The file cannot be read."}});
    }
    return platform::parse_settings(*text);
}

/// All parts of an instance.
class gateway {
public:
    gateway(gateway_settings options, std::string settings_file);

    /// Opens the ports. Throws boost::system::system_error when one is taken.
    auto start() -> void;
    auto run() -> void { m_context.run(); }

private:
    auto executor() -> asio::any_io_executor { return m_context.get_executor(); }
    auto spawn(asio::awaitable<void> work) -> void {
        asio::co_spawn(m_context, std::move(work), asio::detached);
    }
    auto server_for(const endpoint& address, request_handler handler) -> std::unique_ptr<http_server>;
    auto answer_readiness(server_connection& link, http_request request) -> asio::awaitable<bool>;
    auto is_ready() const -> bool;
    auto add_follower(follower_options options, follower_events events) -> void;
    auto digests() const -> std::map<std::string, std::uint64_t>;
    auto start_following() -> asio::awaitable<void>;
    auto check_knowledge(const store_follower& kind, instant now) const -> knowledge_source;
    auto learn_again(store_follower& kind, knowledge_source source) -> asio::awaitable<bool>;
    auto compare_knowledge() -> asio::awaitable<void>;
    auto follow_all() -> void;
    auto keep_house() -> asio::awaitable<void>;
    auto watch_signals() -> void;
    auto reload(const char* cause) -> void;
    auto stop() -> asio::awaitable<void>;

    asio::io_context m_context{1};
    gateway_settings m_options;
    std::string m_settings_file;
    std::string m_settings_text;
    std::uint64_t m_birth = static_cast<std::uint64_t>(wall_now().count());
    metrics m_measured;
    knowledge m_known;
    store_access m_store;
    knowledge_feed m_feed;
    request_router m_router;
    controller m_control;
    peer_service m_peers;
    std::unique_ptr<http_server> m_callers;
    std::unique_ptr<http_server> m_readiness;
    std::unique_ptr<http_server> m_internal;
    asio::signal_set m_signals;
    std::vector<std::unique_ptr<store_follower>> m_followed;
    bool m_stopping = false;
    bool m_was_ready = false;
};

gateway::gateway(gateway_settings options, std::string settings_file)
    : m_options{std::move(options)}, m_settings_file{std::move(settings_file)},
      m_known{m_options, executor()}, m_store{m_options, m_known, executor(), platform::platform_dialect},
      m_feed{m_options, m_known, m_store}, m_router{m_options, m_known, m_measured, executor()},
      m_control{m_options, m_known, m_store, m_router, m_measured, executor(), m_birth},
      m_peers{m_options, m_store, m_control, m_measured}, m_signals{m_context, SIGTERM, SIGINT, SIGHUP} {
    m_settings_text = read_file(m_settings_file).value_or(std::string{});
}

auto gateway::server_for(const endpoint& address, request_handler handler) -> std::unique_ptr<http_server> {
    auto options = server_options{.host = address.host, .port = address.port, .sets_outcome_header = false};
    options.body_limit = internal_body_limit;
    return std::make_unique<http_server>(executor(), options, std::move(handler));
}

auto gateway::start() -> void {
    m_callers = server_for(m_options.callers, [this](auto& link, auto request) {
        return m_router.handle(link, std::move(request));
    });
    m_readiness = server_for(m_options.readiness, [this](auto& link, auto request) {
        return answer_readiness(link, std::move(request));
    });
    const auto internal = endpoint{.host = m_options.callers.host, .port = m_options.first_internal_port};
    m_internal = server_for(
        internal, [this](auto& link, auto request) { return m_peers.handle(link, std::move(request)); });
    m_callers->start();
    m_readiness->start();
    m_internal->start();
    watch_signals();
    m_feed.set_limits_listener([this](const caller_limits& limits) {
        m_callers->set_limits({.header_limit = limits.header_bytes,
                               .body_limit = static_cast<std::uint32_t>(limits.body_bytes),
                               .idle_limit = limits.idle_timeout,
                               .request_limit = limits.header_timeout});
    });
    m_control.set_digests([this] { return digests(); });
    follow_all();
    spawn(probe_store(m_store, platform::kinds::routes_object));
    spawn(m_control.run());
    spawn(keep_house());
}

auto gateway::is_ready() const -> bool {
    const auto routes = m_known.routes();
    if (m_stopping || routes->version == 0) {
        return false;
    }
    for (const auto& [service, policy] : routes->services) {
        if (policy.keyed && m_known.keys(service) == nullptr) {
            return false;
        }
    }
    return true;
}

auto gateway::answer_readiness(server_connection& link, http_request request) -> asio::awaitable<bool> {
    const auto asked = platform::is_readiness_check(request);
    const auto ready = is_ready();
    if (ready != m_was_ready) {
        log::info("readiness", {{"ready", ready}, {"stopping", m_stopping}});
        m_was_ready = ready;
    }
    auto status = ready ? http::status::ok : http::status::service_unavailable;
    auto answer = http_response{asked ? status : http::status::not_found, 11};
    answer.prepare_payload();
    co_return co_await write_answer(link, std::move(answer));
}

auto gateway::add_follower(follower_options options, follower_events events) -> void {
    m_followed.push_back(std::make_unique<store_follower>(m_store, m_known, m_options, executor(),
                                                          std::move(options), std::move(events)));
}

/// Follows once the other instances are known, so that only relays ask the store.
auto gateway::start_following() -> asio::awaitable<void> {
    co_await find_instances(m_options, m_known, m_store, m_birth);
    for (const auto& each : m_followed) {
        spawn(each->run());
    }
    spawn(keep_instances(m_known, m_store));
    spawn(compare_knowledge());
}

auto gateway::digests() const -> std::map<std::string, std::uint64_t> {
    auto known = std::map<std::string, std::uint64_t>{};
    for (const auto& each : m_followed) {
        if (each->listed()) {
            known[each->kind()] = each->digest();
        }
    }
    return known;
}

auto gateway::check_knowledge(const store_follower& kind, instant now) const -> knowledge_source {
    const auto& confirmed = m_control.confirmed();
    const auto found = confirmed.digests.find(kind.kind());
    return source_to_ask({.controls = m_control.controls(),
                          .controller_heard = now - confirmed.at < confirmation_life,
                          .agrees = found != confirmed.digests.end() && found->second == kind.digest(),
                          .learning = now - kind.last_change() < disagreement_patience,
                          .follows_relay = !kind.is_direct()});
}

/// Learns a kind anew from @a source, or from the store when that one does not answer. False when nobody did.
auto gateway::learn_again(store_follower& kind, knowledge_source source) -> asio::awaitable<bool> {
    auto asked = std::optional<endpoint>{};
    if (kind.listed() && source == knowledge_source::controller) {
        asked = m_control.holder_address();
    } else if (kind.listed() && source == knowledge_source::relay) {
        asked = kind.relay_address();
    }
    auto learnt = false;
    if (asked) {
        learnt = co_await kind.compare_with(*asked);
    }
    if (!learnt) {
        learnt = co_await kind.refresh();
    }
    log::debug("knowledge_refreshed",
               {{"kind", kind.kind()}, {"asked_peer", asked.has_value()}, {"learnt", learnt}});
    co_return learnt;
}

/// Asks anew for a kind when nobody confirms what this instance knows, or the controller knows other
/// versions.
auto gateway::compare_knowledge() -> asio::awaitable<void> {
    auto next_refresh = std::map<std::string, instant>{};
    while (true) {
        co_await pause_for(compare_interval);
        for (const auto& each : m_followed) {
            const auto now = monotonic_now();
            const auto source = check_knowledge(*each, now);
            auto& next = next_refresh[each->kind()];
            if (source == knowledge_source::nobody) {
                next = now + disagreement_patience;
            }
            if (now < next) {
                continue;
            }
            const auto learnt = co_await learn_again(*each, source);
            next = learnt ? now + refresh_interval : monotonic_now() + compare_interval;
        }
    }
}

auto gateway::follow_all() -> void {
    add_follower({.kind = platform::kinds::targets, .pause = entry_pause}, m_feed.target_events());
    add_follower({.kind = platform::kinds::routes, .pause = entry_pause}, m_feed.route_events());
    add_follower({.kind = platform::kinds::taken_out, .pause = entry_pause}, m_feed.taken_out_events());
    add_follower(
        {.kind = platform::kinds::key_maps, .pause = key_map_pause, .difference = key_map_difference},
        m_feed.key_map_events());
    for (const auto& each : m_followed) {
        m_peers.add_follower(*each);
    }
    spawn(start_following());
}

auto gateway::keep_house() -> asio::awaitable<void> {
    auto next_settings = monotonic_now() + settings_interval;
    while (true) {
        co_await pause_for(housekeeping_interval);
        const auto now = monotonic_now();
        m_known.sweep(now);
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
    // Addresses belong to the process; limits take effect at once.
    auto limits = *parsed;
    limits.instance = m_options.instance;
    limits.callers = m_options.callers;
    limits.readiness = m_options.readiness;
    limits.first_internal_port = m_options.first_internal_port;
    m_options = std::move(limits);
    log::info("settings_reloaded", {{"cause", cause}});
}

auto gateway::watch_signals() -> void {
    m_signals.async_wait([this](const boost::system::error_code& error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            log::info("hang_up", {});
            reload("signal");
        } else if (!m_stopping) {
            m_stopping = true;
            spawn(stop());
        }
        watch_signals();
    });
}

auto gateway::stop() -> asio::awaitable<void> {
    log::info("stopping", {{"busy", m_callers->busy()}, {"connections", m_callers->connections()}});
    const auto began = monotonic_now();
    m_callers->close_after_next_answer();
    co_await m_control.stop();
    const auto until = began + m_options.grace - stop_margin;
    while (monotonic_now() < began + callers_leave_after) {
        co_await pause_for(housekeeping_interval / 2);
    }
    m_callers->stop();
    while (m_callers->busy() > 0 && monotonic_now() < until) {
        co_await pause_for(housekeeping_interval / 5);
    }
    log::info("stopped", {{"busy", m_callers->busy()}});
    log::flush_direct();
    m_context.stop();
}

} // namespace

auto run_gateway(const std::string& settings_file) -> exit_code {
    const auto settings = read_settings(settings_file);
    if (!settings) {
        std::cerr << to_text(settings.error(), settings_file);
        return exit_code::usage;
    }
    log::start_direct(settings->instance, "info");
    auto running = gateway{*settings, settings_file};
    try {
        running.start();
    } catch (const boost::system::system_error& error) {
        std::cerr << "teaselcross: cannot listen on " << settings->callers.host << ": " << error.what()
                  << "\n";
        return exit_code::usage;
    }
    log::info("started", {{"data_centre", settings->data_centre}, {"host", settings->callers.host}});
    log::flush_direct();
    running.run();
    return exit_code::ok;
}

auto check_gateway_settings(const std::string& settings_file) -> exit_code {
    const auto settings = read_settings(settings_file);
    if (!settings) {
        std::cerr << to_text(settings.error(), settings_file);
        return exit_code::usage;
    }
    std::cout << "no faults\n";
    return exit_code::ok;
}

} // namespace teaselcross
