#pragma once

// When other instances last confirmed that they follow this controller.
//
// A report may wait in a socket while the controller is suspended, so the time at which it is read says
// nothing. Each answer of the controller carries a stamp, its own time, which the instance returns with its
// next report: the report was sent after that.

#include "core/identifier.h"
#include "core/time.h"

#include <map>
#include <string>

namespace teaselcross {

/// The stamp of a controller's answer, as an instance returns it.
struct report_stamp {
    instance_id controller; ///< The process that gave it; empty if there is none yet.
    instant at{};           ///< By the clock of that process.
};

struct report_times {
    std::map<std::string, instant> confirmed_at; ///< By the name of the instance.
};

/// Records a report of @a from to the controller @a self that was read at @a now. A stamp of another process,
/// or of the future, confirms nothing. Thread safe for different objects, like all functions here.
auto record_report(report_times& state, const std::string& from, const report_stamp& stamp,
                   const instance_id& self, instant now) -> void;

/// The number of instances that confirmed within @a validity before @a now.
auto count_recent_reports(const report_times& state, duration validity, instant now) -> std::size_t;

} // namespace teaselcross
