#include "gateway/quota_access.h"

#include "gateway/peer_request.h"

namespace teaselcross {

namespace asio = boost::asio;

namespace {

auto ask_controller(const gateway_controller& own_controller, quota_service& own_service,
                    connection_pool& pool, quota_query query) -> asio::awaitable<std::optional<quota_reply>> {
    if (own_controller.is_controller()) {
        co_return own_service.answer(query);
    }
    auto address = own_controller.holder_address();
    if (!address) {
        co_return std::nullopt;
    }
    auto request = make_peer_request(quota_path, *address, encode(query));
    const auto answer = co_await perform_exchange(pool, std::move(*address), std::move(request),
                                                  quota_timeout, max_peer_body_bytes);
    co_return answer ? decode_quota_reply(answer->body()) : std::nullopt;
}

} // namespace

auto make_quota_controller(const gateway_controller& own_controller, quota_service& own_service,
                           connection_pool& pool) -> quota_controller {
    return {.epoch = [&own_controller]() -> std::optional<quota_epoch> {
                const auto& lease = own_controller.known_lease();
                return lease ? std::optional{quota_epoch{.era = lease->era, .number = lease->epoch}}
                             : std::nullopt;
            },
            .ask =
                [&own_controller, &own_service, &pool](quota_query query) {
                    return ask_controller(own_controller, own_service, pool, std::move(query));
                }};
}

} // namespace teaselcross
