#pragma once

// The two users' installations on loopback addresses: settings, description, targets and instances as files.

#include <cstdint>
#include <string>

namespace teaselcross::lab {

struct shape_options {
    std::string name = "midlands"; ///< Or "finland".
    std::string directory;         ///< Where the files go; it has to exist.
    std::uint32_t instances = 12;
    double work_ms = 2; ///< What a lookup takes at a target.
};

/// Writes the files of a shape. False for an unknown name.
auto write_shape(const shape_options& options) -> bool;

} // namespace teaselcross::lab
