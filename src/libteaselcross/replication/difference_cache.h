#pragma once

// Recent differences between versions of objects, for followers of a copy.
//
// Versions are revisions of the store, which no two objects share, so a difference needs no key.

#include "replication/store_revision.h"

#include <deque>
#include <string>
#include <vector>

namespace teaselcross {

/// The difference between two versions of one object, as text.
struct object_difference {
    store_revision from;
    store_revision to;
    std::string text;
};

/// Keeps the latest differences. Not thread safe.
class difference_cache {
public:
    /// Keeps up to @a capacity differences.
    explicit difference_cache(std::size_t capacity) : m_capacity{capacity} {}

    /// Adds a difference and drops the oldest one if there are too many.
    auto add(object_difference difference) -> void;

    /// The differences that lead from one version to another, to be applied in order; empty if some are
    /// missing or the versions are equal. They are valid until the next add().
    auto find(const store_revision& after, const store_revision& to) const
        -> std::vector<const object_difference*>;

private:
    std::size_t m_capacity;
    std::deque<object_difference> m_differences;
};

} // namespace teaselcross
