#pragma once

// Keys of the system's own objects in the platform's store.

#include "core/identifier.h"

#include <cstdint>
#include <string>

namespace teaselcross::object_keys {

/// Every instance keeps a copy of the objects under this prefix.
inline const std::string mirrored_prefix = "shared/";
inline const std::string configuration = mirrored_prefix + "config";
inline const std::string partition_prefix = mirrored_prefix + "partitions/";
inline const std::string delegation_prefix = mirrored_prefix + "delegations/";
inline const std::string controller_prefix = mirrored_prefix + "controllers/";
inline const std::string history_prefix = "history/";
inline const std::string lease_prefix = "leases/";
inline const std::string intent_prefix = "intents/";

/// One audit entry. The number has a fixed width, so that keys sort by version.
auto history(std::uint64_t version) -> std::string;
auto partitions(const service_id& service) -> std::string;
auto partition(const service_id& service, std::uint32_t index) -> std::string;
auto delegations(const data_centre_id& data_centre) -> std::string;
auto controller(const data_centre_id& data_centre) -> std::string;
auto lease(const data_centre_id& data_centre) -> std::string;
auto intent(const service_id& service, const std::string& operation) -> std::string;

} // namespace teaselcross::object_keys
