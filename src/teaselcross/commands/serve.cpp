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

/// All parts of an instance, in the order in which they depend on each other.
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

auto handlers_of(instance& parts) -> peer_handlers {
    return {
        .members =
            [&parts](const wire::MembersRequest& request, const auto& done) {
                parts.membership.merge_members({from_wire(request.sender())});
                auto reply = wire::MembersReply{};
                *reply.add_members() = to_wire(parts.membership.state().self);
                for (const auto& [id, record] : parts.membership.state().members) {
                    *reply.add_members() = to_wire(record);
                }
                done(std::move(reply));
            },
        .sync = [&parts](const auto& request, const auto& done) { parts.sync.answer_pull(request, done); },
        .report =
            [&parts](const wire::KeeperReport& report, const auto& done) {
                parts.controller.on_report(report);
                done({});
            },
        .handover = [&parts](const auto& request,
                             const auto& done) { parts.keeper.answer_handover(request, done); },
        .order =
            [&parts](const wire::LocalOrder& order, const auto& done) {
                apply_local_order(parts.shared, order);
                done({});
            },
        .status = [&parts](const auto&, const auto& done) { done(own_status(parts.shared)); }};
}

/// Starts all listeners. Nothing is served before the configuration is known.
auto start(instance& parts) -> bool {
    const auto& options = parts.shared.options;
    try {
        parts.membership.start();
        parts.forwarding.start();
        parts.operators.start();
    } catch (const boost::system::system_error& error) {
        std::cerr << "teaselcross: cannot listen on " << options.host << ": " << error.what() << "\n";
        return false;
    }
    parts.peers =
        peer_server::start(options.host, options.ports.control, parts.control_duty, handlers_of(parts));
    if (!parts.peers) {
        std::cerr << "teaselcross: cannot listen on " << options.host << ":" << options.ports.control << "\n";
        return false;
    }
    parts.sync.start();
    parts.keeper.start();
    parts.controller.start();
    return true;
}

/// The planned stop: no new callers, no roles, then the targets go to other keepers, then the end.
class graceful_stop {
public:
    graceful_stop(instance& parts, std::promise<void>& finished)
        : m_parts{parts}, m_finished{finished}, m_timer{parts.control_duty.context()} {}

    /// On the control thread.
    auto begin() -> void {
        log::info("stopping", {});
        m_until = monotonic_now() + m_parts.shared.options.drain_timeout;
        m_parts.controller.resign();
        m_parts.shared.stopping = true;
        m_parts.membership.leave();
        m_parts.sync.stop();
        m_parts.forwarding.stop([this] { m_forward_done = true; });
        watch();
    }

private:
    auto watch() -> void {
        const auto& shared = m_parts.shared;
        const auto alone = live_members(m_parts.membership.state(), shared.options.data_centre).empty();
        const auto handed_over = alone || m_parts.keeper.state().targets.empty();
        const auto over = monotonic_now() >= m_until;
        const auto quiet = m_forward_done && m_parts.operators.busy() == 0;
        if ((quiet && handed_over) || over) {
            log::info("stopped", {{"handed_over", handed_over}, {"drained", m_forward_done}});
            m_finished.set_value();
            return;
        }
        m_timer.expires_after(std::chrono::milliseconds{20});
        m_timer.async_wait([this](const boost::system::error_code& error) {
            if (!error) {
                watch();
            }
        });
    }

    instance& m_parts;
    std::promise<void>& m_finished;
    boost::asio::steady_timer m_timer;
    instant m_until{};
    bool m_forward_done = false;
};

} // namespace

auto serve(const settings& options) -> exit_code {
    log::start(options.instance.value(), options.log_level);
    auto parts = std::make_unique<instance>(options);
    if (!start(*parts)) {
        log::stop();
        return exit_code::usage;
    }
    log::info("started", {{"data_centre", options.data_centre}, {"host", options.host}});
    auto finished = std::promise<void>{};
    auto stop = graceful_stop{*parts, finished};
    auto signals = boost::asio::signal_set{parts->control_duty.context(), SIGTERM, SIGINT};
    signals.async_wait([&stop](const boost::system::error_code& error, int) {
        if (!error) {
            stop.begin();
        }
    });
    parts->store_duty.start();
    parts->forward_duty.start();
    parts->control_duty.start();
    finished.get_future().wait();
    log::stop();
    // Every request has been answered. What is left are calls between instances, whose peers try elsewhere,
    // and gRPC would wait for them without a limit.
    std::_Exit(static_cast<int>(exit_code::ok));
}

} // namespace teaselcross
