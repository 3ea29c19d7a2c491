#include "gateway/change_signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace teaselcross {

change_signal::change_signal(boost::asio::any_io_executor executor)
    : m_executor{executor}, m_timer{executor, boost::asio::steady_timer::time_point::max()} {}

auto change_signal::notify() -> void {
    m_timer.expires_at(boost::asio::steady_timer::time_point::max());
}

auto change_signal::wait(duration limit) -> boost::asio::awaitable<void> {
    auto timer = boost::asio::steady_timer{m_executor, limit};
    const auto finished = std::make_shared<bool>(false);
    m_timer.async_wait([&timer, finished](const boost::system::error_code&) {
        if (!*finished) {
            timer.cancel();
        }
    });
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    *finished = true;
}

} // namespace teaselcross
