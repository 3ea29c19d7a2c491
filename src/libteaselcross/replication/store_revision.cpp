#include "replication/store_revision.h"

namespace teaselcross {

namespace {

constexpr auto number_bits = 48U;

} // namespace

auto encode_revision(const store_revision& revision) -> std::uint64_t {
    return (revision.era << number_bits) | (revision.number & max_revision_number);
}

auto decode_revision(std::uint64_t encoded) -> store_revision {
    return {.era = encoded >> number_bits, .number = encoded & max_revision_number};
}

auto to_string(const store_revision& revision) -> std::string {
    const auto number = std::to_string(revision.number);
    return revision.era == 0 ? number : std::to_string(revision.era) + ":" + number;
}

} // namespace teaselcross
