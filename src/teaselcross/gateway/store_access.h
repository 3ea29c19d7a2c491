#pragma once

// Reads of the platform's store that go through another instance while the store refuses this one.

#include "gateway/knowledge.h"
#include "store/store_call.h"

#include <functional>
#include <random>

namespace teaselcross {

class store_access {
public:
    store_access(const gateway_settings& options, const knowledge& known, boost::asio::any_io_executor executor,
                 const store_dialect& dialect);

    /// Makes @a call at the store itself.
    auto call_directly(store_call call) -> boost::asio::awaitable<store_reply>;

    /// Reads from the store, or through another instance when the store has just failed this one.
    auto read(store_call call) -> boost::asio::awaitable<store_reply>;

    /// Writes under a condition until the outcome is known or @a give_up has passed. A write whose answer was lost
    /// is repeated under the same condition and read back: @a same tells whether an object's value is the one
    /// written.
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

    const gateway_settings& m_options;
    const knowledge& m_known;
    const store_dialect& m_dialect;
    connection_pool m_pool;
    std::mt19937_64 m_random{std::random_device{}()};
    instant m_last_answer{};
    instant m_healthy_since{};
    instant m_try_directly_from{};
    std::uint64_t m_outages = 0;
    bool m_healthy = false;
};

/// What the owner of a store_follower does with the objects.
struct follower_events {
    std::function<void(const std::vector<store_object>&)> listed; ///< The whole list.
    std::function<void(const store_object&)> changed;             ///< One object changed or was removed.
};

/// Follows the objects of one kind: a list, then a watch. A watch tells nothing while the store withholds changes
/// from it, so others may ask for a refresh() when their knowledge differs. Belongs to the event loop's thread.
class store_follower {
public:
    /// Changes that come within @a pause are fetched together.
    store_follower(store_access& store, std::string kind, follower_events events, duration pause);

    /// Lists and watches for as long as the event loop runs.
    auto run() -> boost::asio::awaitable<void>;
    /// Lists anew, beside a watch that may hang. False when the store could not be read.
    auto refresh() -> boost::asio::awaitable<bool>;

    auto kind() const -> const std::string& { return m_kind; }
    /// The same at two instances that know the same versions of the same objects.
    auto digest() const -> std::uint64_t { return m_digest; }
    auto listed() const -> bool { return m_at != 0; }

private:
    auto list_all() -> boost::asio::awaitable<std::optional<store_reply>>;
    auto take_list(const store_reply& list) -> void;
    auto take_event(const store_object& object) -> void;
    auto watch() -> boost::asio::awaitable<void>;

    store_access& m_store;
    std::string m_kind;
    follower_events m_events;
    duration m_pause;
    std::map<std::string, std::uint64_t> m_versions; ///< By key.
    std::uint64_t m_digest = 0;
    std::uint64_t m_at = 0;     ///< The store's revision up to which everything is known.
    bool m_refreshing = false;
};

/// Reads @a key now and then, only to learn whether the store answers.
auto probe_store(store_access& store, std::string key) -> boost::asio::awaitable<void>;

/// Sleeps for @a pause.
auto pause_for(duration pause) -> boost::asio::awaitable<void>;

} // namespace teaselcross
