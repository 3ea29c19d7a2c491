#include "control/membership_loop.h"

#include "control/controller_loop.h"
#include "control/keeper_loop.h"
#include "control/sync_loop.h"
#include "logging/log.h"
#include "peer/conversions.h"
#include "runtime/clock.h"

#include <algorithm>

namespace teaselcross {

namespace asio = boost::asio;

namespace {

constexpr auto tick_period = std::chrono::milliseconds{20};
constexpr auto first_list_period =
    duration{std::chrono::milliseconds{500}}; ///< While no other member is known.
constexpr auto non_relay_list_period =
    duration{std::chrono::minutes{10}}; ///< For instances that are not relays.
constexpr auto relay_list_period = duration{std::chrono::seconds{5}};
constexpr auto max_members_asked =
    std::size_t{3}; ///< Instances asked for members after each read of the list.
constexpr auto join_timeout = duration{std::chrono::seconds{1}};

auto make_self(const settings& options, const instance_id& process) -> member {
    return {.id = process,
            .data_centre = options.data_centre,
            .address = {.host = options.host,
                        .forward_port = options.ports.forward,
                        .control_port = options.ports.control,
                        .membership_port = options.ports.membership,
                        .operator_port = options.ports.operators},
            .state = member_state::alive,
            // The start time orders the incarnations, so a restarted instance supersedes its earlier
            // process.
            .incarnation = static_cast<std::uint64_t>(wall_now().count()),
            .config_version = 0};
}

auto parse_platform_list(const std::string& body) -> std::vector<member> {
    auto listed = std::vector<member>{};
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("instances")) {
        return listed;
    }
    for (const auto& entry : document.at("instances")) {
        const auto& ports = entry.at("ports");
        listed.push_back({.id = instance_id{entry.at("id").get<std::string>()},
                          .data_centre = data_centre_id{entry.at("data_centre").get<std::string>()},
                          .address = {.host = entry.at("host").get<std::string>(),
                                      .forward_port = ports.at("forward").get<std::uint16_t>(),
                                      .control_port = ports.at("control").get<std::uint16_t>(),
                                      .membership_port = ports.at("membership").get<std::uint16_t>(),
                                      .operator_port = ports.at("operators").get<std::uint16_t>()},
                          .state = entry.value("leaving", false) ? member_state::left : member_state::alive,
                          .incarnation = 0,
                          .config_version = 0});
    }
    return listed;
}

} // namespace

membership_loop::membership_loop(instance_context& instance)
    : m_instance{instance}, m_detector{make_detector(make_self(instance.options, instance.self),
                                                     instance.options.membership, instance.process_token)},
      m_socket{instance.control_thread.context()}, m_timer{instance.control_thread.context()} {}

auto membership_loop::start() -> void {
    const auto address = asio::ip::make_address(m_instance.options.host);
    const auto local = asio::ip::udp::endpoint{address, m_instance.options.ports.membership};
    m_socket.open(local.protocol());
    m_socket.bind(local);
    m_socket.non_blocking(true);
    receive();
    tick();
}

auto membership_loop::leave() -> void {
    apply(teaselcross::leave(m_detector));
}

auto membership_loop::find(const instance_id& id) const -> const member* {
    if (id == m_detector.self.id) {
        return &m_detector.self;
    }
    const auto found = m_detector.members.find(id);
    return found == m_detector.members.end() ? nullptr : &found->second;
}

auto membership_loop::is_live(const instance_id& id) const -> bool {
    const auto* const record = find(id);
    return record != nullptr && record->state <= member_state::suspect;
}

auto membership_loop::is_delisted(const instance_id& id) const -> bool {
    const auto name = instance_name(id);
    // The list lags behind, so an instance that has never been listed may just be too new.
    return m_ever_listed.contains(name) && !m_listed.contains(name);
}

auto membership_loop::merge_members(const std::vector<member>& members) -> void {
    apply(on_members(m_detector, members, monotonic_now()));
}

auto membership_loop::receive() -> void {
    m_socket.async_receive_from(
        asio::buffer(m_buffer), m_sender, [this](const boost::system::error_code& error, std::size_t size) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            auto message = wire::Probe{};
            if (!error && message.ParseFromArray(m_buffer.data(), static_cast<int>(size))) {
                m_instance.metrics_registry.count(counter::membership_bytes_received, size);
                apply(on_message(m_detector, from_wire(message), monotonic_now()));
            }
            receive();
        });
}

auto membership_loop::tick() -> void {
    const auto now = monotonic_now();
    apply(on_tick(m_detector, now));
    if (now >= m_next_list_read) {
        m_next_list_read = now + list_read_delay();
        read_platform_list();
    }
    m_timer.expires_after(tick_period);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            tick();
        }
    });
}

auto membership_loop::apply(const detector_result& result) -> void {
    for (const auto& probe : result.outgoing) {
        const auto bytes = to_wire(probe.message).SerializeAsString();
        auto error = boost::system::error_code{};
        const auto address = asio::ip::make_address(probe.to.host, error);
        if (error) {
            continue;
        }
        m_socket.send_to(asio::buffer(bytes), {address, probe.to.membership_port}, 0, error);
        m_instance.metrics_registry.count(counter::membership_bytes_sent, bytes.size());
    }
    for (const auto& change : result.changes) {
        log::info("member", {{"id", change.current.id},
                             {"data_centre", change.current.data_centre},
                             {"state", name_in(member_state_names, change.current.state)}});
    }
    if (!result.changes.empty()) {
        m_instance.keeper->on_membership_changed();
        m_instance.controller->on_mirror_changed();
        m_instance.sync->on_membership_changed();
        publish_routing(m_instance);
    }
}

auto membership_loop::list_read_delay() const -> duration {
    if (m_detector.members.empty()) {
        return first_list_period;
    }
    return m_instance.sync->is_relay() ? relay_list_period : non_relay_list_period;
}

auto membership_loop::read_platform_list() -> void {
    auto call = store_call{};
    call.kind = store_call_kind::instances;
    static_cast<void>(
        m_instance.store.call(std::move(call), m_instance.control_thread, [this](const store_reply& reply) {
            if (reply.status != store_status::ok) {
                return;
            }
            auto listed = parse_platform_list(reply.body);
            m_listed.clear();
            for (const auto& each : listed) {
                m_listed.insert(each.id.value());
            }
            m_ever_listed.insert(m_listed.begin(), m_listed.end());
            join(listed);
        }));
}

auto membership_loop::join(const std::vector<member>& listed) -> void {
    // The list lags behind, and it names instances but not their processes. Listed instances that membership
    // does not know yet are asked for the members that they know.
    auto known = std::set<std::string>{m_instance.options.instance.value()};
    for (const auto& [id, record] : m_detector.members) {
        if (record.state <= member_state::suspect) {
            known.insert(instance_name(id));
        }
    }
    auto unknown = std::vector<member_address>{};
    for (const auto& each : listed) {
        if (each.state == member_state::alive && !known.contains(each.id.value())) {
            unknown.push_back(each.address);
        }
    }
    std::shuffle(unknown.begin(), unknown.end(), m_detector.random);
    unknown.resize(std::min(unknown.size(), max_members_asked));
    for (const auto& address : unknown) {
        request_members(address);
    }
}

auto membership_loop::request_members(const member_address& address) -> void {
    auto request = wire::MembersRequest{};
    *request.mutable_sender() = to_wire(m_detector.self);
    m_instance.peers.call<wire::MembersRequest, wire::MembersReply>(
        address, &wire::Peer::StubInterface::async_interface::Members, std::move(request), join_timeout,
        [this](const grpc::Status& status, const wire::MembersReply& reply) {
            auto members = std::vector<member>{};
            for (const auto& each : reply.members()) {
                members.push_back(from_wire(each));
            }
            if (status.ok()) {
                merge_members(members);
            }
        });
}

} // namespace teaselcross
