#include "commands/serve.h"

#include "control/controller_loop.h"
#include "control/keeper_loop.h"
#include "control/membership_loop.h"
#include "control/sync_loop.h"
#include "entry/forwarder.h"
#include "logging/log.h"
#include "operators/operator_api.h"
#include "operators/status_report.h"
#include "peer/conversions.h"
#include "peer/peer_server.h"
#include "runtime/clock.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdlib>
#include <future>
#include <iostream>
#include <random>

namespace teaselcross {

namespace {

/// The components of an instance, in the order of their dependencies.
struct instance {
    explicit instance(const settings& options)
        : store_client{store_duty, {options.platform_host, options.platform_port}},
          shared{.options = options,
                 .control_thread = control_duty,
                 .forward_thread = forward_duty,
                 .store = store_client,
                 .metrics_registry = measured,
                 .self = make_instance_id(options.instance.value(),
                                          static_cast<std::uint64_t>(wall_now().count())),
                 .process_token = std::random_device{}() + (std::uint64_t{std::random_device{}()} << 32U),
                 .mirror = object_mirror{std::random_device{}() | 1U},
                 .peers = peer_client{control_duty}},
          membership{shared}, sync{shared}, keeper{shared}, controller{shared},
          forwarding{
              options,
              forward_duty,
              control_duty,
              store_client,
              measured,
              shared.process_token,
              {.on_target_failure = [this](const target_id& target) { keeper.on_target_failure(target); },
               .on_target_loads = [this](const auto& measures) { keeper.on_target_loads(measures); }}},
          operators{shared} {
        shared.membership = &membership;
        shared.sync = &sync;
        shared.keeper = &keeper;
        shared.controller = &controller;
        shared.forwarding = &forwarding;
    }

    metrics measured;
    executor_thread store_duty{"store"};
    executor_thread forward_duty{"forward"};
    executor_thread control_duty{"control"};
    teaselcross::store_client store_client;
    instance_context shared;
    membership_loop membership;
    sync_loop sync;
    keeper_loop keeper;
    controller_loop controller;
    forwarder forwarding;
    operator_api operators;
    std::unique_ptr<peer_server> peers;
};

auto make_peer_handlers(instance& components) -> peer_handlers {
    return {.members =
                [&components](const wire::MembersRequest& request, const auto& done) {
                    components.membership.merge_members({from_wire(request.sender())});
                    auto reply = wire::MembersReply{};
                    *reply.add_members() = to_wire(components.membership.state().self);
                    for (const auto& [id, record] : components.membership.state().members) {
                        *reply.add_members() = to_wire(record);
                    }
                    done(std::move(reply));
                },
            .sync = [&components](const auto& request,
                                  const auto& done) { components.sync.answer_pull(request, done); },
            .report =
                [&components](const wire::KeeperReport& report, const auto& done) {
                    components.controller.on_report(report);
                    done({});
                },
            .handover = [&components](const auto& request,
                                      const auto& done) { components.keeper.answer_handover(request, done); },
            .order =
                [&components](const wire::LocalOrder& order, const auto& done) {
                    apply_local_order(components.shared, order);
                    done({});
                },
            .status = [&components](const auto&, const auto& done) { done(own_status(components.shared)); }};
}

/// Starts all listeners and loops. No request is served before the configuration has been read. Returns false
/// if a listener cannot be opened.
auto start(instance& components) -> bool {
    const auto& options = components.shared.options;
    try {
        components.membership.start();
        components.forwarding.start();
        components.operators.start();
    } catch (const boost::system::system_error& error) {
        std::cerr << "teaselcross: cannot listen on " << options.host << ": " << error.what() << "\n";
        return false;
    }
    components.peers = peer_server::start(options.host, options.ports.control, components.control_duty,
                                          make_peer_handlers(components));
    if (!components.peers) {
        std::cerr << "teaselcross: cannot listen on " << options.host << ":" << options.ports.control << "\n";
        return false;
    }
    components.sync.start();
    components.keeper.start();
    components.controller.start();
    return true;
}

/// Graceful shutdown: stops accepting requests and gives up the instance's roles, then hands its targets over
/// to other keepers. Finishes after that, or when the drain time is over.
class graceful_stop {
public:
    graceful_stop(instance& components, std::promise<void>& finished)
        : m_components{components}, m_finished{finished}, m_timer{components.control_duty.context()} {}

    /// Starts the shutdown. Call it on the control thread.
    auto begin() -> void {
        log::info("stopping", {});
        m_deadline = monotonic_now() + m_components.shared.options.drain_timeout;
        m_components.controller.resign();
        m_components.shared.stopping = true;
        m_components.membership.leave();
        m_components.sync.stop();
        m_components.forwarding.stop([this] { m_forwarding_done = true; });
        check_finished();
    }

private:
    auto check_finished() -> void {
        const auto& shared = m_components.shared;
        const auto no_other_members =
            live_members(m_components.membership.state(), shared.options.data_centre).empty();
        const auto handed_over = no_other_members || m_components.keeper.state().targets.empty();
        const auto timed_out = monotonic_now() >= m_deadline;
        const auto idle = m_forwarding_done && m_components.operators.busy() == 0;
        if ((idle && handed_over) || timed_out) {
            log::info("stopped", {{"handed_over", handed_over}, {"drained", m_forwarding_done}});
            m_finished.set_value();
            return;
        }
        m_timer.expires_after(std::chrono::milliseconds{20});
        m_timer.async_wait([this](const boost::system::error_code& error) {
            if (!error) {
                check_finished();
            }
        });
    }

    instance& m_components;
    std::promise<void>& m_finished;
    boost::asio::steady_timer m_timer;
    instant m_deadline{};
    bool m_forwarding_done = false;
};

} // namespace

auto serve(const settings& options) -> exit_code {
    log::start(options.instance.value(), options.log_level);
    auto components = std::make_unique<instance>(options);
    if (!start(*components)) {
        log::stop();
        return exit_code::usage;
    }
    log::info("started", {{"data_centre", options.data_centre}, {"host", options.host}});
    auto finished = std::promise<void>{};
    auto stop = graceful_stop{*components, finished};
    auto signals = boost::asio::signal_set{components->control_duty.context(), SIGTERM, SIGINT};
    signals.async_wait([&stop](const boost::system::error_code& error, int) {
        if (!error) {
            stop.begin();
        }
    });
    components->store_duty.start();
    components->forward_duty.start();
    components->control_duty.start();
    finished.get_future().wait();
    log::stop();
    // All requests have been answered or the drain time is over. Callers of open calls between instances
    // retry at another instance, and gRPC would wait for these calls without a limit, so the process ends
    // without running destructors.
    std::_Exit(static_cast<int>(exit_code::ok));
}

} // namespace teaselcross
