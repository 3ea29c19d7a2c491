// The command line of teaselcross.

#include "commands/explain_request.h"
#include "commands/gateway_command.h"
#include "commands/operator_commands.h"
#include "commands/serve.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

namespace po = boost::program_options;
using teaselcross::exit_code;

constexpr auto version_text = "teaselcross 0.1.0\n";

constexpr auto help_text = R"(teaselcross: a router for servers that own keys exclusively

  teaselcross serve --settings FILE       run one instance until SIGTERM
  teaselcross check-settings FILE         check a settings file, report all faults
  teaselcross gateway [FILE]              run one instance on the platform until SIGTERM
  teaselcross check-gateway-settings [FILE]
                                          the same checks for the platform's settings
  teaselcross config show                 the configuration in force
  teaselcross config check FILE           check a whole description, report all faults
  teaselcross config patch --base N FILE  apply a JSON Merge Patch to version N, or be refused
  teaselcross config history              the audit trail
  teaselcross target drain NAME           no new work for a target; its keys move elsewhere
  teaselcross target restore NAME         take it back
  teaselcross target declare-lost NAME    you vouch that it runs no more: its keys may move without its word
  teaselcross data-centre out NAME        no new work for a whole data centre
  teaselcross data-centre in NAME         take it back
  teaselcross status [--json]             where the system stands, and whether you need to act
  teaselcross explain SERVICE KEY         who owns a key, and why
  teaselcross explain --request ID LOG... what became of a request, from the logs of any number of instances
  teaselcross version

Operators' commands talk to any instance: --instance IP:PORT (its operators' port).
A first configuration is a patch on version 0.

Exit codes: 0 done, 1 refused, 2 wrong usage or a faulty file, 3 no answer from the instance,
            4 the patch is for another version than the one in force.

)";

auto read_settings(const std::string& name) -> tl::expected<teaselcross::settings, exit_code> {
    auto file = std::ifstream{name};
    if (!file) {
        std::cerr << "teaselcross: cannot read '" << name << "'\n";
        return tl::unexpected(exit_code::usage);
    }
    auto text = std::ostringstream{};
    text << file.rdbuf();
    auto read = teaselcross::parse_settings(text.str());
    if (!read) {
        std::cerr << teaselcross::to_text(read.error(), name);
        return tl::unexpected(exit_code::usage);
    }
    return *read;
}

auto run(const std::string& command, const po::variables_map& given, teaselcross::operator_options options)
    -> exit_code {
    if (command == "serve" || command == "check-settings") {
        const auto from_option = given.count("settings") > 0;
        if (!from_option && options.arguments.empty()) {
            std::cerr << "usage: teaselcross " << command << " --settings FILE\n";
            return exit_code::usage;
        }
        const auto settings =
            read_settings(from_option ? given["settings"].as<std::string>() : options.arguments[0]);
        if (!settings) {
            return settings.error();
        }
        if (command == "check-settings") {
            std::cout << "no faults\n";
            return exit_code::ok;
        }
        return teaselcross::serve(*settings);
    }
    if (command == "gateway" || command == "check-gateway-settings") {
        return teaselcross::gateway_command(command, options.arguments);
    }
    if (command == "config") {
        return teaselcross::config_command(options);
    }
    if (command == "target") {
        return teaselcross::target_command(options);
    }
    if (command == "data-centre") {
        return teaselcross::data_centre_command(options);
    }
    if (command == "status") {
        return teaselcross::status_command(options);
    }
    if (command == "explain" && given.count("request") > 0) {
        return teaselcross::explain_request(given["request"].as<std::string>(), options.arguments);
    }
    if (command == "explain") {
        return teaselcross::explain_command(options);
    }
    if (command == "version") {
        std::cout << version_text;
        return exit_code::ok;
    }
    std::cerr << "teaselcross: there is no command '" << command << "'\n" << help_text;
    return exit_code::usage;
}

} // namespace

auto main(int argc, char** argv) -> int {
    auto options = teaselcross::operator_options{};
    auto command = std::string{};
    auto visible = po::options_description{"Options"};
    visible.add_options()("help", "show this text")("settings", po::value<std::string>(),
                                                    "the settings file")(
        "request", po::value<std::string>(), "the ID of the request to explain from logs")(
        "instance", po::value(&options.instance), "operators' address of any instance, IP:PORT")(
        "base", po::value(&options.base), "the version that a patch is for")(
        "id", po::value(&options.id), "the patch's ID; a repeat under the same ID never applies twice")(
        "who", po::value(&options.who), "who makes the change, for the audit trail")(
        "why", po::value(&options.why), "why, for the audit trail")(
        "wait", po::bool_switch(&options.wait), "return when every live instance has the new version")(
        "json", po::bool_switch(&options.json),
        "status as JSON")("local", po::bool_switch(&options.local),
                          "an order for a cut-off data centre, at once and there only");
    auto all = po::options_description{};
    all.add(visible).add_options()("command", po::value(&command))("arguments",
                                                                   po::value(&options.arguments));
    auto positions = po::positional_options_description{};
    positions.add("command", 1).add("arguments", -1);
    auto given = po::variables_map{};
    try {
        po::store(po::command_line_parser(argc, argv).options(all).positional(positions).run(), given);
        po::notify(given);
    } catch (const po::error& error) {
        std::cerr << "teaselcross: " << error.what() << "\n";
        return static_cast<int>(exit_code::usage);
    }
    if (given.count("help") > 0 || command.empty()) {
        std::cout << help_text << visible << "\n";
        return static_cast<int>(given.count("help") > 0 ? exit_code::ok : exit_code::usage);
    }
    options.has_base = given.count("base") > 0;
    return static_cast<int>(run(command, given, options));
}
