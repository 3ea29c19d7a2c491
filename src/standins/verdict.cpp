#include "verdict.h"

#include <iomanip>
#include <iostream>

namespace teaselcross::lab {

namespace {

constexpr auto label_width = 44;
constexpr auto column_width = 12;

auto print_row(const nlohmann::json& load, const std::string& label, const char* field) -> void {
    std::cout << std::left << std::setw(label_width) << label << std::right;
    for (const auto& [kind, tally] : load.items()) {
        const auto& value = tally.at(field);
        if (value.is_number_float()) {
            std::cout << std::setw(column_width) << std::fixed << std::setprecision(1) << value.get<double>();
        } else {
            std::cout << std::setw(column_width) << value.get<std::uint64_t>();
        }
    }
    std::cout << "\n";
}

auto total(const nlohmann::json& load, const char* field) -> std::uint64_t {
    auto sum = std::uint64_t{0};
    for (const auto& [kind, tally] : load.items()) {
        sum += tally.at(field).get<std::uint64_t>();
    }
    return sum;
}

auto print_promise(const std::string& label, std::uint64_t value) -> bool {
    std::cout << std::left << std::setw(label_width) << label << std::right << std::setw(column_width)
              << value << (value == 0 ? "   kept" : "   BROKEN") << "\n";
    return value == 0;
}

} // namespace

auto print_verdict(const nlohmann::json& load, const nlohmann::json& record) -> bool {
    std::cout << std::left << std::setw(label_width) << "" << std::right;
    for (const auto& [kind, tally] : load.items()) {
        std::cout << std::setw(column_width) << kind;
    }
    std::cout << "\n";
    print_row(load, "sent", "sent");
    print_row(load, "answered", "answered");
    print_row(load, "refused, not run", "not_run");
    print_row(load, "outcome unknown", "unknown");
    print_row(load, "no answer, connection lost", "cut");
    print_row(load, "no instance reached", "unreachable");
    print_row(load, "ms, median", "p50_ms");
    print_row(load, "ms, 90 in 100", "p90_ms");
    print_row(load, "ms, 99 in 100", "p99_ms");
    print_row(load, "ms, 999 in 1000", "p999_ms");
    std::cout << "\n";
    auto kept = print_promise("wrong or partial answers", total(load, "wrong"));
    const auto count = [&](const char* field) { return record.at(field).get<std::uint64_t>(); };
    kept = print_promise("operations that ran more than once", count("repeated_operations")) && kept;
    kept = print_promise("shards seen with two owners", count("two_owners")) && kept;
    kept = print_promise("requests run under an old fence", count("stale_fence")) && kept;
    std::cout << "\n" << (kept ? "All promises kept." : "A PROMISE BROKE.") << "\n";
    return kept;
}

} // namespace teaselcross::lab
