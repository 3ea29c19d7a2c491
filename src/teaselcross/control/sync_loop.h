#pragma once

// Synchronises the mirror of the shared objects: relays watch the store, other instances pull from a relay,
// and an instance that cannot reach the store pulls from one with newer objects.

#include "control/instance_context.h"

#include <boost/asio/steady_timer.hpp>

namespace teaselcross {

class sync_loop {
public:
    explicit sync_loop(instance_context& instance);

    auto start() -> void;
    auto on_mirror_changed() -> void;
    auto on_membership_changed() -> void;
    /// Answers all waiting pulls, before a shutdown.
    auto stop() -> void;

    /// Whether this instance watches the store for its data centre.
    auto is_relay() const -> bool { return m_is_relay; }
    /// The latest time at which the mirror is known to have been as new as the store; the clock's epoch
    /// before the first contact.
    auto last_contact() const -> instant { return m_last_contact; }
    /// Time since the last contact with the store, direct or through other instances.
    auto contact_age(instant now) const -> duration;

    /// Answers a pull of another instance: at once if there is something new, otherwise at the next change
    /// or when the wait of the request has passed.
    auto answer_pull(const wire::SyncRequest& request, std::function<void(wire::SyncReply)> done) -> void;

private:
    struct waiting_pull {
        wire::SyncRequest request;
        std::function<void(wire::SyncReply)> done;
        instant deadline{};
    };

    auto step() -> void;
    auto watch() -> void;
    auto pull(const member& from) -> void;
    auto choose_source() const -> const member*;
    auto schedule_step(duration delay) -> void;
    auto reply_to(const wire::SyncRequest& request) const -> wire::SyncReply;

    instance_context& m_instance;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_pull_timer;
    bool m_is_relay = false;
    bool m_request_pending = false;
    bool m_snapshot_read = false; ///< All shared objects have been read from the store once.
    store_revision m_revision;
    std::uint32_t m_failures = 0;
    instant m_last_contact{};
    instance_id m_source;
    std::uint64_t m_source_generation = 0;
    std::uint64_t m_source_sequence = 0;
    std::vector<waiting_pull> m_waiting_pulls;
};

} // namespace teaselcross
