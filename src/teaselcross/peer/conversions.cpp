#include "peer/conversions.h"

namespace teaselcross {

namespace {

auto milliseconds(duration period) -> std::uint64_t {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(period).count());
}

} // namespace

auto to_wire(const member& from) -> wire::Member {
    auto to = wire::Member{};
    to.set_id(from.id.value());
    to.set_data_centre(from.data_centre.value());
    auto* const address = to.mutable_address();
    address->set_host(from.address.host);
    address->set_forward_port(from.address.forward_port);
    address->set_control_port(from.address.control_port);
    address->set_membership_port(from.address.membership_port);
    address->set_operator_port(from.address.operator_port);
    to.set_state(static_cast<std::uint32_t>(from.state));
    to.set_incarnation(from.incarnation);
    to.set_config_version(from.config_version);
    return to;
}

auto from_wire(const wire::Member& from) -> member {
    const auto& address = from.address();
    return {.id = instance_id{from.id()},
            .data_centre = data_centre_id{from.data_centre()},
            .address = {.host = address.host(),
                        .forward_port = static_cast<std::uint16_t>(address.forward_port()),
                        .control_port = static_cast<std::uint16_t>(address.control_port()),
                        .membership_port = static_cast<std::uint16_t>(address.membership_port()),
                        .operator_port = static_cast<std::uint16_t>(address.operator_port())},
            .state = static_cast<member_state>(from.state()),
            .incarnation = from.incarnation(),
            .config_version = from.config_version()};
}

auto to_wire(const probe_message& from) -> wire::Probe {
    auto to = wire::Probe{};
    to.set_kind(static_cast<std::uint32_t>(from.kind));
    to.set_sequence(from.sequence);
    *to.mutable_sender() = to_wire(from.sender);
    to.set_subject(from.subject.value());
    for (const auto& update : from.updates) {
        *to.add_updates() = to_wire(update);
    }
    return to;
}

auto from_wire(const wire::Probe& from) -> probe_message {
    auto to = probe_message{.kind = static_cast<probe_kind>(from.kind()),
                            .sequence = from.sequence(),
                            .sender = from_wire(from.sender()),
                            .subject = instance_id{from.subject()},
                            .updates = {}};
    for (const auto& update : from.updates()) {
        to.updates.push_back(from_wire(update));
    }
    return to;
}

auto to_wire(const target_report& from) -> wire::TargetReport {
    auto to = wire::TargetReport{};
    to.set_target(from.target.value());
    to.set_epoch(from.epoch);
    to.set_phase(static_cast<std::uint32_t>(from.phase));
    to.set_incarnation(from.incarnation);
    to.set_in_phase_ms(milliseconds(from.in_phase));
    to.set_warmth(from.warmth);
    to.set_predecessors_stopped(from.predecessors_stopped);
    for (const auto& shard : from.shards) {
        auto* const added = to.add_shards();
        added->set_service(shard.service.value());
        added->set_shard(number(shard.shard));
        added->set_fence(shard.fence);
        added->set_clear(shard.clear.has_value());
        if (shard.clear) {
            added->set_proof(static_cast<std::uint32_t>(*shard.clear));
        } else {
            added->set_wait(static_cast<std::uint32_t>(shard.clear.error()));
        }
    }
    return to;
}

auto from_wire(const wire::TargetReport& from, const instance_id& keeper) -> target_report {
    auto to = target_report{.target = target_id{from.target()},
                            .keeper = keeper,
                            .epoch = from.epoch(),
                            .phase = static_cast<target_phase>(from.phase()),
                            .incarnation = from.incarnation(),
                            .in_phase = std::chrono::milliseconds{from.in_phase_ms()},
                            .warmth = from.warmth(),
                            .predecessors_stopped = from.predecessors_stopped(),
                            .shards = {}};
    for (const auto& shard : from.shards()) {
        auto added = shard_report{.service = service_id{shard.service()},
                                  .shard = shard_id{shard.shard()},
                                  .fence = shard.fence(),
                                  .clear = static_cast<clear_proof>(shard.proof())};
        if (!shard.clear()) {
            added.clear = tl::unexpected(static_cast<clear_wait>(shard.wait()));
        }
        to.shards.push_back(std::move(added));
    }
    return to;
}

auto to_wire(const store_object& from) -> wire::StoreObject {
    auto to = wire::StoreObject{};
    to.set_key(from.key);
    to.set_version(encode_revision(from.version));
    to.set_value(from.value);
    to.set_removed(from.removed);
    return to;
}

auto from_wire(const wire::StoreObject& from) -> store_object {
    return {.key = from.key(),
            .version = decode_revision(from.version()),
            .value = from.value(),
            .removed = from.removed()};
}

} // namespace teaselcross
