// Time to find the account of a request by its key, by the number of keys and by where a wrong key differs.

#include "accounts/client_accounts.h"

#include <chrono>
#include <cstdio>
#include <random>

namespace {

using namespace teaselcross;

constexpr auto key_bytes = 40U;
constexpr auto keys_per_account = 4U;

auto make_key(std::mt19937_64& random) -> std::string {
    auto key = std::string(key_bytes, ' ');
    for (auto& each : key) {
        each = static_cast<char>('a' + random() % 26);
    }
    return key;
}

template <class Call>
auto nanoseconds_each(std::size_t rounds, Call call) -> double {
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t round = 0; round < rounds; ++round) {
        call(round);
    }
    const auto took = std::chrono::steady_clock::now() - begin;
    return std::chrono::duration<double, std::nano>(took).count() / static_cast<double>(rounds);
}

auto measure_lookup(std::size_t count) -> void {
    constexpr auto rounds = std::size_t{1'000'000};
    auto random = std::mt19937_64{count};
    auto known = std::vector<std::string>{};
    auto unknown = std::vector<std::string>{};
    auto entries = std::vector<account_entry>{};
    for (std::size_t index = 0; index < count; ++index) {
        if (index % keys_per_account == 0) {
            entries.push_back({.account = {.name = "account-" + std::to_string(index)}});
        }
        known.push_back(make_key(random));
        unknown.push_back(make_key(random));
        entries.back().keys.push_back(known.back());
    }
    const auto directory = make_account_directory(std::move(entries));
    auto found = std::size_t{0};
    const auto look_up = [&](const std::vector<std::string>& keys) {
        return nanoseconds_each(rounds, [&](std::size_t round) {
            found += find_account(*directory, keys[round * 7919 % count]) != nullptr ? 1U : 0U;
        });
    };
    const auto known_time = look_up(known);
    const auto unknown_time = look_up(unknown);
    std::printf("look-up among %5zu keys: known %.0f ns, unknown %.0f ns (%zu found)\n", count, known_time,
                unknown_time, found);
}

auto measure_comparison() -> void {
    constexpr auto rounds = std::size_t{2'000'000};
    const auto key = std::string(key_bytes, 'k');
    auto equal = std::size_t{0};
    for (const auto place : {0U, key_bytes / 2, key_bytes - 1, key_bytes}) {
        auto other = key;
        if (place < key_bytes) {
            other[place] = 'x';
        }
        const auto took = nanoseconds_each(
            rounds, [&](std::size_t /*round*/) { equal += are_equal_keys(key, other) ? 1U : 0U; });
        std::printf("comparison of %u bytes that differ at %u: %.1f ns\n", key_bytes, place, took);
    }
    std::printf("(%zu equal)\n", equal);
}

} // namespace

auto main() -> int {
    for (const auto count : {100U, 1'000U, 10'000U, 100'000U}) {
        measure_lookup(count);
    }
    measure_comparison();
}
