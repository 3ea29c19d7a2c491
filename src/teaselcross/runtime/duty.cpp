#include "runtime/duty.h"

#include <boost/asio/post.hpp>

#include <pthread.h>

namespace teaselcross {

duty::duty(std::string name) : m_name{std::move(name)}, m_work{boost::asio::make_work_guard(m_context)} {}

duty::~duty() {
    stop();
}

auto duty::start() -> void {
    m_thread = std::thread{[this] {
        pthread_setname_np(pthread_self(), m_name.c_str());
        m_context.run();
    }};
}

auto duty::stop() -> void {
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

auto duty::try_post(task work) -> bool {
    return offer(work);
}

auto duty::offer(task& work) -> bool {
    {
        const auto lock = std::scoped_lock{m_producers};
        if (!m_ring.push(work)) {
            m_full.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
    }
    // One wake-up is enough for all tasks that are in the ring when it runs.
    if (!m_scheduled.exchange(true)) {
        boost::asio::post(m_context, [this] { drain(); });
    }
    return true;
}

auto duty::post(task work) -> void {
    // A refused task is left as it was.
    while (!offer(work)) {
        std::this_thread::yield();
    }
}

auto duty::drain() -> void {
    m_scheduled.store(false);
    auto work = task{};
    while (m_ring.pop(work)) {
        work();
    }
}

} // namespace teaselcross
