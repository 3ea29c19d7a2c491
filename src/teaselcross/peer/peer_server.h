#pragma once

// The gRPC service that instances offer each other. Each call becomes a task on the control thread.

#include "peer.grpc.pb.h"
#include "runtime/executor_thread.h"

#include <grpcpp/grpcpp.h>

namespace teaselcross {

/// Handlers of the calls. All are called on the control thread; each calls its `done` with the reply exactly
/// once, at once or later.
struct peer_handlers {
    std::function<void(const wire::MembersRequest&, std::function<void(wire::MembersReply)>)> members;
    std::function<void(const wire::SyncRequest&, std::function<void(wire::SyncReply)>)> sync;
    std::function<void(const wire::KeeperReport&, std::function<void(wire::KeeperReportReply)>)> report;
    std::function<void(const wire::HandoverRequest&, std::function<void(wire::HandoverReply)>)> handover;
    std::function<void(const wire::LocalOrder&, std::function<void(wire::LocalOrderReply)>)> order;
    std::function<void(const wire::StatusRequest&, std::function<void(wire::InstanceStatus)>)> status;
};

class peer_server {
public:
    /// Listens on @a host and @a port. Returns null when the address cannot be bound.
    static auto start(const std::string& host, std::uint16_t port, executor_thread& control_thread,
                      peer_handlers handlers) -> std::unique_ptr<peer_server>;

    peer_server(const peer_server&) = delete;
    auto operator=(const peer_server&) -> peer_server& = delete;
    ~peer_server();

private:
    class service;

    peer_server() = default;

    std::unique_ptr<service> m_service;
    std::unique_ptr<grpc::Server> m_server;
};

} // namespace teaselcross
