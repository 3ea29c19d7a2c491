#pragma once

// Client accounts: whose requests share a priority and a quota, and the keys by which callers name theirs.

#include "core/enum_names.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace teaselcross {

/// The longest key that a request may carry, in bytes.
constexpr auto max_account_key_bytes = std::size_t{1024};

/// The limit on an account's requests, for all instances together.
struct account_quota {
    double rate = 0;  ///< Requests per second; 0: no limit.
    double burst = 0; ///< Requests beyond the rate at once.

    auto operator==(const account_quota&) const -> bool = default;
};

/// A client account as configured, without its keys.
struct client_account {
    std::string name;
    std::optional<std::uint32_t> rank; ///< Priority, 0 is the most urgent; unset: that of the route.
    account_quota quota;

    auto operator==(const client_account&) const -> bool = default;
};

/// Whether two keys are equal, in a time that depends on their lengths only and not on where they differ.
/// Thread safe.
auto are_equal_keys(std::string_view left, std::string_view right) -> bool;

/// Hashes keys with a seed that is drawn at random for each process, so that nobody can choose keys with one
/// hash. Thread safe.
struct account_key_hash {
    using is_transparent = void;
    auto operator()(std::string_view key) const -> std::size_t;
};

/// Compares keys with are_equal_keys().
struct account_key_equal {
    using is_transparent = void;
    auto operator()(std::string_view left, std::string_view right) const -> bool {
        return are_equal_keys(left, right);
    }
};

/// The accounts of a directory by their keys. Not copyable: it refers to the directory's accounts.
struct account_key_table {
    account_key_table() = default;
    account_key_table(const account_key_table&) = delete;
    account_key_table(account_key_table&&) = default;
    auto operator=(const account_key_table&) -> account_key_table& = delete;
    auto operator=(account_key_table&&) -> account_key_table& = default;
    ~account_key_table() = default;

    std::unordered_map<std::string, const client_account*, account_key_hash, account_key_equal> accounts;
};

/// The accounts of one version of the configuration. Immutable after it was built; thread safe.
struct account_directory {
    std::map<std::string, client_account> by_name;
    account_key_table by_key;
};

/// A client account with its keys, as read from the configuration.
struct account_entry {
    client_account account;
    std::vector<std::string> keys;
};

/// The part of an account entry that a fault is in.
enum class account_part { name, key, rate, burst };

/// Why a list of accounts cannot be used. Never contains a key.
struct account_fault {
    std::size_t entry = 0; ///< Index of the account in the list.
    account_part part = account_part::name;
    std::size_t key = 0; ///< Index of the key, if that is the part.
    std::string message;
};

/// Builds the directory of @a entries. Returns the first fault: a name or key that is empty or occurs twice,
/// a name that no header field can hold, or a limit that is negative or not finite. Thread safe.
auto make_account_directory(std::vector<account_entry> entries)
    -> tl::expected<account_directory, account_fault>;

/// Returns the account with the key @a key, or null. Takes constant time on average, whatever the number of
/// keys. Thread safe.
auto find_account(const account_directory& directory, std::string_view key) -> const client_account*;

/// What a request carries in place of one usable key.
enum class credential_fault {
    missing,  ///< No field.
    repeated, ///< More than one field.
    empty,
    too_long, ///< Over max_account_key_bytes.
    unknown,  ///< No account has the key.
};
constexpr enum_table<credential_fault, 5> credential_fault_names{"missing", "repeated", "empty", "too_long",
                                                                 "unknown"};

} // namespace teaselcross
