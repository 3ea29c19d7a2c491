#include "peer/peer_client.h"

namespace teaselcross {

auto peer_client::stub_for(const member_address& to) -> wire::Peer::StubInterface* {
    const auto address = to.host + ":" + std::to_string(to.control_port);
    auto& stub = m_stubs[address];
    if (!stub) {
        constexpr auto longest_backoff_ms = 1000;
        constexpr auto first_backoff_ms = 100;
        constexpr auto largest_message = 256 * 1024 * 1024;
        auto arguments = grpc::ChannelArguments{};
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, first_backoff_ms);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, first_backoff_ms);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, longest_backoff_ms);
        arguments.SetMaxReceiveMessageSize(largest_message);
        stub = wire::Peer::NewStub(
            grpc::CreateCustomChannel("ipv4:" + address, grpc::InsecureChannelCredentials(), arguments));
    }
    return stub.get();
}

} // namespace teaselcross
