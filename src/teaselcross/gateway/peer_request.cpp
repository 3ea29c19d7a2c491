#include "gateway/peer_request.h"

namespace teaselcross {

namespace http = boost::beast::http;

auto make_peer_request(const std::string& path, const endpoint& to, std::string body) -> http_request {
    auto request = http_request{http::verb::post, path, 11};
    request.set(http::field::host, to.host);
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

auto instance_of(const instance_id& process) -> std::string {
    return process.value().substr(0, process.value().rfind('#'));
}

} // namespace teaselcross
