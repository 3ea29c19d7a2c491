#include "soak/foreign_entries.h"

namespace teaselcross::soak {

auto foreign_names(const std::string& prefix) -> std::vector<std::string> {
    auto names = std::vector<std::string>{};
    for (const auto* end : {"&x",        "&after=a",
                            "+x",        "#x",
                            "%",         "%41",
                            "%zz",       " x",
                            " HTTP/1.1", "?x=1",
                            "=",         "/x",
                            "/../a",     "\r\nX-Injected: 1\r\n",
                            "\t",        "\x01",
                            "\"",        "\\",
                            "\xc3\xa9",  "\xf0\x9f\x90\x9f"}) {
        names.push_back(prefix + end);
    }
    names.push_back(prefix + std::string(1, '\0') + "x");
    return names;
}

} // namespace teaselcross::soak
