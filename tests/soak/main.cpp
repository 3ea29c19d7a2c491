// teaselcross_soak: plays one seed of the fault soak and checks the promises while it runs.
//
//   teaselcross_soak --program FILE --seed N [--instances N] [--seconds N] [--directory DIR]
//
// Exit code 1 when a promise broke, 2 when the soak itself could not run.

#include "soak.h"

#include <boost/program_options.hpp>

#include <iostream>

auto main(int argc, char** argv) -> int {
    namespace po = boost::program_options;
    auto options = teaselcross::soak::soak_options{};
    auto allowed = po::options_description{"Options"};
    allowed.add_options()("program", po::value(&options.program)->required(), "the program under test")(
        "seed", po::value(&options.seed),
        "what happens, and the loopback addresses")("instances", po::value(&options.instances), "processes")(
        "targets", po::value(&options.targets), "targets")("seconds", po::value(&options.seconds),
                                                           "how long faults come")(
        "directory", po::value(&options.directory), "for settings and logs");
    try {
        auto given = po::variables_map{};
        po::store(po::parse_command_line(argc, argv, allowed), given);
        po::notify(given);
    } catch (const po::error& error) {
        std::cerr << "teaselcross_soak: " << error.what() << "\n" << allowed;
        return 2;
    }
    try {
        auto played = teaselcross::soak::soak{options};
        return played.run(); // The processes end with it, also when it fails.
    } catch (const std::exception& error) {
        std::cerr << "teaselcross_soak: " << error.what() << "\n";
        return 2;
    }
}
