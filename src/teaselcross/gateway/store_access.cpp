#include "gateway/store_access.h"

#include "logging/log.h"
#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace teaselcross {

namespace {

constexpr auto call_timeout = duration{std::chrono::milliseconds{700}}; // The store answers in some 4 ms.
/// Between two direct tries while the store refuses this instance.
constexpr auto direct_retry = duration{std::chrono::milliseconds{400}};
/// A watch that hangs tells nothing, so a cheap read asks now and then whether the store still answers.
constexpr auto probe_interval = duration{std::chrono::milliseconds{600}};
constexpr auto retry_pause = duration{std::chrono::milliseconds{120}};
/// Instances asked in turn to pass one read on; where a third of them is refused, one in 27 reads fails.
constexpr auto relays_tried = 3U;
/// An instance that could not pass a read on is left alone for so long.
constexpr auto relay_pause = duration{std::chrono::milliseconds{1500}};

} // namespace

auto pause_for(duration pause) -> boost::asio::awaitable<void> {
    auto timer = boost::asio::steady_timer{co_await boost::asio::this_coro::executor, pause};
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

store_access::store_access(const gateway_settings& options, const knowledge& known,
                           boost::asio::any_io_executor executor, const store_protocol& dialect)
    : m_options{options}, m_known{known}, m_dialect{dialect},
      m_pool{executor, {.connect_timeout = call_timeout, .user_timeout = call_timeout, .idle_per_peer = 8}} {}

auto store_access::note(const store_reply& reply, store_call_kind kind) -> void {
    const auto now = monotonic_now();
    const auto answered = reply.status != store_status::unavailable && reply.status != store_status::unknown;
    if (answered) {
        m_last_answer = now;
        m_try_directly_from = {};
        if (!m_healthy) {
            m_healthy = true;
            m_healthy_since = now;
            log::info("store_regained", {{"call", name_in(store_call_kind_names, kind)}});
        }
        return;
    }
    m_try_directly_from = now + direct_retry;
    if (m_healthy || m_last_answer == instant{}) {
        if (m_healthy) {
            log::warning("store_lost", {{"call", name_in(store_call_kind_names, kind)},
                                        {"status", name_in(store_status_names, reply.status)},
                                        {"last_answer_ms", (now - m_last_answer).count() / 1000}});
        }
        m_outages += m_healthy ? 1 : 0;
        m_healthy = false;
    }
}

auto store_access::call_directly(store_call call) -> boost::asio::awaitable<store_reply> {
    const auto kind = call.kind;
    auto reply =
        co_await perform_store_call(m_pool, m_options.store, m_dialect, std::move(call), call_timeout);
    note(reply, kind);
    co_return reply;
}

auto store_access::read(store_call call) -> boost::asio::awaitable<store_reply> {
    if (monotonic_now() >= m_try_directly_from) {
        auto reply = co_await call_directly(call);
        if (reply.status != store_status::unavailable) {
            co_return reply;
        }
    }
    for (auto tries = 0U; tries < relays_tried; ++tries) {
        const auto relay = choose_relay();
        if (!relay) {
            break;
        }
        auto peer = *relay;
        auto reply = co_await perform_store_call(m_pool, std::move(peer), m_dialect, call, call_timeout);
        if (reply.status != store_status::unavailable) {
            co_return reply;
        }
        m_avoided[*relay] = monotonic_now() + relay_pause;
    }
    co_return store_reply{};
}

/// Another instance to read through: one that has not failed to a moment ago, if there is any.
auto store_access::choose_relay() -> std::optional<endpoint> {
    const auto now = monotonic_now();
    std::erase_if(m_avoided, [now](const auto& entry) { return now >= entry.second; });
    auto others = std::vector<endpoint>{};
    auto avoided = std::vector<endpoint>{};
    for (const auto& each : m_known.instances()) {
        if (each.name != m_options.instance) {
            (m_avoided.contains(each.internal) ? avoided : others).push_back(each.internal);
        }
    }
    const auto& choices = others.empty() ? avoided : others;
    return choices.empty() ? std::nullopt : std::optional{choices[m_random() % choices.size()]};
}

auto store_access::write(store_call call, const std::function<bool(const std::string&)>& same,
                         duration give_up) -> boost::asio::awaitable<store_reply> {
    const auto until = monotonic_now() + give_up;
    auto uncertain = false;
    while (true) {
        auto reply = co_await call_directly(call);
        if (reply.status == store_status::conflict) {
            // It may be an earlier try of this write that is in the way.
            auto get = store_call{.kind = store_call_kind::get, .key = call.key};
            auto read_back = co_await call_directly(std::move(get));
            if (read_back.status == store_status::ok && same(read_back.objects.front().value)) {
                co_return read_back;
            }
        }
        uncertain = uncertain || reply.status == store_status::unknown;
        const auto decided =
            reply.status != store_status::unknown && reply.status != store_status::unavailable;
        if (decided || monotonic_now() >= until) {
            if (!decided && uncertain) {
                reply.status = store_status::unknown; // An earlier try may still take effect.
            }
            co_return reply;
        }
        co_await pause_for(retry_pause);
    }
}

auto probe_store(store_access& store, std::string key) -> boost::asio::awaitable<void> {
    while (true) {
        co_await pause_for(probe_interval);
        auto call = store_call{.kind = store_call_kind::get, .key = key, .allow_stale = true};
        static_cast<void>(co_await store.call_directly(std::move(call)));
    }
}

} // namespace teaselcross
