#include "callers.h"

#include "accounts.h"
#include "platform/names.h"
#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace teaselcross::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace names = platform::names;

namespace {

constexpr auto largest_answer = std::size_t{1} << 20U;
constexpr auto readiness_interval = duration{std::chrono::seconds{1}};
constexpr auto most_keys = 65536U;
constexpr auto keyed_share = 5U; ///< Of ten requests.
constexpr auto at_most_once_share = 3U;
constexpr auto probe_interval = duration{std::chrono::milliseconds{150}};
/// Time after which a configuration is in force, by the platform's rules.
constexpr auto config_bound = duration{std::chrono::seconds{2}};
constexpr auto config_slack = duration{std::chrono::milliseconds{300}};
/// A request that is sent so long after an effect of a configuration was seen finds no older one.
constexpr auto revert_bound = duration{std::chrono::milliseconds{250}};

auto pause(asio::io_context& context, duration period) -> asio::awaitable<void> {
    auto timer = asio::steady_timer{context, period};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto promises_not_run(unsigned status) -> bool {
    return status == 503 || status == 429 || status == 408 || status == 421;
}

/// The latest version that must be in force by now and its time, or the latest of all if there is none.
auto latest_due_version(const journal& seen, instant now) -> std::pair<std::uint64_t, instant> {
    for (auto each = seen.config_times.rbegin(); each != seen.config_times.rend(); ++each) {
        if (now > each->second + config_bound + config_slack) {
            return *each;
        }
    }
    return {seen.config_version, seen.config_written_at};
}

} // namespace

callers::callers(asio::io_context& context, std::vector<front>& fronts, journal& seen, caller_options options,
                 std::uint64_t seed)
    : m_context{context}, m_fronts{fronts}, m_seen{seen}, m_options{options}, m_random{seed},
      m_pool{context.get_executor(), {.connect_timeout = std::chrono::seconds{1}}},
      m_readiness_pool{context.get_executor(), {.connect_timeout = std::chrono::milliseconds{300}}},
      m_run{seed} {}

auto callers::start() -> void {
    asio::co_spawn(m_context, arrive(), asio::detached);
    for (auto& each : m_fronts) {
        asio::co_spawn(m_context, ask_readiness(each), asio::detached);
    }
    for (std::size_t index = 0; index < m_fronts.size(); ++index) {
        asio::co_spawn(m_context, probe_config(index), asio::detached);
    }
}

auto callers::ask_readiness(front& asked) -> asio::awaitable<void> {
    auto misses = 0;
    while (!m_stopping) {
        auto request = http_request{http::verb::get, names::readiness_path, 11};
        request.set(http::field::host, asked.readiness.host);
        auto peer = asked.readiness;
        const auto answer = co_await perform_exchange(m_readiness_pool, std::move(peer), std::move(request),
                                                      readiness_interval / 2, largest_answer);
        const auto ready = answer && answer->result() == http::status::ok;
        misses = ready ? 0 : misses + 1;
        asked.in_rotation = ready || (asked.in_rotation && misses < 2);
        co_await pause(m_context, readiness_interval);
    }
}

auto callers::arrive() -> asio::awaitable<void> {
    while (!m_stopping) {
        const auto wait = std::exponential_distribution<double>{m_options.rate}(m_random);
        co_await pause(m_context, std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait)));
        auto ready = std::vector<std::size_t>{};
        for (std::size_t index = 0; index < m_fronts.size(); ++index) {
            if (m_fronts[index].in_rotation) {
                ready.push_back(index);
            }
        }
        if (!ready.empty()) {
            asio::co_spawn(m_context, send(ready[m_random() % ready.size()]), asio::detached);
        }
    }
}

auto callers::send(std::size_t instance) -> asio::awaitable<void> {
    auto& to = m_fronts[instance];
    const auto id = std::to_string(m_run) + "-" + std::to_string(++m_sent);
    m_seen.taken_by[id] = instance;
    const auto drawn = m_random() % 10;
    const auto keyed = drawn < keyed_share;
    const auto once = !keyed && drawn < keyed_share + at_most_once_share;
    const auto* path = keyed ? "/keyed/x" : (once ? "/once/x" : "/bulk/x");
    auto request = http_request{once ? http::verb::post : http::verb::get, path, 11};
    request.set(http::field::host, "soak.example");
    request.set(names::attempt_id, id);
    request.set(
        names::time_left_ms,
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_options.patience).count()));
    if (keyed) {
        request.set(names::shard_key, std::to_string(m_random() % most_keys));
    }
    if (m_options.has_accounts) {
        add_credential(request, id, m_seen, m_random);
    }
    request.prepare_payload();
    ++m_in_flight;
    ++m_sample.sent;
    auto peer = to.address;
    const auto answer = co_await perform_exchange(m_pool, std::move(peer), std::move(request),
                                                  m_options.patience, largest_answer);
    --m_in_flight;
    if (answer) {
        judge(to, id, *answer);
        co_return;
    }
    const auto sent = answer.error() == exchange_error::lost;
    ++m_seen.counts[sent ? "closed or silent" : "not sent"];
    const auto ran = m_seen.runs.contains(id);
    if (sent && ran && to.stopping_since) {
        report_broken(m_seen, "a planned stop cuts nothing", id + " at " + to.address.host);
    }
}

auto callers::probe_config(std::size_t instance) -> asio::awaitable<void> {
    auto known_life = std::uint64_t{0}; // Of the process that has served a version's route.
    auto known_version = std::uint64_t{0};
    auto known_since = instant{};
    auto reported = std::pair{known_life, known_version}; // Once for each process and version.
    while (!m_stopping) {
        co_await pause(m_context, probe_interval);
        const auto latest = std::pair{m_seen.config_version, m_seen.config_written_at};
        const auto [version, written_at] =
            m_options.has_quick_changes ? latest_due_version(m_seen, monotonic_now()) : latest;
        const auto life = m_seen.lives[instance];
        const auto sent_at = monotonic_now();
        if (!m_fronts[instance].in_rotation || version == 0 || reported == std::pair{life, version}) {
            continue;
        }
        const auto id = std::to_string(m_run) + "-" + std::to_string(++m_sent);
        m_seen.taken_by[id] = instance;
        auto request = http_request{http::verb::get, path_of_version(version) + "x", 11};
        request.set(http::field::host, "soak.example");
        request.set(names::attempt_id, id);
        request.set(names::time_left_ms, "1000");
        ++m_in_flight;
        auto peer = m_fronts[instance].address;
        const auto answer = co_await perform_exchange(m_pool, std::move(peer), std::move(request),
                                                      m_options.patience, largest_answer);
        --m_in_flight;
        if (!answer || m_seen.lives[instance] != life) {
            continue;
        }
        ++m_seen.counts["probe " + std::to_string(answer->result_int())];
        const auto what = "version " + std::to_string(version) + " at " + m_fronts[instance].address.host;
        if (http::to_status_class(answer->result()) == http::status_class::successful) {
            if (known_life != life || known_version != version) {
                known_since = monotonic_now();
            }
            known_life = life;
            known_version = version;
        } else if (answer->result() != http::status::not_found) {
            continue; // Says nothing of the configuration.
        } else if (known_life == life && known_version == version && sent_at > known_since + revert_bound) {
            report_broken(m_seen, "a configuration never reverts", what);
            reported = {life, version};
        } else if (sent_at > written_at + config_bound + config_slack && is_in_touch(m_seen, id, sent_at)) {
            report_broken(m_seen, "a configuration is in force in time", what);
            reported = {life, version};
        }
    }
}

auto callers::judge(const front& to, const std::string& id, const http_response& answer) -> void {
    const auto status = answer.result_int();
    ++m_seen.counts[std::to_string(status)];
    judge_account(id, status, m_seen);
    if (answer[names::attempt_id] != id && answer.count(names::attempt_id) > 0) {
        report_broken(m_seen, "one's own answer", id + " got another's from " + to.address.host);
    }
    if (http::to_status_class(answer.result()) == http::status_class::successful) {
        ++m_sample.served;
        if (answer[names::signature] != "soak-" + id || answer.body() != "answer to " + id + "\n") {
            report_broken(m_seen, "whole answers", id + " from " + to.address.host);
        }
    } else if (promises_not_run(status)) {
        m_seen.said_not_run.insert(id);
        if (m_seen.runs.contains(id)) {
            report_broken(m_seen, "not run is true",
                          id + " was answered " + std::to_string(status) + " by " + to.address.host +
                              " and has run");
        }
    } else if (status == 404 || status == 400) {
        report_broken(m_seen, "proper requests are not denied", id + " got " + std::to_string(status));
    }
}

} // namespace teaselcross::soak
