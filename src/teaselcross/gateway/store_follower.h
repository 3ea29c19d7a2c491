#pragma once

// Follows the objects of one kind, either directly in the store or through a relay: an instance of the same
// data centre that follows the store.
//
// The number of store calls thus grows with the number of data centres and not of instances. When a relay
// does not answer, the next candidate takes its place, or the instance follows the store directly.

#include "gateway/change_signal.h"
#include "gateway/store_access.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>

namespace teaselcross {

/// Path on the internal port under which an instance follows another.
constexpr auto follow_path = "/follow";
/// Path under which an instance asks a peer for the objects whose versions differ between the two.
constexpr auto compare_path = "/compare";

/// Callbacks of a store_follower.
struct follower_events {
    /// Called with the complete list.
    std::function<void(const std::vector<store_object>&)> listed;
    std::function<void(const store_object&)> changed; ///< One object was changed or removed.
    /// One object changed from version @a base; its value holds only the difference. Returns false when the
    /// difference does not apply to the known version. Needed only for kinds with a difference function.
    std::function<bool(const store_object&, std::uint64_t base)> patched;
};

/// Where an instance learned of a change.
enum class change_source { watch, list, relay, relayed_list, comparison };
constexpr enum_table<change_source, 5> change_source_names{"watch", "list", "relay", "relayed_list",
                                                           "comparison"};

/// The answer that reported a change.
struct change_origin {
    change_source source = change_source::watch;
    std::string from;           ///< Address of the instance that answered; empty for the store.
    std::uint64_t revision = 0; ///< Store revision up to which the answering side knew all changes.
};

/// Returns the difference between two values of one object as text, or nothing when one of them cannot be
/// parsed.
using difference_function = auto(*)(const std::string& before, const std::string& after)
                                -> std::optional<std::string>;

struct follower_options {
    std::string kind;
    duration batch_delay{}; ///< Changes within this time are fetched together.
    /// For objects that are large compared with their changes: relays then send differences. Null to send
    /// whole values.
    difference_function difference = nullptr;
};

/// Not thread safe: use it on the event loop's thread only.
class store_follower {
public:
    store_follower(store_access& store, cluster_state& cluster, const gateway_settings& settings,
                   boost::asio::any_io_executor executor, follower_options options, follower_events events);

    /// Follows the objects for as long as the event loop runs.
    auto run() -> boost::asio::awaitable<void>;
    /// Lists the objects from the store again, independently of a watch that may hang. Returns false when the
    /// store could not be read or a refresh is already in progress.
    auto refresh() -> boost::asio::awaitable<bool>;
    /// Handles the request of an instance that follows this one: waits until there are changes newer than
    /// those in @a body. Returns an empty string unless this instance follows the store directly.
    auto answer_follower(std::string body) -> boost::asio::awaitable<std::string>;

    /// Fetches from @a peer the objects whose versions differ there. Returns false when the peer did not
    /// answer.
    auto compare_with(endpoint peer) -> boost::asio::awaitable<bool>;
    /// Handles the comparison request of a peer: returns the objects whose versions differ from those in @a
    /// query.
    auto answer_comparison(const nlohmann::json& query) const -> std::string;

    auto kind() const -> const std::string& { return m_options.kind; }
    /// Hash over all keys and versions; equal on two instances that know the same versions of the same
    /// objects.
    auto digest() const -> std::uint64_t { return m_digest; }
    auto listed() const -> bool { return m_listed; }
    /// When an object last changed here.
    auto last_change() const -> instant { return m_last_change; }
    /// Whether this instance follows the store directly.
    auto is_direct() const -> bool { return m_direct; }
    /// Internal address of the relay to follow; nothing when this instance should follow the store directly.
    auto relay_address() const -> std::optional<endpoint>;

private:
    /// An object with the number of its latest change on this instance. Removed objects are kept for a while
    /// so that followers learn of the removal.
    struct tracked_object {
        store_object object;
        std::uint64_t change_number = 0;
    };
    /// An earlier value of an object, kept to compute differences.
    struct past_value {
        std::uint64_t change_number = 0;
        store_object object;
    };
    /// A difference with the versions between which it was computed.
    struct cached_difference {
        std::uint64_t from = 0;
        std::uint64_t to = 0;
        std::string text;
    };

    auto list_all() -> boost::asio::awaitable<std::optional<store_reply>>;
    auto apply_list(const std::vector<store_object>& objects, const change_origin& origin) -> void;
    auto apply_event(const store_object& object, const change_origin& origin) -> void;
    auto record_change(const store_object& object, const change_origin& origin) -> void;
    auto log_change(const store_object& object, const change_origin& origin) const -> void;
    auto trim_removals() -> void;
    auto is_known(const store_object& object) const -> bool;
    auto make_entry(const tracked_object& tracked, std::uint64_t known) -> nlohmann::json;
    auto difference_since(const tracked_object& tracked, std::uint64_t known) -> const cached_difference*;
    auto apply_relayed(const nlohmann::json& document, change_origin origin) -> bool;
    auto watch() -> boost::asio::awaitable<void>;
    auto follow_relay(instance_record followed) -> boost::asio::awaitable<void>;
    auto relay() const -> std::optional<instance_record>;

    store_access& m_store;
    cluster_state& m_cluster;
    const gateway_settings& m_settings;
    follower_options m_options;
    follower_events m_events;
    connection_pool m_pool;
    change_signal m_signal;
    std::map<std::string, tracked_object> m_objects; ///< By key.
    std::deque<past_value> m_recent_removals;        ///< Removals still sent to followers, oldest first.
    std::deque<past_value> m_past_values;            ///< Earlier values, oldest first.
    std::deque<cached_difference> m_differences;     ///< Cache: most followers ask for the same differences.
    std::uint64_t m_last_dropped_removal = 0; ///< Number of the latest removal that has been discarded.
    std::uint64_t m_change_number = 0;        ///< Number of the latest change.
    std::uint64_t m_epoch;                    ///< Tells change numbers of different processes apart.
    std::uint64_t m_digest = 0;
    std::uint64_t m_revision = 0; ///< Store revision up to which all changes are known.
    instant m_last_change{};
    bool m_listed = false;
    bool m_refreshing = false;
    bool m_direct = false;
    /// Relays that did not answer, and until when they are avoided.
    std::map<std::string, instant> m_avoided_relays;
};

} // namespace teaselcross
