#include "commands/explain_request.h"

#include "explain/request_story.h"

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
        auto more = read_log(file);
        lines.insert(lines.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
    }
    const auto story = tell_story(lines, id);
    std::cout << to_text(story);
    if (story.empty()) {
        std::cerr << "teaselcross: none of the " << lines.size() << " lines names the request " << id
                  << ". Either it reached no instance whose log was given, or that process was killed before "
                     "it could write.\n";
        return exit_code::failed;
    }
    return unreadable ? exit_code::usage : exit_code::ok;
}

} // namespace teaselcross
