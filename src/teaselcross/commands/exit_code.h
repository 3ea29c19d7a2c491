#pragma once

// Exit codes of the command line; `teaselcross --help` lists them.

namespace teaselcross {

enum class exit_code {
    ok = 0,
    failed = 1,      ///< The instance rejected the request or the operation failed.
    usage = 2,       ///< The command line or an input file is invalid.
    unreachable = 3, ///< The instance did not respond.
    conflict = 4,    ///< The patch is based on a version that is not in force.
};

} // namespace teaselcross
