#pragma once

// Identities of operations that must run at most once.

#include "core/identifier.h"
#include "core/time.h"

#include <optional>
#include <string>

namespace teaselcross {

/// An identity that this system issued. Only the keeper of its home target runs it, so a repeat finds the
/// record of the first attempt even if shards have moved since.
struct issued_operation {
    wall_time issued{};
    std::uint64_t random = 0;
    target_id home;

    auto operator==(const issued_operation&) const -> bool = default;
};

/// Formats the identity as "tc1-MILLISECONDS-RANDOM-HOME" with hexadecimal numbers.
auto to_text(const issued_operation& id) -> std::string;

/// Parses the text form; returns nothing for any other text, such as an identity chosen by the caller. Thread
/// safe.
auto parse_issued(const std::string& text) -> std::optional<issued_operation>;

} // namespace teaselcross
