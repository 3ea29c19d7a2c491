// Injects every fault, alone and in pairs, at the steps of every operation, on virtual time.

#include "support/faults.h"

#include <gtest/gtest.h>

#include <iostream>

namespace teaselcross::test {

namespace {

constexpr auto steps = std::uint64_t{24};

struct tally {
    std::uint64_t passed = 0;
    std::uint64_t failed = 0;
    std::string failures; ///< The first few.
};

auto add(tally& counted, const matrix_cell& cell) -> void {
    const auto violation = run_cell(cell);
    if (violation.empty()) {
        ++counted.passed;
        return;
    }
    constexpr auto shown = 5U;
    if (++counted.failed <= shown) {
        counted.failures += to_text(cell) + ": " + violation + "\n";
    }
}

auto all_faults() -> std::vector<fault> {
    auto all = std::vector<fault>{};
    for (std::size_t index = 1; index < fault_names.size(); ++index) {
        all.push_back(static_cast<fault>(index));
    }
    return all;
}

/// Targets without fence checks accept a frozen keeper's grants without limit, so no keeper may replace it
/// before it returns. It does return, so all shards are served at the end in this case too.
auto run_single_faults(undertaking operation, bool checks_fence) -> tally {
    auto counted = tally{};
    for (const auto each : all_faults()) {
        for (std::uint64_t step = 0; step < steps; ++step) {
            add(counted,
                {.what = operation, .first = each, .first_step = step, .checks_fence = checks_fence});
        }
    }
    return counted;
}

auto run_pairs(undertaking operation) -> tally {
    auto counted = tally{};
    for (const auto first : all_faults()) {
        for (const auto second : all_faults()) {
            for (const auto& [at, later] : {std::pair{0U, 0U}, std::pair{3U, 2U}, std::pair{9U, 5U}}) {
                add(counted, {.what = operation,
                              .first = first,
                              .first_step = at,
                              .second = second,
                              .second_step = later});
            }
        }
    }
    return counted;
}

auto print(const char* table, undertaking operation, const tally& counted) -> void {
    std::cout << table << " " << name_in(undertaking_names, operation) << ": " << counted.passed
              << " passed, " << counted.failed << " failed\n";
}

auto all_undertakings() -> std::vector<undertaking> {
    auto all = std::vector<undertaking>{};
    for (std::size_t index = 0; index < undertaking_names.size(); ++index) {
        all.push_back(static_cast<undertaking>(index));
    }
    return all;
}

} // namespace

class fault_matrix : public testing::TestWithParam<undertaking> {};

TEST_P(fault_matrix, single_faults) {
    const auto counted = run_single_faults(GetParam(), true);
    print("single", GetParam(), counted);
    EXPECT_EQ(counted.failures, "");
}

TEST_P(fault_matrix, single_faults_at_targets_without_fence_checks) {
    const auto counted = run_single_faults(GetParam(), false);
    print("unchecked", GetParam(), counted);
    EXPECT_EQ(counted.failures, "");
}

TEST_P(fault_matrix, pairs_of_faults) {
    const auto counted = run_pairs(GetParam());
    print("pairs", GetParam(), counted);
    EXPECT_EQ(counted.failures, "");
}

INSTANTIATE_TEST_SUITE_P(each, fault_matrix, testing::ValuesIn(all_undertakings()), [](const auto& each) {
    return std::string{name_in(undertaking_names, each.param)};
});

/// Defects that take a longer sequence of events to show are in hazards_test.cpp.
class planted_defect : public testing::TestWithParam<mutation> {};

/// A planted defect has to fail some cells; otherwise the matrix would not detect such defects.
TEST_P(planted_defect, fails_cells) {
    auto failed_cells = std::uint64_t{0};
    auto example = std::string{};
    for (const auto operation : all_undertakings()) {
        for (const auto each : all_faults()) {
            for (std::uint64_t step = 0; step < steps && failed_cells < 3; step += 3) {
                const auto cell =
                    matrix_cell{.what = operation, .first = each, .first_step = step, .planted = GetParam()};
                if (const auto violation = run_cell(cell);
                    violation.find("two owners") != std::string::npos) {
                    ++failed_cells;
                    example = to_text(cell) + ": " + violation;
                }
            }
        }
    }
    std::cout << example << "\n";
    EXPECT_GT(failed_cells, 0U);
}

INSTANTIATE_TEST_SUITE_P(each, planted_defect,
                         testing::Values(mutation::silence_is_proof, mutation::term_from_receipt,
                                         mutation::clear_at_once));

} // namespace teaselcross::test
