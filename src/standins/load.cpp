#include "load.h"

#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>

namespace teaselcross::lab {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

struct kinds {
    std::string lookup;
    std::string operation;
    std::string download;
};

auto kinds_of(const std::string& shape) -> kinds {
    if (shape == "finland") {
        return {.lookup = "schedule", .operation = "payments", .download = "bundles"};
    }
    return {.lookup = "history", .operation = "ledger", .download = "packs"};
}

/// Draws keys by a power law whose order changes with the hot set.
class key_source {
public:
    key_source(std::uint32_t keys, double skew) : m_cumulated(keys) {
        auto sum = 0.0;
        for (std::uint32_t rank = 0; rank < keys; ++rank) {
            sum += std::pow(rank + 1.0, -skew);
            m_cumulated[rank] = sum;
        }
    }

    auto draw(std::mt19937_64& random, std::uint64_t hot_set) const -> std::uint64_t {
        auto uniform = std::uniform_real_distribution<double>{0, m_cumulated.back()};
        const auto found = std::lower_bound(m_cumulated.begin(), m_cumulated.end(), uniform(random));
        const auto rank = static_cast<std::uint64_t>(found - m_cumulated.begin());
        constexpr auto stride = std::uint64_t{7919};
        return (rank * stride + hot_set * 104'729) % m_cumulated.size();
    }

private:
    std::vector<double> m_cumulated;
};

auto quantile(std::vector<double>& sorted, double share) -> double {
    if (sorted.empty()) {
        return 0;
    }
    return sorted[static_cast<std::size_t>(static_cast<double>(sorted.size() - 1) * share)];
}

auto tally_json(load_tally& tally) -> nlohmann::json {
    std::sort(tally.latencies_ms.begin(), tally.latencies_ms.end());
    return {{"sent", tally.sent},
            {"answered", tally.answered},
            {"not_run", tally.not_run},
            {"unknown", tally.unknown},
            {"wrong", tally.wrong},
            {"cut", tally.cut},
            {"unreachable", tally.unreachable},
            {"reasons", tally.reasons},
            {"p50_ms", quantile(tally.latencies_ms, 0.5)},
            {"p90_ms", quantile(tally.latencies_ms, 0.9)},
            {"p99_ms", quantile(tally.latencies_ms, 0.99)},
            {"p999_ms", quantile(tally.latencies_ms, 0.999)},
            {"max_ms", tally.latencies_ms.empty() ? 0.0 : tally.latencies_ms.back()},
            {"answered_by_second", tally.answered_by_second}};
}

/// One run.
class load_run {
public:
    load_run(asio::io_context& context, const load_options& options)
        : m_context{context}, m_options{options}, m_kinds{kinds_of(options.shape)}, m_random{options.seed},
          m_keys{options.keys, options.skew}, m_pool{
                                                  context.get_executor(),
                                                  {.user_timeout = options.deadline, .idle_per_peer = 512}} {}

    auto arrivals() -> asio::awaitable<void> {
        auto gaps = std::exponential_distribution<double>{m_options.rate};
        auto timer = asio::steady_timer{m_context};
        m_begin = monotonic_now();
        auto due = m_begin;
        while (due - m_begin < m_options.length) {
            const auto wait = due - monotonic_now();
            if (wait > duration{0}) {
                timer.expires_after(wait);
                co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            }
            begin_request(due);
            due += duration{static_cast<duration::rep>(gaps(m_random) * 1e6)};
        }
        while (m_open > 0) {
            timer.expires_after(std::chrono::milliseconds{20});
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        m_context.stop();
    }

    auto result() -> nlohmann::json {
        auto all = nlohmann::json::object();
        for (auto& [kind, tally] : m_tallies) {
            all[kind] = tally_json(tally);
        }
        return all;
    }

private:
    auto begin_request(instant due) -> void {
        auto uniform = std::uniform_real_distribution<double>{0, 1};
        const auto pick = uniform(m_random);
        const auto hot_set = static_cast<std::uint64_t>((due - m_begin) / m_options.hot_set_time);
        const auto number = ++m_number;
        const auto word = "word-" + std::to_string(m_run) + "-" + std::to_string(number);
        auto message = http_request{http::verb::get, "/", 11};
        message.set("X-Word", word);
        message.set("Teaselcross-Deadline-Ms",
                    std::to_string(
                        std::chrono::duration_cast<std::chrono::milliseconds>(m_options.deadline).count()));
        auto expected = word + "\n";
        auto kind = std::string{"lookup"};
        auto copies = 1;
        if (pick < m_options.lookups) {
            message.target("/" + m_kinds.lookup + "/" + std::to_string(m_keys.draw(m_random, hot_set)));
        } else if (pick < m_options.lookups + m_options.operations) {
            kind = "operation";
            message.method(http::verb::post);
            message.target("/" + m_kinds.operation);
            message.set("Idempotency-Key", "op-" + word);
            copies = uniform(m_random) < m_options.repeats ? 2 : 1;
        } else {
            kind = "download";
            message.target("/" + m_kinds.download +
                           "/quarter?bytes=" + std::to_string(m_options.download_bytes));
            expected.resize(m_options.download_bytes, 'p');
        }
        message.prepare_payload();
        const auto first = m_random() % m_options.entries.size();
        for (auto copy = 0; copy < copies; ++copy) {
            ++m_open;
            const auto entry =
                m_options.entries[(first + static_cast<std::size_t>(copy)) % m_options.entries.size()];
            asio::co_spawn(m_context, request(kind, entry, message, expected, due, true), asio::detached);
        }
    }

    /// Sends one request. An operation whose outcome is not known is sent once more, through another
    /// instance.
    auto request(std::string kind, endpoint entry, http_request message, std::string expected, instant due,
                 bool may_repeat) -> asio::awaitable<void> {
        auto& tally = m_tallies[kind];
        ++tally.sent;
        constexpr auto grace = duration{std::chrono::seconds{2}};
        constexpr auto largest = std::size_t{64} * 1024 * 1024;
        auto answer = co_await perform_exchange(m_pool, entry, message, m_options.deadline + grace, largest);
        --m_open;
        if (!answer) {
            const auto lost = answer.error() == exchange_error::lost;
            ++(lost ? tally.cut : tally.unreachable);
            repeat(kind, entry, message, expected, due, may_repeat);
            co_return;
        }
        const auto outcome = std::string{(*answer)["Teaselcross-Outcome"]};
        if (answer->result_int() == 200) {
            ++(answer->body() == expected ? tally.answered : tally.wrong);
            const auto now = monotonic_now();
            tally.latencies_ms.push_back(std::chrono::duration<double, std::milli>(now - due).count());
            const auto second = static_cast<std::size_t>((now - m_begin) / duration{std::chrono::seconds{1}});
            tally.answered_by_second.resize(std::max(tally.answered_by_second.size(), second + 1));
            ++tally.answered_by_second[second];
            co_return;
        }
        ++tally.reasons[outcome + ":" + std::string{(*answer)["Teaselcross-Reason"]}];
        if (outcome == "not-run") {
            ++tally.not_run;
        } else {
            ++tally.unknown;
            repeat(kind, entry, message, expected, due, may_repeat);
        }
    }

    auto repeat(const std::string& kind, const endpoint& failed, const http_request& message,
                const std::string& expected, instant due, bool may_repeat) -> void {
        if (kind != "operation" || !may_repeat) {
            return;
        }
        const auto entry = m_options.entries[m_random() % m_options.entries.size()];
        if (entry != failed) {
            ++m_open;
            asio::co_spawn(m_context, request(kind, entry, message, expected, due, false), asio::detached);
        }
    }

    asio::io_context& m_context;
    load_options m_options;
    kinds m_kinds;
    std::mt19937_64 m_random;
    key_source m_keys;
    connection_pool m_pool;
    std::map<std::string, load_tally> m_tallies;
    std::int64_t m_run = wall_now().count(); ///< Two runs of one seed are about different operations.
    std::uint64_t m_number = 0;
    std::size_t m_open = 0;
    instant m_begin{};
};

} // namespace

auto run_load(asio::io_context& context, const load_options& options) -> nlohmann::json {
    auto run = load_run{context, options};
    asio::co_spawn(context, run.arrivals(), asio::detached);
    context.run();
    return run.result();
}

} // namespace teaselcross::lab
