#pragma once

// What an instance hears of other instances' copies of the objects of one kind: whether one of them has had a
// later state for longer than changes take to spread.

#include "core/time.h"
#include "replication/store_revision.h"

#include <optional>
#include <string>

namespace teaselcross {

/// A state that another instance was heard to have and this one has not.
struct later_copy {
    store_revision first; ///< The earliest such state that this instance still lacks.
    instant first_heard_at{};
    store_revision latest;
    instant latest_heard_at{};
    std::string instance; ///< The one with the latest.
};

/// Not thread safe.
struct copy_news {
    std::optional<later_copy> later;
};

/// Records that @a instance has a different copy that is complete up to @a theirs, where @a own is complete
/// up to its revision. Copies that are no later are ignored.
auto hear_copy(copy_news& news, const std::string& instance, const store_revision& theirs,
               const store_revision& own, instant now) -> void;

/// The instance to fetch from if the copy, complete up to @a own, has lacked a state for @a tolerance;
/// nothing otherwise.
auto instance_ahead(copy_news& news, const store_revision& own, duration tolerance, instant now)
    -> std::optional<std::string>;

/// Forgets what @a instance was heard to have, as it did not answer or had nothing later.
auto forget_copy(copy_news& news, const std::string& instance) -> void;

} // namespace teaselcross
