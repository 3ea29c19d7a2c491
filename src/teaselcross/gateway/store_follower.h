#pragma once

// Follows the objects of one kind: from the store, or from a relay in the own data centre.
//
// Store calls then grow with the data centres and not with the instances. A relay that does not answer is
// left for the store itself.

#include "gateway/change_signal.h"
#include "gateway/store_access.h"

#include <deque>

namespace teaselcross {

/// Path on the internal port under which an instance follows another.
constexpr auto follow_path = "/follow";

/// What the owner of a store_follower does with the objects.
struct follower_events {
    std::function<void(const std::vector<store_object>&)> listed; ///< The whole list.
    std::function<void(const store_object&)> changed;             ///< One object changed or was removed.
};

struct follower_options {
    std::string kind;
    duration pause{}; ///< Changes that come within it are fetched together.
};

/// Belongs to the event loop's thread.
class store_follower {
public:
    store_follower(store_access& store, knowledge& known, const gateway_settings& settings,
                   boost::asio::any_io_executor executor, follower_options options, follower_events events);

    /// Follows for as long as the event loop runs.
    auto run() -> boost::asio::awaitable<void>;
    /// Lists anew from the store, beside a watch that may hang. False when the store could not be read.
    auto refresh() -> boost::asio::awaitable<bool>;
    /// Answers an instance that follows this one: waits until there is more than it knows.
    auto answer_follower(std::string body) -> boost::asio::awaitable<std::string>;

    auto kind() const -> const std::string& { return m_options.kind; }
    /// The same at two instances that know the same versions of the same objects.
    auto digest() const -> std::uint64_t { return m_digest; }
    auto listed() const -> bool { return m_listed; }
    /// When something was last learnt.
    auto last_change() const -> instant { return m_last_change; }
    /// Whether this instance follows the store itself.
    auto is_direct() const -> bool { return m_direct; }

private:
    struct change {
        std::uint64_t number = 0;
        store_object object;
    };

    auto list_all() -> boost::asio::awaitable<std::optional<store_reply>>;
    auto take_list(const std::vector<store_object>& objects) -> void;
    auto take_event(const store_object& object) -> void;
    auto note(const store_object& object) -> void;
    auto watch() -> boost::asio::awaitable<void>;
    auto follow_relay(instance_record relay) -> boost::asio::awaitable<void>;
    auto relay() const -> std::optional<instance_record>;

    store_access& m_store;
    knowledge& m_known;
    const gateway_settings& m_settings;
    follower_options m_options;
    follower_events m_events;
    connection_pool m_pool;
    change_signal m_signal;
    std::map<std::string, store_object> m_objects; ///< By key.
    std::deque<change> m_changes;                  ///< The latest ones, for followers.
    std::uint64_t m_number = 0;                    ///< Of the latest change.
    std::uint64_t m_epoch;                         ///< Distinguishes the numbers of different processes.
    std::uint64_t m_digest = 0;
    std::uint64_t m_at = 0; ///< The store's revision up to which everything is known.
    instant m_last_change{};
    bool m_listed = false;
    bool m_refreshing = false;
    bool m_direct = false;
    std::map<std::string, instant> m_avoided; ///< Relays that did not answer, and until when.
};

} // namespace teaselcross
