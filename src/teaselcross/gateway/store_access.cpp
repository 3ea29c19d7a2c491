#include "gateway/store_access.h"

#include "logging/log.h"
#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace teaselcross {

namespace {

/// The store normally answers in about 4 ms.
constexpr auto call_timeout = duration{std::chrono::milliseconds{700}};
/// Delay between direct calls while the store does not answer this instance.
constexpr auto direct_retry_delay = duration{std::chrono::milliseconds{400}};
/// A hanging watch gives no sign of a failure, so a cheap periodic read checks whether the store still
/// answers.
constexpr auto probe_interval = duration{std::chrono::milliseconds{600}};
/// An instance that does not follow the store itself probes once in this many intervals until it answers.
constexpr auto unhealthy_probe_rounds = 4U;
constexpr auto retry_delay = duration{std::chrono::milliseconds{120}};
/// How long an answer of the store to any instance shows that there is no outage. Entries do not expire
/// within twice this time after their last renewal.
constexpr auto answer_validity = duration{std::chrono::milliseconds{1500}};
/// Instances tried in turn to relay one read; if the store refuses a third of them, one read in 27 fails.
constexpr auto max_relay_tries = 3U;
/// How long an instance that failed to relay a read is avoided.
constexpr auto relay_avoid_time = duration{std::chrono::milliseconds{1500}};

} // namespace

auto sleep_for(duration delay) -> boost::asio::awaitable<void> {
    auto timer = boost::asio::steady_timer{co_await boost::asio::this_coro::executor, delay};
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

store_access::store_access(const gateway_settings& settings, const cluster_state& cluster,
                           boost::asio::any_io_executor executor, const store_protocol& dialect)
    : m_settings{settings}, m_cluster{cluster}, m_dialect{dialect},
      m_pool{executor, {.connect_timeout = call_timeout, .user_timeout = call_timeout, .idle_per_peer = 8}} {}

auto store_access::record_outcome(const store_reply& reply, store_call_kind kind) -> void {
    const auto now = monotonic_now();
    const auto answered = reply.status != store_status::unavailable && reply.status != store_status::unknown;
    if (answered) {
        m_last_answer = now;
        m_try_directly_from = {};
        if (!m_healthy) {
            m_healthy = true;
            log::info("store_regained", {{"call", name_in(store_call_kind_names, kind)}});
        }
        return;
    }
    m_try_directly_from = now + direct_retry_delay;
    if (m_healthy || m_last_answer == instant{}) {
        if (m_healthy) {
            log::warning("store_lost", {{"call", name_in(store_call_kind_names, kind)},
                                        {"status", name_in(store_status_names, reply.status)},
                                        {"last_answer_ms", (now - m_last_answer).count() / 1000}});
        }
        m_healthy = false;
    }
}

auto store_access::record_reachable(bool reachable) -> void {
    // The store may refuse this instance and those that were asked, and serve others.
    const auto answers_others = monotonic_now() - m_last_known_answer < answer_validity;
    if (reachable == m_reachable || (!reachable && answers_others)) {
        return;
    }
    m_reachable = reachable;
    if (reachable) {
        m_reachable_since = monotonic_now();
    } else {
        ++m_outage_count;
    }
    log::info(reachable ? "store_reachable" : "store_unreachable", {{"outages", m_outage_count}});
}

/// Notes the era of @a reply, and makes the reply say so when it is of an earlier era or its condition was.
auto store_access::check_era(const store_call& call, store_reply& reply) -> void {
    const auto is_answer = reply.status != store_status::unavailable && reply.status != store_status::unknown;
    if (reply.era > m_era) {
        if (m_first_era == 0) {
            m_first_era = reply.era;
        } else {
            log::warning("store_restored", {{"era", reply.era}, {"before", m_era}});
            ++m_outage_count;
            m_reachable_since = monotonic_now();
        }
        m_era = reply.era;
    }
    if (!is_answer) {
        return;
    }
    const auto is_conditional = call.expected_version.era != 0 && is_write(call.kind);
    if (is_conditional && call.expected_version.era != m_era) {
        reply.status = store_status::restored;
    } else if (reply.era < m_era) {
        reply.status = is_write(call.kind) ? store_status::unknown : store_status::unavailable;
    }
}

auto store_access::call_directly(store_call call) -> boost::asio::awaitable<store_reply> {
    auto reply = co_await perform_store_call(m_pool, m_settings.store, m_dialect, call, call_timeout);
    record_outcome(reply, call.kind);
    check_era(call, reply);
    co_return reply;
}

auto store_access::read(store_call call) -> boost::asio::awaitable<store_reply> {
    if (monotonic_now() >= m_try_directly_from) {
        auto reply = co_await call_directly(call);
        if (reply.status != store_status::unavailable) {
            record_reachable(true);
            co_return reply;
        }
    }
    for (auto tries = 0U; tries < max_relay_tries; ++tries) {
        const auto relay = choose_relay();
        if (!relay) {
            break;
        }
        auto peer = *relay;
        auto reply = co_await perform_store_call(m_pool, std::move(peer), m_dialect, call, call_timeout);
        check_era(call, reply);
        if (reply.status != store_status::unavailable) {
            record_reachable(true);
            co_return reply;
        }
        m_avoided_relays[*relay] = monotonic_now() + relay_avoid_time;
    }
    record_reachable(false);
    co_return store_reply{};
}

/// Picks an instance to relay a read at random, preferring those that have not failed recently.
auto store_access::choose_relay() -> std::optional<endpoint> {
    const auto now = monotonic_now();
    std::erase_if(m_avoided_relays, [now](const auto& entry) { return now >= entry.second; });
    auto others = std::vector<endpoint>{};
    auto avoided = std::vector<endpoint>{};
    for (const auto& each : m_cluster.instances()) {
        if (each.name != m_settings.instance) {
            (m_avoided_relays.contains(each.internal) ? avoided : others).push_back(each.internal);
        }
    }
    const auto& choices = others.empty() ? avoided : others;
    return choices.empty() ? std::nullopt : std::optional{choices[m_random() % choices.size()]};
}

auto store_access::write(store_call call, const std::function<bool(const std::string&)>& is_own_value,
                         duration timeout) -> boost::asio::awaitable<store_reply> {
    const auto until = monotonic_now() + timeout;
    auto uncertain = false;
    while (true) {
        auto reply = co_await call_directly(call);
        if (reply.status == store_status::conflict) {
            // The conflict may be caused by an earlier attempt of this same write.
            auto get = store_call{.kind = store_call_kind::get, .key = call.key};
            auto read_back = co_await call_directly(std::move(get));
            if (read_back.era != reply.era) {
                reply.status = store_status::restored;
            } else if (read_back.status == store_status::ok &&
                       is_own_value(read_back.objects.front().value)) {
                co_return read_back;
            }
        }
        uncertain = uncertain || reply.status == store_status::unknown;
        const auto decided =
            reply.status != store_status::unknown && reply.status != store_status::unavailable;
        if (decided || monotonic_now() >= until) {
            if (!decided && uncertain) {
                reply.status = store_status::unknown; // An earlier attempt may still take effect.
            }
            co_return reply;
        }
        co_await sleep_for(retry_delay);
    }
}

auto store_access::outage_grace() const -> duration {
    const auto now = monotonic_now();
    const auto relayed = std::max(m_relayed_grace_end - now, duration::zero());
    if (m_outage_count == 0) {
        return relayed;
    }
    const auto own =
        m_reachable ? m_reachable_since + m_settings.outage_grace - now : m_settings.outage_grace;
    return std::max(own, relayed);
}

auto store_access::note_answer(instant as_of) -> void {
    m_last_known_answer = std::max(m_last_known_answer, as_of);
}

auto store_access::note_relayed_outage(duration grace) -> void {
    m_relayed_grace_end = std::max(m_relayed_grace_end, monotonic_now() + grace);
}

auto probe_store(store_access& store, std::string key, std::function<bool()> reads_directly)
    -> boost::asio::awaitable<void> {
    auto idle_rounds = 0U;
    while (true) {
        co_await sleep_for(probe_interval);
        const auto is_due = !store.is_healthy() && ++idle_rounds % unhealthy_probe_rounds == 0;
        if (!reads_directly() && !is_due) {
            continue; // It learns of an outage from the instance through which it reads.
        }
        auto call = store_call{.kind = store_call_kind::get, .key = key, .allow_stale = true};
        static_cast<void>(co_await store.read(std::move(call)));
    }
}

} // namespace teaselcross
