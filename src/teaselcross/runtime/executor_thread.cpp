#include "runtime/executor_thread.h"

#include "runtime/event_loop.h"

#include <boost/asio/post.hpp>

#include <pthread.h>

namespace teaselcross {

executor_thread::executor_thread(std::string name)
    : m_name{std::move(name)}, m_work_guard{boost::asio::make_work_guard(m_context)} {}

executor_thread::~executor_thread() {
    stop();
}

auto executor_thread::start() -> void {
    m_thread = std::thread{[this] {
        pthread_setname_np(pthread_self(), m_name.c_str());
        run_event_loop(m_context);
    }};
}

auto executor_thread::stop() -> void {
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

auto executor_thread::try_post(task work) -> bool {
    return try_push(work);
}

auto executor_thread::try_push(task& work) -> bool {
    {
        const auto lock = std::scoped_lock{m_push_mutex};
        if (!m_ring.push(work)) {
            m_full_count.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
    }
    // One wake-up handles all tasks that are in the ring by then.
    if (!m_scheduled.exchange(true)) {
        boost::asio::post(m_context, [this] { run_pending_tasks(); });
    }
    return true;
}

auto executor_thread::post(task work) -> void {
    // try_push() leaves a rejected task unchanged.
    while (!try_push(work)) {
        std::this_thread::yield();
    }
}

auto executor_thread::run_pending_tasks() -> void {
    m_scheduled.store(false);
    auto work = task{};
    while (m_ring.pop(work)) {
        work();
    }
}

} // namespace teaselcross
