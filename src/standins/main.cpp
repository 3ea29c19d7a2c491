// teaselcross_lab: stand-ins for what surrounds the system, a load tool, and small helpers for scripts.

#include "load.h"
#include "shape.h"
#include "store_standin.h"
#include "target_standin.h"
#include "verdict.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

namespace po = boost::program_options;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace teaselcross;

constexpr auto help_text = R"(teaselcross_lab: stand-ins and load for teaselcross; not shipped

  teaselcross_lab shape --shape midlands|finland --directory DIR   write the files of an installation
  teaselcross_lab store --listen IP:PORT                           the platform's store
  teaselcross_lab targets --file FILE --listen IP:PORT             all targets of a file, and their record
  teaselcross_lab load --entries IP:PORT,... --rate N --seconds N  open-loop load; the result is JSON
  teaselcross_lab ask VERB IP:PORT PATH [BODY]                     one HTTP request
  teaselcross_lab verdict LOAD.json RECORD.json                    the closing table; 1 when a promise broke
  teaselcross_lab field POINTER < JSON                             one value of a JSON document

)";

struct lab_options {
    std::vector<std::string> words;
    std::string listen;
    std::string file;
    std::string entries;
    std::uint64_t seed = 1;
    double seconds = 10;
    lab::shape_options shape;
    lab::load_options load;
};

auto parse_endpoint(const std::string& text) -> endpoint {
    const auto colon = text.rfind(':');
    auto parsed = endpoint{.host = text.substr(0, colon), .port = 0};
    if (colon != std::string::npos) {
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), parsed.port);
    }
    return parsed;
}

auto read_all(std::istream& in) -> std::string {
    auto text = std::ostringstream{};
    text << in.rdbuf();
    return text.str();
}

auto run_until_signal(asio::io_context& context) -> int {
    auto signals = asio::signal_set{context, SIGTERM, SIGINT};
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}

auto ask(const lab_options& options) -> int {
    if (options.words.size() < 3) {
        std::cerr << help_text;
        return 2;
    }
    auto context = asio::io_context{};
    auto code = 3;
    asio::co_spawn(
        context,
        [](asio::io_context& io, const lab_options& given, int& result) -> asio::awaitable<void> {
            auto pool = connection_pool{io.get_executor(), {}};
            auto message = http_request{http::string_to_verb(given.words[0]), given.words[2], 11};
            if (given.words.size() > 3) {
                message.body() = given.words[3];
            }
            message.prepare_payload();
            constexpr auto patience = duration{std::chrono::seconds{20}};
            constexpr auto largest = std::size_t{64} * 1024 * 1024;
            auto answer = co_await perform_exchange(pool, parse_endpoint(given.words[1]), std::move(message),
                                                    patience, largest);
            if (answer) {
                std::cout << answer->body();
                result = answer->result_int() < 300 ? 0 : 1;
            }
        }(context, options, code),
        asio::detached);
    context.run();
    return code;
}

auto field(const lab_options& options) -> int {
    const auto document = nlohmann::json::parse(read_all(std::cin), nullptr, false);
    const auto pointer = nlohmann::json::json_pointer{options.words.empty() ? "" : options.words[0]};
    if (document.is_discarded() || !document.contains(pointer)) {
        return 1;
    }
    const auto& value = document.at(pointer);
    std::cout << (value.is_string() ? value.get<std::string>() : value.dump()) << "\n";
    return 0;
}

auto load(lab_options& options) -> int {
    auto entries = std::istringstream{options.entries};
    for (auto entry = std::string{}; std::getline(entries, entry, ',');) {
        options.load.entries.push_back(parse_endpoint(entry));
    }
    options.load.length = duration{static_cast<duration::rep>(options.seconds * 1e6)};
    options.load.seed = options.seed;
    options.load.shape = options.shape.name;
    auto context = asio::io_context{1};
    std::cout << lab::run_load(context, options.load).dump(2) << "\n";
    return 0;
}

auto run(const std::string& command, lab_options& options) -> int {
    if (command == "shape") {
        return lab::write_shape(options.shape) ? 0 : 2;
    }
    if (command == "ask") {
        return ask(options);
    }
    if (command == "field") {
        return field(options);
    }
    if (command == "load") {
        return load(options);
    }
    if (command == "verdict" && options.words.size() == 2) {
        auto load_file = std::ifstream{options.words[0]};
        auto record_file = std::ifstream{options.words[1]};
        const auto kept = lab::print_verdict(nlohmann::json::parse(read_all(load_file)),
                                             nlohmann::json::parse(read_all(record_file)));
        return kept ? 0 : 1;
    }
    auto context = asio::io_context{1};
    const auto listen = parse_endpoint(options.listen);
    if (command == "store") {
        auto store = lab::store_standin{context, listen.host, listen.port};
        store.start();
        return run_until_signal(context);
    }
    if (command == "targets") {
        auto file = std::ifstream{options.file};
        const auto shapes = lab::read_target_shapes(nlohmann::json::parse(read_all(file)));
        auto fleet = lab::target_fleet{context, listen.host, listen.port, shapes, options.seed};
        fleet.start();
        return run_until_signal(context);
    }
    std::cerr << help_text;
    return 2;
}

} // namespace

auto main(int argc, char** argv) -> int {
    auto options = lab_options{};
    auto command = std::string{};
    auto visible = po::options_description{"Options"};
    visible.add_options()("help", "show this text")("listen", po::value(&options.listen), "IP:PORT")(
        "file", po::value(&options.file), "a file of targets")("shape", po::value(&options.shape.name),
                                                               "an installation")(
        "directory", po::value(&options.shape.directory),
        "where a shape's files go")("instances", po::value(&options.shape.instances), "instances of a shape")(
        "work-ms", po::value(&options.shape.work_ms),
        "what a lookup takes at a target")("entries", po::value(&options.entries), "instances to send to")(
        "rate", po::value(&options.load.rate),
        "requests a second")("seconds", po::value(&options.seconds),
                             "how long")("seed", po::value(&options.seed), "for all draws")(
        "lookups", po::value(&options.load.lookups),
        "share of lookups")("operations", po::value(&options.load.operations), "share of operations")(
        "download-bytes", po::value(&options.load.download_bytes), "size of a download");
    auto all = po::options_description{};
    all.add(visible).add_options()("command", po::value(&command))("words", po::value(&options.words));
    auto positions = po::positional_options_description{};
    positions.add("command", 1).add("words", -1);
    try {
        auto given = po::variables_map{};
        po::store(po::command_line_parser(argc, argv).options(all).positional(positions).run(), given);
        po::notify(given);
        if (given.count("help") > 0 || command.empty()) {
            std::cout << help_text << visible << "\n";
            return given.count("help") > 0 ? 0 : 2;
        }
        return run(command, options);
    } catch (const std::exception& error) {
        std::cerr << "teaselcross_lab: " << error.what() << "\n";
        return 2;
    }
}
