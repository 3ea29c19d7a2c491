#include "replication/store_revision.h"

namespace teaselcross {

namespace {

constexpr auto number_bits = 48U;
constexpr auto number_mask = (std::uint64_t{1} << number_bits) - 1;

} // namespace

auto encode_revision(const store_revision& revision) -> std::uint64_t {
    return (revision.era << number_bits) | (revision.number & number_mask);
}

auto decode_revision(std::uint64_t encoded) -> store_revision {
    return {.era = encoded >> number_bits, .number = encoded & number_mask};
}

auto to_string(const store_revision& revision) -> std::string {
    const auto number = std::to_string(revision.number);
    return revision.era == 0 ? number : std::to_string(revision.era) + ":" + number;
}

} // namespace teaselcross
