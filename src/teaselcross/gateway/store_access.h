#pragma once

// Reads of the platform's store that go through another instance while the store refuses this one.

#include "gateway/knowledge.h"
#include "store/store_call.h"

#include <functional>
#include <random>

namespace teaselcross {

class store_access {
public:
    store_access(const gateway_settings& options, const knowledge& known,
                 boost::asio::any_io_executor executor, const store_protocol& dialect);

    /// Makes @a call at the store itself.
    auto call_directly(store_call call) -> boost::asio::awaitable<store_reply>;

    /// Reads from the store, or through another instance when the store has just failed this one.
    auto read(store_call call) -> boost::asio::awaitable<store_reply>;

    /// Writes under a condition until the outcome is known or @a give_up has passed. A write whose answer was
    /// lost is repeated under the same condition and read back: @a same tells whether an object's value is
    /// the one written.
    auto write(store_call call, const std::function<bool(const std::string&)>& same, duration give_up)
        -> boost::asio::awaitable<store_reply>;

    /// When the store last answered this instance; the epoch before the first answer.
    auto last_answer() const -> instant { return m_last_answer; }
    /// Since when the store answers without a failure.
    auto healthy_since() const -> instant { return m_healthy_since; }
    auto healthy() const -> bool { return m_healthy; }
    /// How often the store has stopped answering.
    auto outages() const -> std::uint64_t { return m_outages; }
    auto pool() -> connection_pool& { return m_pool; }

private:
    auto note(const store_reply& reply, store_call_kind kind) -> void;
    auto choose_relay() -> std::optional<endpoint>;

    const gateway_settings& m_options;
    const knowledge& m_known;
    const store_protocol& m_dialect;
    connection_pool m_pool;
    std::map<endpoint, instant> m_avoided; ///< Instances that could not pass a read on, and until when.
    std::mt19937_64 m_random{std::random_device{}()};
    instant m_last_answer{};
    instant m_healthy_since{};
    instant m_try_directly_from{};
    std::uint64_t m_outages = 0;
    bool m_healthy = false;
};

/// Reads @a key now and then, only to learn whether the store answers.
auto probe_store(store_access& store, std::string key) -> boost::asio::awaitable<void>;

/// Sleeps for @a pause.
auto pause_for(duration pause) -> boost::asio::awaitable<void>;

} // namespace teaselcross
