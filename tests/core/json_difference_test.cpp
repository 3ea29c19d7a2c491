// Differences between versions of a configuration, which instances pass on in place of the whole.

#include "core/json_difference.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

#include <random>

namespace teaselcross {
namespace {

using json = nlohmann::json;

auto rule(int number, double timeout = 1.5) -> json {
    return {{"name", "r" + std::to_string(number)},
            {"match", {{"path-prefix", "/p" + std::to_string(number) + "/"}}},
            {"action", {{"service", "s"}, {"timeout-s", timeout}}}};
}

auto large_document() -> json {
    auto document = json{{"version", 1}, {"listeners", json::array()}};
    for (auto host = 0; host < 3; ++host) {
        auto rules = json::array();
        for (auto number = 0; number < 500; ++number) {
            rules.push_back(rule(1000 * host + number));
        }
        document["listeners"].push_back({{"host", "h" + std::to_string(host)}, {"rules", std::move(rules)}});
    }
    return document;
}

auto random_value(std::mt19937_64& random, int depth) -> json {
    switch (random() % (depth > 0 ? 6 : 3)) {
    case 0:
        return random() % 4;
    case 1:
        return "a~/b" + std::to_string(random() % 3);
    case 2:
        return random() % 2 == 0;
    case 3: {
        auto object = json::object();
        for (auto count = random() % 4; count > 0; --count) {
            object["k/" + std::to_string(random() % 4)] = random_value(random, depth - 1);
        }
        return object;
    }
    default: {
        auto array = json::array();
        for (auto count = random() % 8; count > 0; --count) {
            array.push_back(random_value(random, depth - 1));
        }
        return array;
    }
    }
}

TEST(json_difference, applied_to_the_one_document_it_gives_the_other) {
    auto random = std::mt19937_64{1};
    for (auto count = 0; count < 20'000; ++count) {
        const auto before = random_value(random, 4);
        const auto after = random_value(random, 4);
        const auto difference = json_difference(before, after);
        ASSERT_EQ(before.patch(difference), after) << before << " " << after << " " << difference;
    }
}

// Guards against a link that is filled with whole configurations: a rule more in a long list, and some
// changes far from it, are a few operations.
TEST(json_difference, of_a_few_changes_in_a_large_document_is_small) {
    const auto before = large_document();
    auto after = before;
    after["version"] = 2;
    auto& first = after["listeners"][0]["rules"];
    first.insert(first.begin() + 7, rule(9000));
    first[300] = rule(1, 0.7);
    auto& second = after["listeners"][1]["rules"];
    second.erase(second.begin() + 20);
    second.push_back(rule(9001));
    const auto difference = json_difference(before, after);
    EXPECT_EQ(before.patch(difference), after);
    EXPECT_LT(difference.dump().size(), std::size_t{2048});
    EXPECT_TRUE(json_difference(after, after).empty());
}

} // namespace
} // namespace teaselcross
