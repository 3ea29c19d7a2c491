#include "shape.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <fstream>
#include <vector>

namespace teaselcross::lab {

namespace {

struct service_shape {
    std::string name;
    std::uint32_t targets = 0;
    bool keyed = false;
    bool hedge = false;
    double work_factor = 1; ///< How much longer than a lookup a request takes.
    bool checks_fence = true;
};

struct installation {
    std::vector<std::string> data_centres;
    std::vector<service_shape> services;
    std::uint32_t slots = 1;
};

constexpr auto store_port = 7000;
constexpr auto target_port = 9000;
constexpr auto shard_count = 256;

auto find_installation(const std::string& name, installation& found) -> bool {
    if (name == "midlands") {
        found = {
            .data_centres = {"coventry", "derby", "leicester", "stoke"},
            .services =
                {{.name = "history", .targets = 20, .keyed = true},
                 {.name = "ledger", .targets = 10, .work_factor = 2},
                 {.name = "packs", .targets = 8, .hedge = true, .work_factor = 3, .checks_fence = false}},
            .slots = 4};
        return true;
    }
    if (name == "finland") {
        found = {
            .data_centres = {"turku", "salo", "rauma"},
            .services =
                {{.name = "schedule", .targets = 25, .keyed = true},
                 {.name = "payments", .targets = 10, .work_factor = 2},
                 {.name = "bundles", .targets = 6, .hedge = true, .work_factor = 3, .checks_fence = false}},
            .slots = 2};
        return true;
    }
    return false;
}

/// Each data centre has a range of loopback addresses of its own.
auto address(std::size_t data_centre, std::size_t network, std::size_t host) -> std::string {
    return "127." + std::to_string(data_centre + 1) + "." + std::to_string(network) + "." +
           std::to_string(host + 1);
}

auto write_file(const std::string& name, const nlohmann::json& document) -> void {
    std::ofstream{name} << document.dump(2) << "\n";
}

auto write_instances(const shape_options& options, const installation& shape) -> void {
    auto listed = nlohmann::json::array();
    for (std::uint32_t index = 0; index < options.instances; ++index) {
        const auto data_centre = index % shape.data_centres.size();
        const auto id =
            shape.data_centres[data_centre] + "-" + std::to_string(index / shape.data_centres.size() + 1);
        const auto host = address(data_centre, 0, index / shape.data_centres.size());
        const auto settings = nlohmann::json{{"instance", id},
                                             {"data_centre", shape.data_centres[data_centre]},
                                             {"host", host},
                                             {"platform", {{"host", "127.0.0.1"}, {"port", store_port}}}};
        write_file(options.directory + "/" + id + ".settings.json", settings);
        listed.push_back(
            {{"id", id},
             {"data_centre", shape.data_centres[data_centre]},
             {"host", host},
             {"ports", {{"forward", 8082}, {"control", 8083}, {"membership", 8084}, {"operators", 8081}}}});
    }
    write_file(options.directory + "/instances.json", listed);
}

} // namespace

auto write_shape(const shape_options& options) -> bool {
    auto shape = installation{};
    if (!find_installation(options.name, shape)) {
        return false;
    }
    auto description = nlohmann::json{{"data_centres", nlohmann::json::object()},
                                      {"services", nlohmann::json::object()},
                                      {"targets", nlohmann::json::object()}};
    auto targets = nlohmann::json::array();
    for (const auto& name : shape.data_centres) {
        description["data_centres"][name] = {{"state", "in"}};
    }
    for (std::size_t number = 0; number < shape.services.size(); ++number) {
        const auto& service = shape.services[number];
        auto described = nlohmann::json{{"default_deadline_ms", 5000}, {"hedge", service.hedge}};
        if (service.keyed) {
            described["key"] = "path";
            described["shards"] = shard_count;
        }
        description["services"][service.name] = described;
        for (std::uint32_t index = 0; index < service.targets; ++index) {
            const auto data_centre = index % shape.data_centres.size();
            const auto name = service.name + "-" + std::to_string(index + 1);
            const auto host = address(data_centre, number + 1, index / shape.data_centres.size());
            description["targets"][name] = {{"service", service.name},
                                            {"data_centre", shape.data_centres[data_centre]},
                                            {"host", host},
                                            {"port", target_port},
                                            {"slots", shape.slots},
                                            {"cold_slots", 1},
                                            {"checks_fence", service.checks_fence}};
            targets.push_back({{"name", name},
                               {"service", service.name},
                               {"host", host},
                               {"port", target_port},
                               {"slots", shape.slots},
                               {"cold_slots", 1},
                               {"checks_fence", service.checks_fence},
                               {"work_ms", options.work_ms * service.work_factor}});
        }
    }
    write_instances(options, shape);
    write_file(options.directory + "/description.json", description);
    write_file(options.directory + "/targets.json", targets);
    return true;
}

} // namespace teaselcross::lab
