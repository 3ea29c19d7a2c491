#pragma once

// Exit codes of the command line; `teaselcross --help` lists them.

namespace teaselcross {

enum class exit_code {
    ok = 0,
    failed = 1,      ///< The instance refused, or an answer says no.
    usage = 2,       ///< The command line or a file is wrong.
    unreachable = 3, ///< No answer from the instance.
    conflict = 4,    ///< The patch is for another version.
};

} // namespace teaselcross
