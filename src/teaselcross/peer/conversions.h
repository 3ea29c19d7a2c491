#pragma once

// Conversions between the library's types and the protobuf messages between instances.

#include "membership/detector.h"
#include "ownership/mover.h"
#include "peer.pb.h"
#include "store/store_client.h"

namespace teaselcross {

auto to_wire(const member& from) -> wire::Member;
auto from_wire(const wire::Member& from) -> member;

auto to_wire(const probe_message& from) -> wire::Probe;
auto from_wire(const wire::Probe& from) -> probe_message;

auto to_wire(const target_report& from) -> wire::TargetReport;
auto from_wire(const wire::TargetReport& from, const instance_id& keeper) -> target_report;

auto to_wire(const store_object& from) -> wire::StoreObject;
auto from_wire(const wire::StoreObject& from) -> store_object;

} // namespace teaselcross
