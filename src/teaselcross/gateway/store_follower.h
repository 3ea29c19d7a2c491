#pragma once

// Follows the objects of one kind, either directly in the store or through a relay: an instance of the same
// data centre that follows the store.
//
// The number of store calls thus grows with the number of data centres and not of instances. When a relay
// does not answer, the next candidate takes its place, or the instance follows the store directly.
//
// Objects that one instance writes alone, such as key maps, need no watch at all: the relays follow their
// writer, and go back to the store when it does not answer.

#include "core/enum_names.h"
#include "gateway/change_signal.h"
#include "gateway/replica_messages.h"
#include "gateway/store_access.h"
#include "replication/difference_cache.h"

namespace teaselcross {

/// Path on the internal port under which an instance follows another.
constexpr auto follow_path = "/follow";
/// How long a relay holds the request of a follower when there are no changes.
constexpr auto relay_poll_timeout = duration{std::chrono::milliseconds{4000}};
/// Path under which an instance asks a peer for the objects whose versions differ between the two.
constexpr auto compare_path = "/compare";

/// Where an instance learned of a change.
enum class change_source { watch, list, relay, relayed_list, comparison, own_write };
constexpr enum_table<change_source, 6> change_source_names{"watch",        "list",       "relay",
                                                           "relayed_list", "comparison", "own_write"};

/// The answer that reported a change.
struct change_origin {
    change_source source = change_source::watch;
    std::string from;        ///< Address of the instance that answered; empty for the store.
    store_revision revision; ///< Store revision up to which the answering side knew all changes.
    /// All changes that were acknowledged before this time are contained in the answer.
    instant as_of{};
    /// When the store first reported the object to an instance; nothing if that is not known.
    std::optional<instant> first_known;
};

/// What came of listing the objects again.
enum class refresh_result {
    failed,     ///< The store could not be read, or a refresh is already in progress.
    incomplete, ///< The list could not be read to its end; what it contains is applied.
    complete,
};

/// Callbacks of a store_follower.
struct follower_events {
    /// One object was added, changed or removed. @a not_before is the last time at which this change had not
    /// been made yet; instant{} if there is none.
    std::function<void(const store_object&, instant not_before)> changed;
    /// One object changed from version @a base; its value holds only the difference. Returns false when the
    /// difference does not apply to the known version. Needed only for kinds with a difference function.
    std::function<bool(const store_object&, const store_revision& base)> patched;
    /// Returns an object that was patched, with its present version and value. Needed only for kinds with a
    /// difference function.
    std::function<std::optional<store_object>(const std::string& key)> patched_object;
    /// A change was applied @a delay after the store first reported it to an instance. May be null.
    std::function<void(const store_object&, duration delay)> measured;
};

/// Returns the difference between two values of one object as text, or nothing when one of them cannot be
/// parsed.
using difference_function = auto(*)(const std::string& before, const std::string& after)
                                -> std::optional<std::string>;

struct follower_options {
    std::string kind;
    duration batch_delay{};    ///< Changes within this time are fetched together.
    bool logs_changes = false; ///< Each change has a line in the log, with where and how late it was learnt.
    /// Interval of refreshes while nothing confirms the copy.
    duration refresh_interval = std::chrono::milliseconds{900};
    /// For objects that are large compared with their changes: relays then send differences. Null to send
    /// whole values.
    difference_function difference = nullptr;
    /// The instance that writes all objects of this kind, if there is one and it is known. Null for kinds
    /// with other writers.
    std::function<std::optional<instance_record>()> writer = nullptr;
};

/// Not thread safe: use it on the event loop's thread only.
class store_follower {
public:
    store_follower(store_access& store, cluster_state& cluster, const gateway_settings& settings,
                   boost::asio::any_io_executor executor, follower_options options, follower_events events);

    /// Follows the objects for as long as the event loop runs.
    auto run() -> boost::asio::awaitable<void>;
    /// Lists the objects from the store again, independently of a watch that may hang.
    auto refresh() -> boost::asio::awaitable<refresh_result>;
    /// Handles the request of an instance that follows this one: waits until there are changes newer than
    /// those in @a body. Returns an empty string unless this instance follows the store directly.
    auto answer_follower(std::string body) -> boost::asio::awaitable<std::string>;

    /// Fetches from @a peer the objects whose versions differ there. Returns false when the peer did not
    /// answer, or when its copy is behind this one.
    auto compare_with(endpoint peer) -> boost::asio::awaitable<bool>;
    /// Handles the comparison request of a peer: returns the objects whose versions differ from those in @a
    /// query.
    auto answer_comparison(const nlohmann::json& query) const -> std::string;

    /// Applies an object that this instance has written at the store at @a written_at.
    auto apply_own_write(const store_object& object, instant written_at) -> void;

    /// Records what follows from the state of an equal copy, as received in answer to a request sent at @a
    /// asked_at.
    auto confirm(const copy_state& equal, instant asked_at) -> void;

    auto kind() const -> const std::string& { return m_options.kind; }
    auto refresh_interval() const -> duration { return m_options.refresh_interval; }
    auto batch_delay() const -> duration { return m_options.batch_delay; }
    auto state() const -> copy_state;
    auto listed() const -> bool { return m_listed; }
    /// Whether the copy contains the object @a key.
    auto is_live(const std::string& key) const -> bool;
    /// When an object last changed here.
    auto last_change() const -> instant { return m_last_change; }
    /// Whether this instance serves followers: it follows the store directly, or the writer of the objects.
    auto is_direct() const -> bool { return m_direct; }
    /// Whether this instance itself writes all objects of the kind, so that it knows them without asking.
    auto is_writer() const -> bool;
    /// Bytes of objects that were received so far, from the store and from other instances.
    auto copied_bytes() const -> std::uint64_t { return m_copied_bytes; }
    /// Internal address of the relay to follow; nothing when this instance should follow the store directly.
    auto relay_address() const -> std::optional<endpoint>;

private:
    auto apply_part_of_list(const std::vector<object_page>& pages) -> void;
    auto apply_list(const std::vector<object_page>& pages, const change_origin& origin) -> void;
    auto apply_object(const store_object& object, const change_origin& origin) -> void;
    auto apply_patch(const relayed_object& relayed, const change_origin& origin) -> bool;
    auto report_change(const store_object& object, bool was_live, const change_origin& origin) -> void;
    auto measure_change(const store_object& object, const change_origin& origin) -> void;
    auto known_for(const store_object& object) const -> std::optional<duration>;
    auto finish_answer(const change_origin& origin) -> void;
    auto wake_followers() -> void;
    auto with_value(const store_object& object) const -> store_object;
    auto make_relayed(const object_replica::entry& entry, std::uint64_t known) -> std::vector<relayed_object>;
    auto differences_since(const object_replica::entry& entry, std::uint64_t known)
        -> std::vector<const object_difference*>;
    /// @a answered_at: no later than the relay's answer was made.
    auto apply_relayed(const follow_answer& answer, instant answered_at, change_origin origin) -> bool;
    auto list_until_quiet() -> boost::asio::awaitable<void>;
    auto watch() -> boost::asio::awaitable<std::optional<store_revision>>;
    auto is_of_past_era(const store_revision& revision) const -> bool;
    auto follow_relay(instance_record followed) -> boost::asio::awaitable<void>;
    auto relay() const -> std::optional<instance_record>;
    auto preferred_instance() const -> const instance_record*;
    auto is_avoided(const std::string& instance) const -> bool;
    auto age() const -> duration;
    auto set_confirmed(instant as_of) -> void {
        m_confirmed_at = std::max(m_confirmed_at, as_of);
        m_store.note_answer(as_of);
    }

    store_access& m_store;
    cluster_state& m_cluster;
    const gateway_settings& m_settings;
    follower_options m_options;
    follower_events m_events;
    connection_pool m_pool;
    change_signal m_signal;
    object_replica m_replica;
    difference_cache m_differences; ///< Most followers ask for the same differences.
    std::uint64_t m_epoch;          ///< Tells change numbers of different processes apart.
    /// Revision from which the store is watched. A watch that ends without changes moves it, but says nothing
    /// about changes that the store withheld.
    store_revision m_watched_from;
    std::uint64_t m_notified_number = 0; ///< Number of the change up to which followers were woken.
    instant m_confirmed_at{};
    instant m_last_change{};
    /// The version of each object and when the store first reported it to an instance, where that is known.
    std::map<std::string, std::pair<store_revision, instant>> m_first_known;
    std::uint64_t m_copied_bytes = 0;
    bool m_listed = false;
    bool m_refreshing = false;
    bool m_direct = false;
    /// Relays that did not answer, and until when they are avoided.
    std::map<std::string, instant> m_avoided_relays;
};

} // namespace teaselcross
