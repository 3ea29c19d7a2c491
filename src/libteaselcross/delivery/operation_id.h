#pragma once

// Identities of operations that must not repeat.

#include "core/identifier.h"
#include "core/time.h"

#include <optional>
#include <string>

namespace teaselcross {

/// An identity that this system issued. Only the keeper of its home target ever runs it, so that a repeat
/// finds the memory of the first try wherever shards have moved in between.
struct issued_operation {
    wall_time issued{};
    std::uint64_t random = 0;
    target_id home;

    auto operator==(const issued_operation&) const -> bool = default;
};

/// The text form, "tc1-MILLISECONDS-RANDOM-HOME" with hexadecimal numbers.
auto to_text(const issued_operation& id) -> std::string;

/// Reads the text form; nothing for an identity that the caller has chosen itself. Thread safe.
auto parse_issued(const std::string& text) -> std::optional<issued_operation>;

} // namespace teaselcross
