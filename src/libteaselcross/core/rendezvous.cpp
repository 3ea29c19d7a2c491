#include "core/rendezvous.h"

#include <xxhash.h>

namespace teaselcross {

auto hash_text(std::string_view text) -> std::uint64_t {
    return XXH3_64bits(text.data(), text.size());
}

auto rendezvous_weight(std::uint64_t item, std::string_view candidate) -> std::uint64_t {
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), item);
}

} // namespace teaselcross
