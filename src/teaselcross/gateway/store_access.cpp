#include "gateway/store_access.h"

#include "core/rendezvous.h"
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
/// Each wait costs a call. A connection that went silent is noticed sooner, by its keep-alive.
constexpr auto watch_wait = duration{std::chrono::milliseconds{9000}};
/// A watch that hangs tells nothing, so a cheap read asks now and then whether the store still answers.
constexpr auto probe_interval = duration{std::chrono::milliseconds{500}};
constexpr auto retry_pause = duration{std::chrono::milliseconds{120}};

} // namespace

auto pause_for(duration pause) -> boost::asio::awaitable<void> {
    auto timer = boost::asio::steady_timer{co_await boost::asio::this_coro::executor, pause};
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

store_access::store_access(const gateway_settings& options, const knowledge& known,
                           boost::asio::any_io_executor executor, const store_dialect& dialect)
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
    auto reply = co_await perform_store_call(m_pool, m_options.store, m_dialect, std::move(call), call_timeout);
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
    auto others = std::vector<endpoint>{};
    for (const auto& each : m_known.instances()) {
        if (each.name != m_options.instance) {
            others.push_back(each.internal);
        }
    }
    if (others.empty()) {
        co_return store_reply{};
    }
    const auto chosen = others[m_random() % others.size()];
    co_return co_await perform_store_call(m_pool, chosen, m_dialect, std::move(call), call_timeout);
}

auto store_access::write(store_call call, const std::function<bool(const std::string&)>& same, duration give_up)
    -> boost::asio::awaitable<store_reply> {
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
        const auto decided = reply.status != store_status::unknown && reply.status != store_status::unavailable;
        if (decided || monotonic_now() >= until) {
            if (!decided && uncertain) {
                reply.status = store_status::unknown; // An earlier try may still take effect.
            }
            co_return reply;
        }
        co_await pause_for(retry_pause);
    }
}

namespace {

auto digest_of(const std::string& key, std::uint64_t version) -> std::uint64_t {
    return rendezvous_weight(version, key);
}

} // namespace

store_follower::store_follower(store_access& store, std::string kind, follower_events events, duration pause)
    : m_store{store}, m_kind{std::move(kind)}, m_events{std::move(events)}, m_pause{pause} {}

/// Reads all pages. Nothing when the store could not be read.
auto store_follower::list_all() -> boost::asio::awaitable<std::optional<store_reply>> {
    auto whole = store_reply{};
    auto after = std::string{};
    while (true) {
        auto call = store_call{.kind = store_call_kind::list, .key = m_kind, .after_key = after};
        auto page = co_await m_store.read(std::move(call));
        if (page.status != store_status::ok) {
            co_return std::nullopt;
        }
        // The first page's revision: what changed while later pages were read is watched again.
        whole.version = whole.objects.empty() ? page.version : whole.version;
        const auto last = page.objects.empty() ? std::string{} : page.objects.back().key;
        std::move(page.objects.begin(), page.objects.end(), std::back_inserter(whole.objects));
        if (!page.more || last.empty()) {
            break;
        }
        after = last;
    }
    std::erase_if(whole.objects, [](const auto& object) { return object.removed; });
    whole.status = store_status::ok;
    co_return whole;
}

auto store_follower::take_list(const store_reply& list) -> void {
    if (list.version < m_at) {
        return; // A relayed answer that is older than what is known.
    }
    m_at = list.version;
    m_versions.clear();
    m_digest = 0;
    for (const auto& object : list.objects) {
        m_versions[object.key] = object.version;
        m_digest ^= digest_of(object.key, object.version);
    }
    m_events.listed(list.objects);
}

auto store_follower::take_event(const store_object& object) -> void {
    const auto known = m_versions.find(object.key);
    if (known != m_versions.end()) {
        if (object.version < known->second) {
            return; // A refresh was faster than the watch.
        }
        m_digest ^= digest_of(object.key, known->second);
        m_versions.erase(known);
    }
    if (!object.removed) {
        m_versions[object.key] = object.version;
        m_digest ^= digest_of(object.key, object.version);
    }
    m_events.changed(object);
}

auto store_follower::refresh() -> boost::asio::awaitable<bool> {
    if (m_refreshing) {
        co_return false;
    }
    m_refreshing = true;
    const auto list = co_await list_all();
    m_refreshing = false;
    if (list) {
        take_list(*list);
    }
    co_return list.has_value();
}

/// Watches until the history is lost.
auto store_follower::watch() -> boost::asio::awaitable<void> {
    while (true) {
        const auto from = m_at;
        auto call = store_call{.kind = store_call_kind::watch, .key = m_kind, .after = from, .wait = watch_wait};
        const auto reply = co_await m_store.read(std::move(call));
        if (reply.status == store_status::history_lost) {
            log::info("store_history_lost", {{"kind", m_kind}, {"after", from}});
            co_return;
        }
        if (reply.status != store_status::ok) {
            co_await pause_for(retry_pause);
            continue;
        }
        for (const auto& object : reply.objects) {
            take_event(object);
        }
        m_at = std::max(m_at, reply.version);
        if (!reply.objects.empty()) {
            co_await pause_for(m_pause);
        }
    }
}

auto store_follower::run() -> boost::asio::awaitable<void> {
    while (true) {
        const auto listed_now = co_await refresh();
        if (!listed_now) {
            co_await pause_for(retry_pause);
            continue;
        }
        co_await watch();
    }
}

auto probe_store(store_access& store, std::string key) -> boost::asio::awaitable<void> {
    while (true) {
        co_await pause_for(probe_interval);
        auto call = store_call{.kind = store_call_kind::get, .key = key, .stale = true};
        static_cast<void>(co_await store.call_directly(std::move(call)));
    }
}

} // namespace teaselcross
