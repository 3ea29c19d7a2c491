#pragma once

// The forward thread's state of one kept target: its slots, its admission queue and its operation memory.

#include "admission/queue.h"
#include "keeper/keeper_view.h"
#include "metrics/metrics.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <memory>
#include <unordered_map>

namespace teaselcross {

/// A request that holds a slot at a target.
struct admitted_request {
    request_number number{};
    std::optional<shard_id> shard;
    instant started{};
};

/// Lives on the forward thread.
class target_gate {
public:
    target_gate(boost::asio::any_io_executor executor, const keeper_view& view, metrics& metrics_registry,
                instant now);

    /// Applies a newer view from the control thread.
    auto update(const keeper_view& view, instant now) -> void;
    auto view() const -> const keeper_view& { return m_view; }

    /// Refuses all waiting requests, because another instance keeps the target now.
    auto close() -> void;
    auto is_closed() const -> bool { return m_closed; }

    /// Whether a request for @a shard (none for an unkeyed service) may be sent at @a now.
    auto may_send(std::optional<shard_id> shard, instant now) const -> bool;

    /// Completes when the target stops answering; never otherwise.
    auto wait_for_target_loss() -> boost::asio::awaitable<void>;

    /// Waits for a free slot.
    auto admit(std::optional<shard_id> shard, const std::string& caller, instant deadline)
        -> boost::asio::awaitable<tl::expected<admitted_request, admission_rejection>>;

    /// Releases the slot of a request that has ended.
    auto finish(const admitted_request& request, bool succeeded, instant now) -> void;

    /// Reduces the target's slots after a connection to it was lost: its process may be a new one that can
    /// take little load at first.
    auto on_connection_lost(instant now) -> void;

    /// Refuses requests that have waited too long.
    auto tick(instant now) -> void;

    auto operations() -> operation_table& { return m_operations; }
    /// Waits until operation @a id is no longer running, or until @a deadline.
    auto wait_for_operation(const std::string& id, instant deadline) -> boost::asio::awaitable<void>;
    /// Resumes the requests that wait for operation @a id.
    auto wake_operation(const std::string& id) -> void;

    auto current_load() const -> target_load;
    auto export_operations() const -> operation_handover;
    auto import_operations(const operation_handover& handover, instant now) -> void;

private:
    struct waiter {
        explicit waiter(const boost::asio::any_io_executor& executor) : timer{executor} {}

        boost::asio::steady_timer timer;
        std::optional<admission_rejection> rejection;
        bool started = false;
    };

    auto apply(const admission_result& result) -> void;
    /// Refuses all waiting requests and completes wait_for_target_loss(), because the target does not
    /// answer.
    auto reject_waiting(instant now) -> void;
    auto adjust_shard_count(std::optional<shard_id> shard, int by) -> void;

    boost::asio::any_io_executor m_executor;
    metrics& m_metrics;
    keeper_view m_view;
    admission_queue m_queue;
    operation_table m_operations;
    std::uint64_t m_next_number = 1;
    bool m_closed = false;
    std::unordered_map<std::uint64_t, std::shared_ptr<waiter>> m_waiters;
    std::unordered_map<std::string, std::vector<std::shared_ptr<boost::asio::steady_timer>>>
        m_operation_waiters;
    std::list<boost::asio::steady_timer>
        m_loss_waiters; ///< Timers that are cancelled when the target is lost.
    std::map<shard_id, std::uint32_t> m_shard_requests; ///< Requests waiting or in flight.
};

} // namespace teaselcross
