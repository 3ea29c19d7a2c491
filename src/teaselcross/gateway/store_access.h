#pragma once

// Access to the platform's store. Reads are relayed through another instance while the store does not answer
// this one.

#include "gateway/cluster_state.h"
#include "store/store_call.h"

#include <functional>
#include <random>

namespace teaselcross {

class store_access {
public:
    store_access(const gateway_settings& settings, const cluster_state& cluster,
                 boost::asio::any_io_executor executor, const store_protocol& dialect);

    /// Makes @a call directly to the store.
    auto call_directly(store_call call) -> boost::asio::awaitable<store_reply>;

    /// Reads from the store directly, or through another instance while direct calls fail.
    auto read(store_call call) -> boost::asio::awaitable<store_reply>;

    /// Performs a conditional write until the outcome is known or @a timeout has passed. A write whose answer
    /// was lost is repeated under the same condition and read back: @a is_own_value tells whether an object's
    /// value is the one written.
    auto write(store_call call, const std::function<bool(const std::string&)>& is_own_value, duration timeout)
        -> boost::asio::awaitable<store_reply>;

    /// When the store last answered this instance directly; instant{} before the first answer.
    auto last_answer() const -> instant { return m_last_answer; }
    /// Whether the store answers this instance directly.
    auto is_healthy() const -> bool { return m_healthy; }
    /// Whether the last read was answered, directly or through another instance.
    auto is_reachable() const -> bool { return m_reachable; }
    auto pool() -> connection_pool& { return m_pool; }
    /// The highest era that the store has reported; 0 before the first answer, or if it reports none.
    auto era() const -> std::uint64_t { return m_era; }
    /// Whether the store was restored from an older copy while this process has been running.
    auto was_restored() const -> bool { return m_era != m_first_era; }
    /// How long an entry that expires now may stay missing, because an outage of the store may be the reason.
    /// Entries also expire while the store is unavailable; targets that are still running register again soon
    /// after it recovers. A restore from an older copy counts as an outage. Zero without an outage, and also
    /// while the store refuses this instance but answers others: entries do not expire then.
    auto outage_grace() const -> duration;
    /// Records that the store answered some instance at @a as_of, so that failing reads are no outage.
    auto note_answer(instant as_of) -> void;
    /// Records the outage grace of an instance through which this one reads.
    auto note_relayed_outage(duration grace) -> void;

private:
    auto record_reachable(bool reachable) -> void;
    auto record_outcome(const store_reply& reply, store_call_kind kind) -> void;
    auto check_era(const store_call& call, store_reply& reply) -> void;
    auto choose_relay() -> std::optional<endpoint>;

    const gateway_settings& m_settings;
    const cluster_state& m_cluster;
    const store_protocol& m_dialect;
    connection_pool m_pool;
    /// Instances that failed to relay a read, and until when they are avoided.
    std::map<endpoint, instant> m_avoided_relays;
    std::mt19937_64 m_random{std::random_device{}()};
    instant m_last_answer{};
    instant m_reachable_since{};
    instant m_try_directly_from{};
    instant m_relayed_grace_end{};
    instant m_last_known_answer{}; ///< Of the store to any instance, as far as this one knows.
    std::uint64_t m_outage_count = 0;
    std::uint64_t m_era = 0;
    std::uint64_t m_first_era = 0; ///< The first era that was reported.
    bool m_healthy = false;
    bool m_reachable = false;
};

/// Reads @a key periodically to detect whether the store answers: often while @a reads_directly, which tells
/// whether this instance follows the store itself, and otherwise only until the store answers again. Never
/// returns.
auto probe_store(store_access& store, std::string key, std::function<bool()> reads_directly)
    -> boost::asio::awaitable<void>;

/// Suspends the calling coroutine for @a delay.
auto sleep_for(duration delay) -> boost::asio::awaitable<void>;

} // namespace teaselcross
