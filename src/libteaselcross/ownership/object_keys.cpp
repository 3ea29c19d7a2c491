#include "ownership/object_keys.h"

#include <algorithm>

namespace teaselcross::object_keys {

auto history(std::uint64_t version) -> std::string {
    constexpr auto width = std::size_t{12};
    const auto digits = std::to_string(version);
    return history_prefix + std::string(width - std::min(width, digits.size()), '0') + digits;
}

auto partitions(const service_id& service) -> std::string {
    return partition_prefix + service.value() + "/";
}

auto partition(const service_id& service, std::uint32_t index) -> std::string {
    return partitions(service) + std::to_string(index);
}

auto delegations(const data_centre_id& data_centre) -> std::string {
    return delegation_prefix + data_centre.value();
}

auto controller(const data_centre_id& data_centre) -> std::string {
    return controller_prefix + data_centre.value();
}

auto lease(const data_centre_id& data_centre) -> std::string {
    return lease_prefix + data_centre.value();
}

auto intent(const service_id& service, const std::string& operation) -> std::string {
    // Operation identities are arbitrary text from the caller, so they are encoded in hexadecimal.
    constexpr auto digits = "0123456789abcdef";
    auto key = intent_prefix + service.value() + "/";
    for (const auto character : operation) {
        const auto byte = static_cast<unsigned char>(character);
        key += digits[byte >> 4U];
        key += digits[byte & 0xfU];
    }
    return key;
}

} // namespace teaselcross::object_keys
