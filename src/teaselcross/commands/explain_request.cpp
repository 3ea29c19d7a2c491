#include "commands/explain_request.h"

#include "explain/request_timeline.h"

#include <fstream>
#include <iostream>

namespace teaselcross {

auto explain_request(const std::string& id, const std::vector<std::string>& files) -> exit_code {
    if (id.empty() || files.empty()) {
        std::cerr << "usage: teaselcross explain --request ID LOG...\n";
        return exit_code::usage;
    }
    auto lines = std::vector<log_line>{};
    auto unreadable = false;
    for (const auto& name : files) {
        auto file = std::ifstream{name};
        if (!file) {
            std::cerr << "teaselcross: cannot read '" << name << "'\n";
            unreadable = true;
            continue;
        }
        auto parsed = read_log(file);
        lines.insert(lines.end(), std::make_move_iterator(parsed.begin()),
                     std::make_move_iterator(parsed.end()));
    }
    const auto timeline = build_timeline(lines, id);
    std::cout << to_text(timeline);
    if (timeline.empty()) {
        std::cerr
            << "teaselcross: none of the " << lines.size() << " log lines contains the request ID " << id
            << ". Either no instance whose log was given received the request, or the process was killed "
               "before it could write the line.\n";
        return exit_code::failed;
    }
    return unreadable ? exit_code::usage : exit_code::ok;
}

} // namespace teaselcross
