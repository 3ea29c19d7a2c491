#pragma once

// A thread with an I/O context. Other threads post tasks to it through a bounded ring.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace teaselcross {

/// A thread that runs an I/O context and the tasks from its ring.
class executor_thread {
public:
    using task = std::function<void()>;

    /// @a name is the thread's name, at most 15 characters.
    explicit executor_thread(std::string name);
    executor_thread(const executor_thread&) = delete;
    auto operator=(const executor_thread&) -> executor_thread& = delete;
    ~executor_thread();

    /// The I/O context; use it only on this thread, or before start().
    auto context() -> boost::asio::io_context& { return m_context; }

    auto start() -> void;
    /// Stops the context and waits for the thread. Tasks still in the ring are dropped.
    auto stop() -> void;

    /// Posts @a work. Returns false, and drops @a work, when the ring is full; the caller has to handle
    /// that. Safe to call from any thread.
    auto try_post(task work) -> bool;

    /// Posts @a work, waiting for space in the ring. Only for producers whose number of outstanding tasks is
    /// bounded by other means. Safe to call from any thread except this one.
    auto post(task work) -> void;

    /// How often the ring was full. Safe to call from any thread.
    auto full_count() const -> std::uint64_t { return m_full_count.load(std::memory_order_relaxed); }

private:
    static constexpr std::size_t ring_capacity = 8192;

    /// Pushes @a work to the ring. Returns false, leaving @a work unchanged, when the ring is full.
    auto try_push(task& work) -> bool;
    auto run_pending_tasks() -> void;

    std::string m_name;
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work_guard;
    std::mutex m_push_mutex;
    boost::lockfree::spsc_queue<task, boost::lockfree::capacity<ring_capacity>> m_ring;
    std::atomic<bool> m_scheduled{false};
    std::atomic<std::uint64_t> m_full_count{0};
    std::thread m_thread;
};

} // namespace teaselcross
