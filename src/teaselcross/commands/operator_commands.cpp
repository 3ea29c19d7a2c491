#include "commands/operator_commands.h"

#include "config/description.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <unistd.h>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

struct reply {
    unsigned status = 0;
    std::string body;
};

/// Sends a request to the instance; empty when it does not respond.
auto send_to_instance(const operator_options& options, http::verb verb, const std::string& path,
                      const std::string& body = {}) -> std::optional<reply> {
    const auto colon = options.instance.rfind(':');
    auto port = std::uint16_t{0};
    if (colon != std::string::npos) {
        const auto* const begin = options.instance.data() + colon + 1;
        std::from_chars(begin, options.instance.data() + options.instance.size(), port);
    }
    try {
        auto context = asio::io_context{};
        auto stream = boost::beast::tcp_stream{context};
        stream.connect({asio::ip::make_address(options.instance.substr(0, colon)), port});
        auto request = http::request<http::string_body>{verb, path, 11};
        request.set(http::field::host, options.instance);
        request.set(http::field::content_type, "application/json");
        request.body() = body;
        request.keep_alive(false);
        request.prepare_payload();
        http::write(stream, request);
        auto buffer = boost::beast::flat_buffer{};
        auto parser = http::response_parser<http::string_body>{};
        parser.body_limit(boost::none);
        http::read(stream, buffer, parser);
        return reply{.status = parser.get().result_int(), .body = parser.get().body()};
    } catch (const boost::system::system_error& error) {
        std::cerr << "teaselcross: no response from " << options.instance << ": " << error.code().message()
                  << "\n";
        return std::nullopt;
    }
}

auto print_reply(const std::optional<reply>& answer) -> exit_code {
    constexpr auto conflict = 409U;
    if (!answer) {
        return exit_code::unreachable;
    }
    (answer->status < 300 ? std::cout : std::cerr) << answer->body;
    if (answer->status == conflict) {
        return exit_code::conflict;
    }
    return answer->status < 300 ? exit_code::ok : exit_code::failed;
}

auto read_file(const std::string& name) -> std::optional<std::string> {
    auto file = std::ifstream{name};
    if (!file) {
        std::cerr << "teaselcross: cannot read '" << name << "'\n";
        return std::nullopt;
    }
    auto text = std::ostringstream{};
    text << file.rdbuf();
    return text.str();
}

auto random_id() -> std::string {
    auto device = std::random_device{};
    return "cli-" + std::to_string(device()) + "-" + std::to_string(device());
}

auto user_name(const operator_options& options) -> std::string {
    if (!options.who.empty()) {
        return options.who;
    }
    const auto* const name = std::getenv("USER");
    return name != nullptr ? name : "uid-" + std::to_string(::getuid());
}

auto post_patch(const operator_options& options, std::uint64_t base, const nlohmann::json& changes)
    -> exit_code {
    const auto body = nlohmann::json{{"id", options.id.empty() ? random_id() : options.id},
                                     {"base", base},
                                     {"who", user_name(options)},
                                     {"why", options.why},
                                     {"wait", options.wait},
                                     {"changes", changes}};
    return print_reply(send_to_instance(options, http::verb::post, "/patch", body.dump()));
}

/// Patches the version that is in force now. If another patch is applied in between, the command fails with
/// exit_code::conflict.
auto patch_current(const operator_options& options, const nlohmann::json& changes) -> exit_code {
    if (options.has_base) {
        return post_patch(options, options.base, changes);
    }
    const auto current = send_to_instance(options, http::verb::get, "/config");
    if (!current) {
        return exit_code::unreachable;
    }
    const auto document = nlohmann::json::parse(current->body, nullptr, false);
    return post_patch(options, document.value("version", std::uint64_t{0}), changes);
}

auto check_file(const std::string& name) -> exit_code {
    const auto text = read_file(name);
    if (!text) {
        return exit_code::usage;
    }
    const auto document = parse_json(*text);
    if (!document) {
        std::cerr << to_text(document.error(), name);
        return exit_code::usage;
    }
    const auto parsed = parse_description(*document);
    if (!parsed) {
        std::cerr << to_text(locate(parsed.error(), *text), name);
        return exit_code::usage;
    }
    std::cout << name << ": " << parsed->data_centres.size() << " data centres, " << parsed->services.size()
              << " services, " << parsed->targets.size() << " targets, no errors\n";
    return exit_code::ok;
}

auto usage(const char* text) -> exit_code {
    std::cerr << "usage: teaselcross " << text << "\n";
    return exit_code::usage;
}

auto submit_local_order(const operator_options& options, const char* field, const std::string& name)
    -> exit_code {
    const auto body = nlohmann::json{{"id", options.id.empty() ? random_id() : options.id},
                                     {"who", user_name(options)},
                                     {"why", options.why},
                                     {field, name}};
    return print_reply(send_to_instance(options, http::verb::post, "/local-order", body.dump()));
}

} // namespace

auto config_command(const operator_options& options) -> exit_code {
    const auto& arguments = options.arguments;
    if (arguments.size() == 1 && arguments[0] == "show") {
        return print_reply(send_to_instance(options, http::verb::get, "/config"));
    }
    if (arguments.size() == 1 && arguments[0] == "history") {
        return print_reply(send_to_instance(options, http::verb::get, "/history"));
    }
    if (arguments.size() == 2 && arguments[0] == "check") {
        return check_file(arguments[1]);
    }
    if (arguments.size() == 2 && arguments[0] == "patch") {
        const auto text = read_file(arguments[1]);
        if (!text) {
            return exit_code::usage;
        }
        const auto changes = parse_json(*text);
        if (!changes) {
            std::cerr << to_text(changes.error(), arguments[1]);
            return exit_code::usage;
        }
        if (!options.has_base) {
            return usage(
                "config patch --base N FILE (--base is required: the version that the patch applies to)");
        }
        return post_patch(options, options.base, *changes);
    }
    return usage("config show | check FILE | patch --base N [--id ID] [--wait] FILE | history");
}

auto target_command(const operator_options& options) -> exit_code {
    const auto& arguments = options.arguments;
    if (arguments.size() != 2 ||
        (arguments[0] != "drain" && arguments[0] != "restore" && arguments[0] != "declare-lost")) {
        return usage("target drain | restore | declare-lost NAME");
    }
    if (options.local) {
        return arguments[0] == "drain" ? submit_local_order(options, "target_draining", arguments[1])
                                       : usage("target drain --local NAME");
    }
    const auto* const state = arguments[0] == "drain"     ? "draining"
                              : arguments[0] == "restore" ? "in"
                                                          : "lost";
    return patch_current(options, {{"targets", {{arguments[1], {{"state", state}}}}}});
}

auto data_centre_command(const operator_options& options) -> exit_code {
    const auto& arguments = options.arguments;
    if (arguments.size() != 2 || (arguments[0] != "out" && arguments[0] != "in")) {
        return usage("data-centre out | in NAME");
    }
    if (options.local) {
        return arguments[0] == "out" ? submit_local_order(options, "data_centre_out", arguments[1])
                                     : usage("data-centre out --local NAME");
    }
    return patch_current(options, {{"data_centres", {{arguments[1], {{"state", arguments[0]}}}}}});
}

auto status_command(const operator_options& options) -> exit_code {
    return print_reply(send_to_instance(options, http::verb::get, options.json ? "/status" : "/status.txt"));
}

auto explain_command(const operator_options& options) -> exit_code {
    if (options.arguments.size() != 2) {
        return usage("explain SERVICE KEY");
    }
    return print_reply(send_to_instance(options, http::verb::get,
                                        "/explain/" + options.arguments[0] + "/" + options.arguments[1]));
}

} // namespace teaselcross
