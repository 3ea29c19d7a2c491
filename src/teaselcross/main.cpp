// Command-line entry point of teaselcross.

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

constexpr auto help_text = R"(teaselcross: a request router for servers with exclusive key ownership

  teaselcross serve --settings FILE       run one instance until SIGTERM
  teaselcross check-settings FILE         check a settings file and report all errors
  teaselcross gateway [FILE]              run one instance on the platform until SIGTERM
  teaselcross check-gateway-settings [FILE]
                                          check a settings file for the platform
  teaselcross config show                 print the configuration in force
  teaselcross config check FILE           check a complete description and report all errors
  teaselcross config patch --base N FILE  apply a JSON Merge Patch to version N; fails if N is not in force
  teaselcross config history              print the audit trail
  teaselcross target drain NAME           send no new requests to a target and move its keys to others
  teaselcross target restore NAME         return a target to service
  teaselcross target declare-lost NAME    confirm that a target has stopped: its keys move without waiting for it
  teaselcross data-centre out NAME        send no new requests to the targets of a data centre
  teaselcross data-centre in NAME         return a data centre to service
  teaselcross status [--json]             print the system status and the problems that need action
  teaselcross explain SERVICE KEY         print the owner of a key and the reason
  teaselcross explain --request ID LOG... print the timeline of a request from the logs of any instances
  teaselcross version                     print the version

Operators' commands connect to any one instance: --instance IP:PORT (its operators' port).
The first configuration is submitted as a patch to version 0.

Exit codes: 0 success, 1 rejected or failed, 2 wrong usage or an invalid file, 3 no response from the instance,
            4 the patch is for a version that is not in force.

)";

auto read_settings(const std::string& name) -> tl::expected<teaselcross::settings, exit_code> {
    auto file = std::ifstream{name};
    if (!file) {
        std::cerr << "teaselcross: cannot read '" << name << "'\n";
        return tl::unexpected(exit_code::usage);
    }
    auto text = std::ostringstream{};
    text << file.rdbuf();
    auto parsed = teaselcross::parse_settings(text.str());
    if (!parsed) {
        std::cerr << teaselcross::to_text(parsed.error(), name);
        return tl::unexpected(exit_code::usage);
    }
    return *parsed;
}

auto run(const std::string& command, const po::variables_map& option_values,
         teaselcross::operator_options options) -> exit_code {
    if (command == "serve" || command == "check-settings") {
        const auto from_option = option_values.count("settings") > 0;
        if (!from_option && options.arguments.empty()) {
            std::cerr << "usage: teaselcross " << command << " --settings FILE\n";
            return exit_code::usage;
        }
        const auto settings =
            read_settings(from_option ? option_values["settings"].as<std::string>() : options.arguments[0]);
        if (!settings) {
            return settings.error();
        }
        if (command == "check-settings") {
            std::cout << "no errors\n";
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
    if (command == "explain" && option_values.count("request") > 0) {
        return teaselcross::explain_request(option_values["request"].as<std::string>(), options.arguments);
    }
    if (command == "explain") {
        return teaselcross::explain_command(options);
    }
    if (command == "version") {
        std::cout << version_text;
        return exit_code::ok;
    }
    std::cerr << "teaselcross: unknown command '" << command << "'\n" << help_text;
    return exit_code::usage;
}

} // namespace

auto main(int argc, char** argv) -> int {
    auto options = teaselcross::operator_options{};
    auto command = std::string{};
    auto visible_options = po::options_description{"Options"};
    visible_options.add_options()("help", "show this text")("settings", po::value<std::string>(),
                                                            "path of the settings file")(
        "request", po::value<std::string>(), "the ID of the request to explain from logs")(
        "instance", po::value(&options.instance), "operators' address of any instance, IP:PORT")(
        "base", po::value(&options.base), "the version that the patch applies to")(
        "id", po::value(&options.id), "the patch's ID; retries with the same ID are applied at most once")(
        "who", po::value(&options.who), "author of the change, for the audit trail")(
        "why", po::value(&options.why), "reason for the change, for the audit trail")(
        "wait", po::bool_switch(&options.wait), "wait until every live instance has the new version")(
        "json", po::bool_switch(&options.json), "print the status as JSON")(
        "local", po::bool_switch(&options.local),
        "apply the order at once, in the instance's data centre only, without the store");
    auto all_options = po::options_description{};
    all_options.add(visible_options)
        .add_options()("command", po::value(&command))("arguments", po::value(&options.arguments));
    auto positional_options = po::positional_options_description{};
    positional_options.add("command", 1).add("arguments", -1);
    auto option_values = po::variables_map{};
    try {
        po::store(
            po::command_line_parser(argc, argv).options(all_options).positional(positional_options).run(),
            option_values);
        po::notify(option_values);
    } catch (const po::error& error) {
        std::cerr << "teaselcross: " << error.what() << "\n";
        return static_cast<int>(exit_code::usage);
    }
    if (option_values.count("help") > 0 || command.empty()) {
        std::cout << help_text << visible_options << "\n";
        return static_cast<int>(option_values.count("help") > 0 ? exit_code::ok : exit_code::usage);
    }
    options.has_base = option_values.count("base") > 0;
    return static_cast<int>(run(command, option_values, options));
}
