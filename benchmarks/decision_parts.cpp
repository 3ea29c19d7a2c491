// Drives the decision parts alone at growing sizes up to the target size, and fits slopes to what they cost.
// Output: one line a measurement, "part size value unit", then the fitted slopes.

#include "config/patch.h"
#include "core/rendezvous.h"
#include "membership/detector.h"
#include "ownership/controller.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include <malloc.h>

using namespace teaselcross;

namespace {

struct sample {
    double size = 0;
    double value = 0;
};

auto seconds_of(const std::function<void()>& work) -> double {
    const auto begin = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

/// Bytes of the heap that are in use.
auto heap_in_use() -> double {
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

auto print(const char* part, const sample& measured, const char* unit) -> void {
    std::printf("%-34s %10.0f %14.4f %s\n", part, measured.size, measured.value, unit);
}

/// Least squares through the samples, with the largest deviation relative to the fit.
auto print_slope(const char* part, const std::vector<sample>& samples, const char* unit) -> void {
    auto n = 0.0;
    auto sx = 0.0;
    auto sy = 0.0;
    auto sxx = 0.0;
    auto sxy = 0.0;
    for (const auto& each : samples) {
        n += 1;
        sx += each.size;
        sy += each.value;
        sxx += each.size * each.size;
        sxy += each.size * each.value;
    }
    const auto slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    const auto base = (sy - slope * sx) / n;
    auto worst = 0.0;
    for (const auto& each : samples) {
        worst =
            std::max(worst, std::abs(each.value - base - slope * each.size) / std::max(1e-12, each.value));
    }
    std::printf("slope %-28s %.6g %s per unit, %.6g at zero, deviation %.0f%%\n", part, slope, unit, base,
                worst * 100);
}

auto make_member(std::size_t index) -> member {
    return {.id = make_instance_id("instance-" + std::to_string(index), 1'700'000'000'000 + index),
            .data_centre = data_centre_id{"dc-" + std::to_string(index % 11)},
            .address = {.host = "10.0.0.1", .forward_port = 1, .control_port = 2, .membership_port = 3},
            .incarnation = 1'700'000'000'000};
}

auto measure_membership() -> void {
    auto memory = std::vector<sample>{};
    auto processor = std::vector<sample>{};
    for (const auto count : {1000U, 2000U, 4000U, 7300U}) {
        const auto before = heap_in_use();
        auto state = make_detector(make_member(0), {}, 1);
        auto learned = std::vector<member>{};
        for (std::size_t index = 1; index < count; ++index) {
            learned.push_back(make_member(index));
        }
        static_cast<void>(on_members(state, learned, instant{}));
        memory.push_back({static_cast<double>(count), heap_in_use() - before});
        state.updates.clear();
        auto now = instant{std::chrono::seconds{1}};
        constexpr auto simulated = 20;
        const auto spent = seconds_of([&] {
            for (auto tick = 0; tick < simulated * 50; ++tick) {
                now += std::chrono::milliseconds{20};
                for (const auto& probe : on_tick(state, now).outgoing) {
                    auto ack = probe_message{.kind = probe_kind::ack,
                                             .sequence = probe.message.sequence,
                                             .sender = state.members.at(probe.message.subject),
                                             .subject = probe.message.subject};
                    static_cast<void>(on_message(state, ack, now));
                }
            }
        });
        processor.push_back({static_cast<double>(count), spent / simulated * 100});
        print("membership memory", memory.back(), "bytes");
        print("membership processor", processor.back(), "% of a core");
    }
    print_slope("membership memory", memory, "bytes");
    print_slope("membership processor", processor, "% of a core");
}

/// A service whose shards are all owned, as its controller sees it.
struct assigned_service {
    description config;
    std::map<partition_key, versioned<partition>> partitions;
    std::map<data_centre_id, versioned<delegation_table>> delegations;
    controller state;

    assigned_service(std::uint32_t shards, std::uint32_t targets) {
        const auto service = service_id{"s"};
        const auto here = data_centre_id{"dc"};
        config.data_centres[here] = {};
        config.services[service] = {.key = key_source::path, .shards = shards};
        state = make_controller(instance_id{"c"}, here, {.takeover_delay = duration{0}}, instant{});
        for (std::uint32_t index = 0; index < targets; ++index) {
            const auto id = target_id{"target-" + std::to_string(index)};
            config.targets[id] = {.service = service, .data_centre = here, .host = "h", .port = 1};
            on_report(state, {.target = id, .phase = target_phase::live, .incarnation = 1, .warmth = 1},
                      instant{});
        }
        for (std::uint32_t index = 0; index < partition_count(shards); ++index) {
            auto whole = make_partition(service, index, shards);
            whole.home = here;
            for (std::size_t position = 0; position < whole.shards.size(); ++position) {
                const auto owner = (index * shards_per_partition + position) % targets;
                whole.assign(position, target_id{"target-" + std::to_string(owner)});
            }
            partitions[{service, index}] = {.version = 1, .object = std::move(whole)};
        }
    }

    auto view() const -> controller_view {
        auto seen = controller_view{};
        seen.config = &config;
        seen.partitions = &partitions;
        seen.delegations = &delegations;
        seen.controlled_data_centres = {state.data_centre};
        seen.live_instances = {instance_id{"k"}};
        return seen;
    }
};

auto measure_controller() -> void {
    auto steady = std::vector<sample>{};
    auto memory = std::vector<sample>{};
    for (const auto shards : {4096U, 16384U, 65536U}) {
        const auto before = heap_in_use();
        auto service = assigned_service{shards, shards / 64};
        memory.push_back({static_cast<double>(shards), heap_in_use() - before});
        const auto now = instant{std::chrono::seconds{1}};
        static_cast<void>(plan_actions(service.state, service.view(), {}, now));
        const auto spent =
            seconds_of([&] { static_cast<void>(plan_actions(service.state, service.view(), {}, now)); });
        steady.push_back({static_cast<double>(shards), spent});
        print("controller plan, nothing to do", steady.back(), "s");
        print("assignments, memory", memory.back(), "bytes");
    }
    print_slope("controller plan", steady, "s");
    print_slope("assignments, memory", memory, "bytes");
}

auto measure_objects() -> void {
    auto size = std::vector<sample>{};
    auto reading = std::vector<sample>{};
    for (const auto count : {32U, 64U, 128U}) {
        auto whole = make_partition(service_id{"history"}, 0, count);
        for (std::size_t position = 0; position < count; ++position) {
            whole.assign(position, target_id{"history-" + std::to_string(100'000 + position)});
        }
        const auto text = to_json(whole).dump();
        size.push_back({static_cast<double>(count), static_cast<double>(text.size())});
        constexpr auto rounds = 500;
        const auto spent = seconds_of([&] {
            for (auto round = 0; round < rounds; ++round) {
                static_cast<void>(partition_from_json(nlohmann::json::parse(text)));
            }
        });
        reading.push_back({static_cast<double>(count), spent / rounds});
    }
    print_slope("partition object, size", size, "bytes");
    print_slope("partition object, reading", reading, "s");
    auto delegations = std::vector<sample>{};
    for (const auto count : {1000U, 4000U, 9000U}) {
        auto table = delegation_table{.data_centre = data_centre_id{"dc"}};
        for (std::size_t index = 0; index < count; ++index) {
            delegate(table, target_id{"history-" + std::to_string(index)}, make_member(index / 14).id);
        }
        delegations.push_back(
            {static_cast<double>(count), static_cast<double>(to_json(table).dump().size())});
        print("delegation object, size", delegations.back(), "bytes");
    }
    print_slope("delegation object, size", delegations, "bytes");
}

auto measure_configuration() -> void {
    auto reading = std::vector<sample>{};
    auto size = std::vector<sample>{};
    for (const auto targets : {1000U, 4000U, 16000U}) {
        auto document = nlohmann::json{{"data_centres", {{"dc", nlohmann::json::object()}}},
                                       {"services", {{"s", nlohmann::json::object()}}},
                                       {"targets", nlohmann::json::object()}};
        for (std::uint32_t index = 0; index < targets; ++index) {
            document["targets"]["target-" + std::to_string(index)] = {{"service", "s"},
                                                                      {"data_centre", "dc"},
                                                                      {"host", "10.0.0.1"},
                                                                      {"port", 1 + index},
                                                                      {"slots", 4}};
        }
        const auto spent = seconds_of([&] { static_cast<void>(parse_description(document)); });
        reading.push_back({static_cast<double>(targets), spent});
        size.push_back({static_cast<double>(targets), static_cast<double>(document.dump().size())});
        print("description, reading", reading.back(), "s");
        print("description, size", size.back(), "bytes");
    }
    print_slope("description, reading", reading, "s");
    print_slope("description, size", size, "bytes");
}

auto measure_keys() -> void {
    constexpr auto rounds = 2'000'000U;
    auto sum = std::uint64_t{0};
    const auto spent = seconds_of([&] {
        for (auto round = 0U; round < rounds; ++round) {
            sum += number(shard_of("unit-" + std::to_string(round), 1U << 20U));
        }
    });
    std::printf("key to shard: %.1f ns (checksum %llu)\n", spent / rounds * 1e9,
                static_cast<unsigned long long>(sum));
}

} // namespace

auto main() -> int {
    measure_keys();
    measure_membership();
    measure_objects();
    measure_controller();
    measure_configuration();
}
