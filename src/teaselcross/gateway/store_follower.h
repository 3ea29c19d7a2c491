#pragma once

// Follows the objects of one kind: from the store, or from a relay in the own data centre.
//
// Store calls then grow with the data centres and not with the instances. A relay that does not answer is
// left for the store itself.

#include "gateway/change_signal.h"
#include "gateway/store_access.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>

namespace teaselcross {

/// Path on the internal port under which an instance follows another.
constexpr auto follow_path = "/follow";
/// Path under which an instance asks another for what the two know differently.
constexpr auto compare_path = "/compare";

/// What the owner of a store_follower does with the objects.
struct follower_events {
    std::function<void(const std::vector<store_object>&)> listed; ///< The whole list.
    std::function<void(const store_object&)> changed;             ///< One object changed or was removed.
    /// One object changed from the version @a base; its value holds the difference only. False when that does
    /// not fit what is known. Only for kinds with a difference function.
    std::function<bool(const store_object&, std::uint64_t base)> patched;
};

/// The difference between two values of one object as text, or nothing when one of them cannot be read.
using difference_function = auto(*)(const std::string& before, const std::string& after)
                                -> std::optional<std::string>;

struct follower_options {
    std::string kind;
    duration batch_delay{}; ///< Changes that come within it are fetched together.
    /// For objects that are large beside their changes: relays send differences. Null for none.
    difference_function difference = nullptr;
};

/// Belongs to the event loop's thread.
class store_follower {
public:
    store_follower(store_access& store, cluster_state& cluster, const gateway_settings& settings,
                   boost::asio::any_io_executor executor, follower_options options, follower_events events);

    /// Follows for as long as the event loop runs.
    auto run() -> boost::asio::awaitable<void>;
    /// Lists anew from the store, beside a watch that may hang. False when the store could not be read.
    auto refresh() -> boost::asio::awaitable<bool>;
    /// Answers an instance that follows this one: waits until there is more than it knows.
    auto answer_follower(std::string body) -> boost::asio::awaitable<std::string>;

    /// Takes from the instance at @a peer what it knows better. False when it could not be asked.
    auto compare_with(endpoint peer) -> boost::asio::awaitable<bool>;
    /// Answers an instance that compares: the objects whose versions differ from those it has told.
    auto answer_comparison(const nlohmann::json& asked) const -> std::string;

    auto kind() const -> const std::string& { return m_options.kind; }
    /// The same at two instances that know the same versions of the same objects.
    auto digest() const -> std::uint64_t { return m_digest; }
    auto listed() const -> bool { return m_listed; }
    /// When something was last learnt.
    auto last_change() const -> instant { return m_last_change; }
    /// Whether this instance follows the store itself.
    auto is_direct() const -> bool { return m_direct; }
    /// Where the relay that this instance should follow can be reached; nothing when it is its own.
    auto relay_address() const -> std::optional<endpoint>;

private:
    /// An object with the number of its latest change here. A removed one is kept for a while, so that
    /// followers hear of it.
    struct tracked_object {
        store_object object;
        std::uint64_t change_number = 0;
    };
    /// An earlier value, for differences.
    struct past_value {
        std::uint64_t change_number = 0;
        store_object object;
    };
    struct cached_difference {
        std::uint64_t from = 0; ///< Versions.
        std::uint64_t to = 0;
        std::string text;
    };

    auto list_all() -> boost::asio::awaitable<std::optional<store_reply>>;
    auto apply_list(const std::vector<store_object>& objects) -> void;
    auto apply_event(const store_object& object) -> void;
    auto record_change(const store_object& object) -> void;
    auto trim_removals() -> void;
    auto is_known(const store_object& object) const -> bool;
    auto make_entry(const tracked_object& tracked, std::uint64_t known) -> nlohmann::json;
    auto difference_since(const tracked_object& tracked, std::uint64_t known) -> const cached_difference*;
    auto apply_relayed(const nlohmann::json& document) -> bool;
    auto watch() -> boost::asio::awaitable<void>;
    auto follow_relay(instance_record relay) -> boost::asio::awaitable<void>;
    auto relay() const -> std::optional<instance_record>;

    store_access& m_store;
    cluster_state& m_cluster;
    const gateway_settings& m_settings;
    follower_options m_options;
    follower_events m_events;
    connection_pool m_pool;
    change_signal m_signal;
    std::map<std::string, tracked_object> m_objects; ///< By key.
    std::deque<past_value> m_recent_removals;        ///< Removals that are still told, oldest first.
    std::deque<past_value> m_past_values;            ///< Earlier values, oldest first.
    std::deque<cached_difference> m_differences;     ///< Most followers ask for the same ones.
    std::uint64_t m_last_dropped_removal = 0; ///< Number of the latest removal that is not told any more.
    std::uint64_t m_change_number = 0;        ///< Of the latest change.
    std::uint64_t m_epoch;                    ///< Distinguishes the numbers of different processes.
    std::uint64_t m_digest = 0;
    std::uint64_t m_revision = 0; ///< The store's revision up to which everything is known.
    instant m_last_change{};
    bool m_listed = false;
    bool m_refreshing = false;
    bool m_direct = false;
    std::map<std::string, instant> m_avoided_relays; ///< Relays that did not answer, and until when.
};

} // namespace teaselcross
