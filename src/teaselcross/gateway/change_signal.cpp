#include "gateway/change_signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace teaselcross {

change_signal::change_signal(boost::asio::any_io_executor executor)
    : m_executor{executor}, m_change{executor, boost::asio::steady_timer::time_point::max()} {}

auto change_signal::notify() -> void {
    m_change.expires_at(boost::asio::steady_timer::time_point::max());
}

auto change_signal::wait(duration limit) -> boost::asio::awaitable<void> {
    auto timer = boost::asio::steady_timer{m_executor, limit};
    const auto over = std::make_shared<bool>(false);
    m_change.async_wait([&timer, over](const boost::system::error_code&) {
        if (!*over) {
            timer.cancel();
        }
    });
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    *over = true;
}

} // namespace teaselcross
