#pragma once

// Calls to other instances over gRPC.

#include "core/time.h"
#include "membership/member.h"
#include "peer.grpc.pb.h"
#include "runtime/duty.h"

#include <grpcpp/grpcpp.h>

#include <map>

namespace teaselcross {

/// Makes calls and hands the replies to one duty. Calls are made from that duty's thread only.
class peer_client {
public:
    explicit peer_client(duty& consumer) : m_consumer{consumer} {}

    /// Calls @a method, such as &wire::Peer::Stub::async_interface::Members, and hands status and reply to
    /// @a handler on the consumer's thread. The handler is called exactly once.
    template <class Request, class Reply>
    auto call(const member_address& to,
              void (wire::Peer::StubInterface::async_interface::*method)(grpc::ClientContext*, const Request*,
                                                                         Reply*,
                                                                         std::function<void(grpc::Status)>),
              Request request, duration timeout,
              std::function<void(const grpc::Status&, const Reply&)> handler) -> void {
        struct state {
            grpc::ClientContext context;
            Request request;
            Reply reply;
        };
        auto made = std::make_shared<state>();
        made->request = std::move(request);
        made->context.set_deadline(std::chrono::system_clock::now() + timeout);
        auto* const stub = stub_for(to)->async();
        (stub->*method)(&made->context, &made->request, &made->reply,
                        [this, made, handler = std::move(handler)](grpc::Status status) {
                            m_consumer.post([made, handler, status] { handler(status, made->reply); });
                        });
    }

private:
    auto stub_for(const member_address& to) -> wire::Peer::StubInterface*;

    duty& m_consumer;
    std::map<std::string, std::unique_ptr<wire::Peer::Stub>> m_stubs;
};

} // namespace teaselcross
