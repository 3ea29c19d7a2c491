#pragma once

// Calls to other instances over gRPC.

#include "core/time.h"
#include "membership/member.h"
#include "peer.grpc.pb.h"
#include "runtime/executor_thread.h"

#include <grpcpp/grpcpp.h>

#include <map>

namespace teaselcross {

/// Makes calls and passes the replies to one thread. Calls may be made on that thread only.
class peer_client {
public:
    explicit peer_client(executor_thread& reply_thread) : m_reply_thread{reply_thread} {}

    /// Calls @a method, such as &wire::Peer::Stub::async_interface::Members, and passes its status and reply
    /// to @a handler on the reply thread. The handler is called exactly once.
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
        auto call_state = std::make_shared<state>();
        call_state->request = std::move(request);
        call_state->context.set_deadline(std::chrono::system_clock::now() + timeout);
        auto* const stub = stub_for(to)->async();
        (stub->*method)(&call_state->context, &call_state->request, &call_state->reply,
                        [this, call_state, handler = std::move(handler)](grpc::Status status) {
                            m_reply_thread.post(
                                [call_state, handler, status] { handler(status, call_state->reply); });
                        });
    }

private:
    auto stub_for(const member_address& to) -> wire::Peer::StubInterface*;

    executor_thread& m_reply_thread;
    std::map<std::string, std::unique_ptr<wire::Peer::Stub>> m_stubs;
};

} // namespace teaselcross
