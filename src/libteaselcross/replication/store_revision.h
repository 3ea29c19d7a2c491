#pragma once

// Positions in the history of a versioned store.

#include <compare>
#include <cstdint>
#include <string>

namespace teaselcross {

/// Era of a store that was never restored.
constexpr auto first_store_era = std::uint64_t{1};

/// A revision of the store. A store that is restored from an older copy begins a new era and gives out the
/// numbers of the lost changes again, so a number says nothing without its era.
struct store_revision {
    std::uint64_t era = 0; ///< 0: the store does not report eras.
    std::uint64_t number = 0;

    /// Orders by era, then by number.
    auto operator<=>(const store_revision&) const = default;
};

/// The highest values that encode_revision() can represent.
constexpr auto max_era = (std::uint64_t{1} << 16U) - 1;
constexpr auto max_revision_number = (std::uint64_t{1} << 48U) - 1;

/// The revision as one number in the same order, as it is sent to other instances. Thread safe.
/// @pre the number is at most max_revision_number, and the era at most max_era.
auto encode_revision(const store_revision& revision) -> std::uint64_t;
/// Reverses encode_revision(). Thread safe.
auto decode_revision(std::uint64_t encoded) -> store_revision;

/// The number for logs, after the era and a colon if the store reports eras. Thread safe.
auto to_string(const store_revision& revision) -> std::string;

} // namespace teaselcross
