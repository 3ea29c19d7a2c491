#include "peer/peer_server.h"

namespace teaselcross {

class peer_server::service : public wire::Peer::CallbackService {
public:
    service(executor_thread& control_thread, peer_handlers handlers)
        : m_control_thread{control_thread}, m_handlers{std::move(handlers)} {}

    auto Members(grpc::CallbackServerContext* context, const wire::MembersRequest* request,
                 wire::MembersReply* reply) -> grpc::ServerUnaryReactor* override {
        return answer(context, request, reply, m_handlers.members);
    }
    auto Sync(grpc::CallbackServerContext* context, const wire::SyncRequest* request, wire::SyncReply* reply)
        -> grpc::ServerUnaryReactor* override {
        return answer(context, request, reply, m_handlers.sync);
    }
    auto Report(grpc::CallbackServerContext* context, const wire::KeeperReport* request,
                wire::KeeperReportReply* reply) -> grpc::ServerUnaryReactor* override {
        return answer(context, request, reply, m_handlers.report);
    }
    auto Handover(grpc::CallbackServerContext* context, const wire::HandoverRequest* request,
                  wire::HandoverReply* reply) -> grpc::ServerUnaryReactor* override {
        return answer(context, request, reply, m_handlers.handover);
    }
    auto Order(grpc::CallbackServerContext* context, const wire::LocalOrder* request,
               wire::LocalOrderReply* reply) -> grpc::ServerUnaryReactor* override {
        return answer(context, request, reply, m_handlers.order);
    }
    auto Status(grpc::CallbackServerContext* context, const wire::StatusRequest* request,
                wire::InstanceStatus* reply) -> grpc::ServerUnaryReactor* override {
        return answer(context, request, reply, m_handlers.status);
    }

private:
    template <class Request, class Reply>
    auto answer(grpc::CallbackServerContext* context, const Request* request, Reply* reply,
                const std::function<void(const Request&, std::function<void(Reply)>)>& handler)
        -> grpc::ServerUnaryReactor* {
        auto* const reactor = context->DefaultReactor();
        // The request is valid until the reactor has finished.
        const auto accepted = m_control_thread.try_post([request, reply, reactor, &handler] {
            handler(*request, [reply, reactor](Reply result) {
                *reply = std::move(result);
                reactor->Finish(grpc::Status::OK);
            });
        });
        if (!accepted) {
            reactor->Finish({grpc::StatusCode::RESOURCE_EXHAUSTED, "the control thread is busy"});
        }
        return reactor;
    }

    executor_thread& m_control_thread;
    peer_handlers m_handlers;
};

auto peer_server::start(const std::string& host, std::uint16_t port, executor_thread& control_thread,
                        peer_handlers handlers) -> std::unique_ptr<peer_server> {
    auto created = std::unique_ptr<peer_server>{new peer_server};
    created->m_service = std::make_unique<service>(control_thread, std::move(handlers));
    auto builder = grpc::ServerBuilder{};
    auto bound = 0;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(host + ":" + std::to_string(port), grpc::InsecureServerCredentials(), &bound);
    builder.RegisterService(created->m_service.get());
    created->m_server = builder.BuildAndStart();
    if (!created->m_server || bound == 0) {
        return nullptr;
    }
    return created;
}

peer_server::~peer_server() {
    if (m_server) {
        m_server->Shutdown(std::chrono::system_clock::now());
    }
}

} // namespace teaselcross
