// The directory of client accounts: a key leads to one account, and a list that is in doubt is not used.

#include "accounts/account_counts.h"
#include "routing/route_table.h"

#include <gtest/gtest.h>

#include <limits>

namespace teaselcross {
namespace {

auto entry(const std::string& name, std::vector<std::string> keys, account_quota quota = {})
    -> account_entry {
    return {.account = {.name = name, .quota = quota}, .keys = std::move(keys)};
}

/// Guards against requests that are taken for another account's, or are known by a part of a key.
TEST(client_accounts, only_the_whole_key_leads_to_its_account) {
    const auto directory = make_account_directory({entry("a", {"key", "ke"}), entry("b", {"Key"})});
    ASSERT_TRUE(directory);
    EXPECT_EQ(find_account(*directory, "ke")->name, "a");
    EXPECT_EQ(find_account(*directory, "key")->name, "a");
    EXPECT_EQ(find_account(*directory, "Key")->name, "b");
    for (const auto* other : {"", "k", "kex", "xey", "keys", "key ", "KEY"}) {
        EXPECT_EQ(find_account(*directory, other), nullptr) << other;
    }
}

/// Guards against two accounts that share a key or a name, against limits that no count can be compared with,
/// and against names that would end a header field.
TEST(client_accounts, ambiguous_or_unusable_accounts_are_refused_with_their_place) {
    constexpr auto infinite = std::numeric_limits<double>::infinity();
    const auto expect = [](account_entry second, account_part part, std::size_t key) {
        const auto made = make_account_directory({entry("a", {"k1", "secret"}), std::move(second)});
        ASSERT_FALSE(made);
        EXPECT_EQ(made.error().entry, 1U);
        EXPECT_EQ(made.error().part, part);
        EXPECT_EQ(made.error().key, key);
        EXPECT_EQ(made.error().message.find("secret"), std::string::npos) << "keys are secret";
    };
    expect(entry("a", {}), account_part::name, 0);
    expect(entry("", {}), account_part::name, 0);
    expect(entry("b\r\nX: 1", {}), account_part::name, 0);
    expect(entry("b", {"k2", "secret"}), account_part::key, 1);
    expect(entry("b", {"k2", "k3", "k2"}), account_part::key, 2);
    expect(entry("b", {""}), account_part::key, 0);
    expect(entry("b", {}, {.rate = -1}), account_part::rate, 0);
    expect(entry("b", {}, {.burst = infinite}), account_part::burst, 0);
}

/// Guards against metrics that grow with the number of accounts.
TEST(client_accounts, largest_counts_are_named_and_the_rest_is_summed) {
    const auto known = make_account_directory({entry("a", {}), entry("b", {})});
    auto counts = account_counts{{"gone", 7}, {"a", 1}};
    add_count(counts, "b", *known);
    add_count(counts, "b", *known);
    const auto selected = select_largest(counts, 1);
    EXPECT_EQ(selected.largest, (decltype(selected.largest){{"b", 2}}));
    EXPECT_EQ(selected.rest, 1U) << "an account that is no longer configured has no count";
}

TEST(client_accounts, priority_of_an_account_goes_before_that_of_the_route) {
    const auto rule = route_rule{.rank = 2};
    const auto urgent = client_account{.rank = 0};
    const auto plain = client_account{};
    EXPECT_EQ(rank_in_force(rule, &urgent), 0U);
    EXPECT_EQ(rank_in_force(rule, &plain), 2U);
    EXPECT_EQ(rank_in_force(rule, nullptr), 2U);
}

} // namespace
} // namespace teaselcross
