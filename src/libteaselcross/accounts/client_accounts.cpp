#include "accounts/client_accounts.h"

#include "core/field_text.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace teaselcross {

namespace {

auto draw_seed() -> std::uint64_t {
    auto device = std::random_device{};
    return (std::uint64_t{device()} << 32U) | device();
}

auto is_limit(double value) -> bool {
    return std::isfinite(value) && value >= 0;
}

/// What is wrong with an account by itself, apart from its keys.
auto find_fault(const client_account& account) -> std::optional<account_fault> {
    if (account.name.empty()) {
        return account_fault{.part = account_part::name, .message = "is empty"};
    }
    if (!is_field_value(account.name)) {
        return account_fault{.part = account_part::name,
                             .message = "contains control characters, or spaces at an end"};
    }
    if (!is_limit(account.quota.rate)) {
        return account_fault{.part = account_part::rate, .message = "is negative or not finite"};
    }
    if (!is_limit(account.quota.burst)) {
        return account_fault{.part = account_part::burst, .message = "is negative or not finite"};
    }
    return std::nullopt;
}

/// Adds an account, or returns the fault that it has, with no index of the entry.
auto add_entry(account_directory& directory, account_entry entry) -> std::optional<account_fault> {
    if (auto fault = find_fault(entry.account)) {
        return fault;
    }
    auto name = entry.account.name;
    const auto [added, is_new_name] = directory.by_name.emplace(std::move(name), std::move(entry.account));
    if (!is_new_name) {
        return account_fault{.part = account_part::name, .message = "is the name of another account, too"};
    }
    const auto* account = &added->second;
    for (std::size_t index = 0; index < entry.keys.size(); ++index) {
        auto& key = entry.keys[index];
        if (key.empty()) {
            return account_fault{.part = account_part::key, .key = index, .message = "is empty"};
        }
        const auto [found, is_new] = directory.by_key.accounts.emplace(std::move(key), account);
        if (!is_new) {
            const auto is_own = found->second == account;
            return account_fault{.part = account_part::key,
                                 .key = index,
                                 .message = is_own ? "occurs twice in this account"
                                                   : "is a key of account " + found->second->name + ", too"};
        }
    }
    return std::nullopt;
}

} // namespace

auto are_equal_keys(std::string_view left, std::string_view right) -> bool {
    if (left.size() != right.size()) {
        return false;
    }
    // Volatile, so that the compiler cannot end the loop at the first difference.
    volatile auto difference = 0U;
    for (std::size_t index = 0; index < left.size(); ++index) {
        difference =
            difference | (static_cast<unsigned char>(left[index]) ^ static_cast<unsigned char>(right[index]));
    }
    return difference == 0;
}

auto account_key_hash::operator()(std::string_view key) const -> std::size_t {
    static const auto seed = draw_seed();
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

auto make_account_directory(std::vector<account_entry> entries)
    -> tl::expected<account_directory, account_fault> {
    auto directory = account_directory{};
    for (std::size_t index = 0; index < entries.size(); ++index) {
        if (auto fault = add_entry(directory, std::move(entries[index]))) {
            fault->entry = index;
            return tl::unexpected(std::move(*fault));
        }
    }
    return directory;
}

auto find_account(const account_directory& directory, std::string_view key) -> const client_account* {
    const auto found = directory.by_key.accounts.find(key);
    return found == directory.by_key.accounts.end() ? nullptr : found->second;
}

} // namespace teaselcross
