// Identification of callers by the keys of their accounts: only a known key passes, a target learns the
// account's name and nothing else, and the key stays inside.

#include "logging/log.h"
#include "support/router_world.h"

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

namespace names = platform::names;
using fields = std::string;

auto logged() -> std::string& {
    static auto lines = std::string{};
    return lines;
}

const auto own_key = fields{names::credential} + ": secret-1\r\n";
const auto forged_name = fields{names::account_name} + ": forged\r\n";

class client_accounts_test : public testing::Test, protected router_world {
protected:
    client_accounts_test() {
        log::set_sink([](auto, const auto& text) { logged() += text + "\n"; }, log::level::debug);
        logged().clear();
        list("t", m_target);
        configure(
            std::vector<account_entry>{{.account = {.name = "acme"}, .keys = {"secret-1", "secret-2"}}});
    }
    ~client_accounts_test() override { log::set_sink(nullptr, log::level::info); }

    auto configure(std::optional<std::vector<account_entry>> entries) -> void {
        auto table = *m_cluster.routes();
        ++table.version;
        table.rules_by_host["a"].resize(2);
        table.rules_by_host["a"].push_back(table.rules_by_host["a"].front());
        table.rules_by_host["a"].back().path_prefix = "/open/";
        table.rules_by_host["a"].back().is_public = true;
        table.accounts = entries ? std::make_shared<const account_directory>(
                                       std::move(*make_account_directory(std::move(*entries))))
                                 : nullptr;
        m_cluster.set_routes(std::move(table));
    }

    /// The status of the response to a request with @a lines in its header.
    auto status(const fields& lines, const std::string& rule = "safe") -> unsigned {
        auto client = http_client{m_context, m_server.port()};
        return ask(client, rule, std::to_string(++m_number), lines).result_int();
    }
    /// The values of the account's name that the target has received last, joined; "key" if a key was there.
    auto received_name() const -> std::string {
        auto text = std::string{};
        for (const auto& each : m_received) {
            const auto has_key = each.name_string() == names::credential ||
                                 each.value().find("secret") != boost::beast::string_view::npos;
            text += has_key ? "key" : "";
            if (boost::beast::iequals(each.name_string(), names::account_name)) {
                text += std::string{each.value()} + ";";
            }
        }
        return text;
    }

    http_request m_received;
    scripted_target m_target{m_context, [this](const auto& request) {
                                 m_received = *request.whole;
                                 return scripted_answer{success(request.attempt_id, "served")};
                             }};
    int m_number = 0;
};

TEST_F(client_accounts_test, request_without_exactly_one_known_key_is_answered_401_and_not_sent) {
    const auto name = fields{names::credential};
    const auto wrong = std::vector<std::pair<fields, std::string>>{
        {"", "missing"},
        {"X-" + own_key, "missing"},
        {"Teaselcross_Credential: secret-1\r\n", "missing"},
        {"X: 1\r\n " + own_key, "missing"},
        {name + ":\r\n", "empty"},
        {name + ": \t \r\n", "empty"},
        {own_key + own_key, "repeated"},
        {own_key + "X: 1\r\nTEASELCROSS-credential: secret-2\r\n", "repeated"},
        {own_key + name + ":\r\n", "repeated"},
        {name + ": " + std::string(1025, 's') + "\r\n", "too_long"},
        {name + ": " + std::string(8192, 's') + "\r\n", "too_long"},
        {name + ": SECRET-1\r\n", "unknown"},
        {name + ": secret-1, secret-2\r\n", "unknown"},
        {name + ": secret-1\r\n secret-2\r\n", "unknown"},
        {name + ": \"secret-1\"\r\n", "unknown"},
        {name + ": Bearer secret-1\r\n", "unknown"},
        {name + ": " + std::string(1024, 's') + "\r\n", "unknown"}};
    for (const auto& [lines, fault] : wrong) {
        logged().clear();
        const auto answer = ask("safe", std::to_string(++m_number), lines);
        EXPECT_EQ(answer.result_int(), 401U) << lines;
        EXPECT_EQ(answer.count("Retry-After"), 0U);
        EXPECT_EQ(answer.count("WWW-Authenticate"), 1U);
        EXPECT_NE(logged().find("credential=" + fault), std::string::npos) << lines << logged();
        EXPECT_EQ(logged().find("secret"), std::string::npos) << logged();
    }
    EXPECT_EQ(m_target.requests(), 0U);
    EXPECT_EQ(m_measured.value(counter::unauthorized), wrong.size());
    EXPECT_EQ(m_measured.to_text().find("secret"), std::string::npos);
}

TEST_F(client_accounts_test, target_gets_the_name_whatever_the_caller_sent_and_never_the_key) {
    for (const auto& forged :
         {fields{}, forged_name, forged_name + forged_name, fields{"teaselcross-tenant-name: forged\r\n"},
          fields{"Connection: Teaselcross-Tenant-Name, Teaselcross-Credential\r\n"} + forged_name,
          fields{"Teaselcross-Tenant-Name:\r\n forged\r\n"}}) {
        EXPECT_EQ(status(own_key + forged), 200U) << forged;
        EXPECT_EQ(received_name(), "acme;") << forged;
        EXPECT_EQ(status(forged + "teaselcross-CREDENTIAL:secret-2 \t\r\n"), 200U) << forged;
        EXPECT_EQ(received_name(), "acme;") << forged;
    }
    EXPECT_NE(logged().find("account=acme"), std::string::npos);
    EXPECT_EQ(logged().find("secret"), std::string::npos) << logged();
}

/// A chunked body may end with further fields, which come after those that were checked.
TEST_F(client_accounts_test, fields_behind_a_body_neither_forge_a_name_nor_repeat_a_key) {
    const auto send = [this](const fields& trailer) {
        const auto before = m_client.responses().size();
        m_client.send("POST /once/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n" + own_key +
                      "\r\n1\r\nx\r\n0\r\n" + trailer + "\r\n");
        EXPECT_TRUE(run_until(m_context, [&] { return m_client.responses().size() > before; }));
        return m_client.responses().back().result_int();
    };
    EXPECT_EQ(send(forged_name), 200U);
    EXPECT_EQ(received_name(), "acme;");
    EXPECT_EQ(send(own_key), 401U);
}

TEST_F(client_accounts_test, public_route_passes_requests_without_both_fields) {
    EXPECT_EQ(status(own_key + forged_name, "open"), 200U);
    EXPECT_EQ(received_name(), "");
    EXPECT_EQ(status("", "open"), 200U);
}

/// Guards against routes that are open because their last account was removed.
TEST_F(client_accounts_test, empty_list_of_accounts_opens_public_routes_only) {
    configure(std::vector<account_entry>{});
    EXPECT_EQ(status(own_key), 401U);
    EXPECT_EQ(status(own_key + forged_name, "open"), 200U);
    EXPECT_EQ(received_name(), "");
}

TEST_F(client_accounts_test, without_accounts_both_fields_are_left_as_they_are) {
    configure(std::nullopt);
    EXPECT_EQ(status(own_key + own_key + forged_name), 200U);
    EXPECT_EQ(received_name(), "keykeyforged;");
}

TEST_F(client_accounts_test, keys_change_with_the_version_of_the_configuration) {
    configure(std::vector<account_entry>{{.account = {.name = "acme"}, .keys = {"secret-2", "secret-3"}}});
    EXPECT_EQ(status(own_key), 401U);
    EXPECT_EQ(status(fields{names::credential} + ": secret-2\r\n"), 200U);
    EXPECT_EQ(status(fields{names::credential} + ": secret-3\r\n"), 200U);
}

TEST_F(client_accounts_test, unconfirmed_configuration_refuses_requests_that_need_a_key_only_if_strict) {
    auto age = m_settings.revoke;
    m_router.set_config_age([&age] { return age; });
    EXPECT_EQ(status(own_key), 200U);
    m_settings.strict_revoke = true;
    EXPECT_EQ(status(own_key), 503U);
    EXPECT_NE(logged().find("reason=accounts_unconfirmed"), std::string::npos);
    EXPECT_EQ(status("", "open"), 200U);
    age -= std::chrono::milliseconds{1};
    EXPECT_EQ(status(own_key), 200U);
    EXPECT_EQ(status(""), 401U);
}

TEST_F(client_accounts_test, missing_route_is_told_before_a_missing_key_and_refusals_count_by_account) {
    EXPECT_EQ(status("", "elsewhere"), 404U);
    m_cluster.remove_target(target_id{"t"}, std::nullopt, monotonic_now());
    EXPECT_EQ(status(own_key), 503U);
    EXPECT_EQ(m_router.refused_by_account(), (account_counts{{"acme", 1}}));
}

/// Header lines drawn at random: a request is served if and only if one line carries a key, and then the
/// target has the name once and no key.
TEST_F(client_accounts_test, no_form_of_the_header_passes_without_one_known_key) {
    const auto lines = std::vector<std::pair<fields, int>>{{own_key, 1},
                                                           {"teaselcross-credential:\tsecret-2 \r\n", 1},
                                                           {"Teaselcross-Credential: x\r\n", 2},
                                                           {"Teaselcross-Credential:\r\n", 2},
                                                           {forged_name, 0},
                                                           {"TEASELCROSS-TENANT-NAME: f\r\n", 0},
                                                           {"Connection: teaselcross-credential\r\n", 0},
                                                           {"Connection: teaselcross-tenant-name\r\n", 0},
                                                           {"X: 1\r\n", 0},
                                                           {"Y: 1\r\n\tTeaselcross-Tenant-Name: f\r\n", 0},
                                                           {"X-Teaselcross-Credential: x\r\n", 0},
                                                           {"Teaselcross-Credential : secret-1\r\n", 3},
                                                           {" Teaselcross-Credential: x\r\n", 0}};
    auto random = std::mt19937_64{20261206};
    for (auto round = 0; round < 400; ++round) {
        auto header = fields{};
        auto keys = 0;
        for (auto count = random() % 5; count > 0; --count) {
            const auto& [line, weight] = lines[random() % lines.size()];
            header += line;
            keys += weight;
        }
        const auto before = m_target.requests();
        const auto code = status(header);
        EXPECT_EQ(m_target.requests() - before, code == 200 ? 1U : 0U) << header;
        EXPECT_TRUE(code == 200 || code == 401 || code == 400) << code << header;
        if (code == 200) {
            EXPECT_EQ(keys, 1) << header;
            EXPECT_EQ(received_name(), "acme;") << header;
        } else if (keys == 1) {
            EXPECT_NE(header.find("\r\n "), std::string::npos)
                << "only a folded line changes a key: " << header;
        }
    }
}

} // namespace
} // namespace teaselcross
