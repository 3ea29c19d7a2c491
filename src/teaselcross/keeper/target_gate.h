#pragma once

// The forward thread's side of one kept target: its slots and queue, and the memory of its operations.

#include "admission/queue.h"
#include "keeper/kept_view.h"
#include "metrics/metrics.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <memory>
#include <unordered_map>

namespace teaselcross {

/// A request's place at a target while it is in flight.
struct admitted_request {
    request_number number{};
    std::optional<shard_id> shard;
    instant started{};
};

/// Lives on the forward thread.
class target_gate {
public:
    target_gate(boost::asio::any_io_executor executor, const kept_view& view, metrics& measured, instant now);

    /// A newer view from the control thread.
    auto update(const kept_view& view, instant now) -> void;
    auto view() const -> const kept_view& { return m_view; }

    /// Another keeper has the target: everything that waits is refused.
    auto close() -> void;
    auto closed() const -> bool { return m_closed; }

    /// Whether requests for @a shard, none for an unkeyed service, may be sent at @a now.
    auto may_send(std::optional<shard_id> shard, instant now) const -> bool;

    /// Ends when the target stops answering or is no more kept here; never otherwise.
    auto target_lost() -> boost::asio::awaitable<void>;

    /// Waits for a slot.
    auto admit(std::optional<shard_id> shard, const std::string& caller, instant deadline)
        -> boost::asio::awaitable<tl::expected<admitted_request, admission_rejection>>;

    /// The request has left the target.
    auto finish(const admitted_request& request, bool good, instant now) -> void;

    /// A connection to the target broke: its process may be a new one, which bears little.
    auto suspect_restart(instant now) -> void;

    /// Refuses what has waited too long.
    auto tick(instant now) -> void;

    auto operations() -> operation_table& { return m_operations; }
    /// Waits until the operation @a id is not running any more.
    auto wait_for_operation(const std::string& id, instant deadline) -> boost::asio::awaitable<void>;
    /// Wakes those who wait for @a id.
    auto wake_operation(const std::string& id) -> void;

    auto measure() const -> kept_measure;
    auto hand_over() const -> handed_operations;
    auto take_over(const handed_operations& handed, instant now) -> void;

private:
    struct waiter {
        explicit waiter(const boost::asio::any_io_executor& executor) : timer{executor} {}

        boost::asio::steady_timer timer;
        std::optional<admission_rejection> rejection;
        bool started = false;
    };

    auto apply(const admission_result& result) -> void;
    /// Those who wait for the target's answers or slots are told that it does not answer.
    auto give_up_target(instant now) -> void;
    auto count_shard(std::optional<shard_id> shard, int by) -> void;

    boost::asio::any_io_executor m_executor;
    metrics& m_measured;
    kept_view m_view;
    admission_queue m_queue;
    operation_table m_operations;
    std::uint64_t m_next_number = 1;
    bool m_closed = false;
    std::unordered_map<std::uint64_t, std::shared_ptr<waiter>> m_waiters;
    std::unordered_map<std::string, std::vector<std::shared_ptr<boost::asio::steady_timer>>> m_joined;
    std::list<boost::asio::steady_timer> m_watching; ///< Those who wait for the loss of the target.
    std::map<shard_id, std::uint32_t> m_by_shard;    ///< Requests waiting or in flight.
};

} // namespace teaselcross
