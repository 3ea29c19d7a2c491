#pragma once

// Rendezvous (highest random weight) hashing, after Thaler and Ravishankar, 1998.

#include <cstdint>
#include <string_view>

namespace teaselcross {

/// XXH3-64 of @a text.
auto hash_text(std::string_view text) -> std::uint64_t;

/// The weight of @a candidate for @a item; the candidate with the highest weight is chosen.
auto rendezvous_weight(std::uint64_t item, std::string_view candidate) -> std::uint64_t;

} // namespace teaselcross
