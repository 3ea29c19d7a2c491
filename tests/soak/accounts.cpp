#include "accounts.h"

#include "platform/names.h"
#include "runtime/clock.h"

#include <fstream>

namespace teaselcross::soak {

namespace names = platform::names;

namespace {

constexpr auto account_count = 5U;
/// Time after which a removed key is refused, by the settings' default, and an allowance for the way.
constexpr auto removal_bound = duration{std::chrono::milliseconds{2500 + 300}};

auto account_name(std::uint64_t index) -> std::string {
    return "account-" + std::to_string(index);
}

auto lasting_key(std::uint64_t index) -> std::string {
    return "lasting-key-" + std::to_string(index);
}

auto key_of_version(std::uint64_t index, std::uint64_t version) -> std::string {
    return "key-" + std::to_string(index) + "-of-version-" + std::to_string(version);
}

} // namespace

auto accounts_of_version(std::uint64_t version) -> nlohmann::json {
    auto list = nlohmann::json::array();
    for (auto index = 0U; index < account_count; ++index) {
        list.push_back({{"name", account_name(index)},
                        {"api-keys", {lasting_key(index), key_of_version(index, version)}},
                        {"priority", index % 3}});
    }
    return list;
}

auto add_credential(http_request& request, const std::string& id, journal& seen, std::mt19937_64& random)
    -> void {
    constexpr auto parts = 20U;
    const auto index = random() % account_count;
    const auto drawn = random() % parts;
    auto expected = account_expectation{.account = account_name(index)};
    auto key = lasting_key(index);
    if (drawn == 0) {
        key = lasting_key(account_count + index);
        expected.key = key_state::unknown;
    } else if (drawn == 1) {
        key.clear();
        expected.key = key_state::unknown;
    } else if (drawn <= 3 && seen.earlier_config_version > 0) {
        key = key_of_version(index, seen.earlier_config_version);
        const auto now = monotonic_now();
        const auto is_due = now > seen.config_written_at + removal_bound && is_in_touch(seen, id, now);
        expected.key = is_due ? key_state::removed : key_state::changing;
        ++seen.counts[is_due ? "removed key" : "changing key"];
    }
    if (!key.empty()) {
        request.set(names::credential, key);
    }
    if (drawn % 2 == 0) {
        request.set(names::account_name, account_name(account_count));
    }
    seen.accounts[id] = std::move(expected);
}

auto check_account(const http_request& request, const std::string& id, journal& seen) -> void {
    if (request.count(names::credential) > 0) {
        report_broken(seen, "no key reaches a target", id);
    }
    const auto found = seen.accounts.find(id);
    if (found == seen.accounts.end()) {
        if (request.count(names::account_name) > 0) {
            report_broken(seen, "only accounts have a name", id);
        }
        return;
    }
    const auto& expected = found->second;
    if (expected.key == key_state::unknown || expected.key == key_state::removed) {
        report_broken(seen, "only accounts' keys are served", id);
    } else if (request.count(names::account_name) != 1 || request[names::account_name] != expected.account) {
        report_broken(seen, "a target learns the account's name", id);
    }
}

auto judge_account(const std::string& id, unsigned status, journal& seen) -> void {
    constexpr auto unauthorized = 401U;
    const auto found = seen.accounts.find(id);
    const auto state = found == seen.accounts.end() ? key_state::lasting : found->second.key;
    if (status == unauthorized && state == key_state::lasting) {
        report_broken(seen, "known keys are not denied", id);
    }
    const auto is_success = status >= 200 && status < 300;
    if (is_success && (state == key_state::unknown || state == key_state::removed)) {
        report_broken(seen, "only accounts' keys are served", id + " was answered");
    }
}

auto check_log(const std::string& file, journal& seen) -> void {
    auto input = std::ifstream{file};
    for (auto line = std::string{}; std::getline(input, line);) {
        if (line.find("lasting-key-") != std::string::npos ||
            line.find("-of-version-") != std::string::npos) {
            report_broken(seen, "no key reaches a log", file + ": " + line);
            return;
        }
    }
}

} // namespace teaselcross::soak
