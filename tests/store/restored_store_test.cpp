// The soak's store as the program sees it when the store comes back from an older copy.

#include "http/exchange.h"
#include "platform/names.h"
#include "runtime/clock.h"
#include "soak/store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <chrono>

namespace teaselcross {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using json = nlohmann::json;
using std::chrono::milliseconds;

class restored_store : public testing::Test {
protected:
    restored_store() { m_store.start(); }

    /// The response to one call, after which the store's own work has a moment to run.
    auto call(http::verb method, const std::string& path, const json& body = {}) -> http_response {
        auto request = http_request{method, platform::names::objects_path + path, 11};
        request.body() = body.is_null() ? std::string{} : body.dump();
        request.prepare_payload();
        auto answer = std::optional<http_response>{};
        asio::co_spawn(m_context, exchange(std::move(request), answer), asio::detached);
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{10};
        while (!answer && std::chrono::steady_clock::now() < end) {
            m_context.run_one_for(milliseconds{100});
        }
        return answer.value();
    }
    auto create(const std::string& kind, const std::string& name, const json& spec) -> std::uint64_t {
        const auto answer = call(http::verb::post, kind, {{"metadata", {{"name", name}}}, {"spec", spec}});
        return json::parse(answer.body()).at("metadata").at("revision");
    }
    /// Takes the store back to its state at @a then.
    auto restore(instant then) -> void { m_store.restore(monotonic_now() - then, duration{}); }
    auto era_of(const http_response& answer) -> std::string {
        return std::string{answer[platform::names::store_era_header]};
    }
    auto run_for(milliseconds period) -> void { m_context.run_for(period); }

    auto exchange(http_request request, std::optional<http_response>& answer) -> asio::awaitable<void> {
        auto peer = endpoint{.host = "127.0.0.1", .port = m_store.port()};
        auto got = co_await perform_exchange(m_pool, std::move(peer), std::move(request),
                                             std::chrono::seconds{5}, 65536);
        if (got) {
            answer = std::move(*got);
        }
    }

    asio::io_context m_context{1};
    soak::store m_store{m_context, {.host = "127.0.0.1", .port = 0}, 1};
    connection_pool m_pool{m_context.get_executor(), {}};
};

TEST_F(restored_store, revisions_are_given_out_again_in_the_next_era) {
    create("leases", "kept", 1);
    const auto copied_at = monotonic_now();
    const auto lost = create("leases", "lost", 1);
    const auto watch = "leases?watch=" + std::to_string(lost) + "&wait-ms=0";
    EXPECT_EQ(call(http::verb::get, watch).result(), http::status::ok);
    restore(copied_at);
    const auto gone = call(http::verb::get, watch);
    EXPECT_EQ(gone.result(), http::status::gone) << "the store does not have this revision yet";
    EXPECT_EQ(era_of(gone), "2");
    EXPECT_EQ(call(http::verb::get, "leases/lost").result(), http::status::not_found);
    EXPECT_EQ(call(http::verb::get, "leases/kept").result(), http::status::ok);
    EXPECT_EQ(create("leases", "other", 2), lost);
}

TEST_F(restored_store, every_answer_names_the_era) {
    EXPECT_EQ(era_of(call(http::verb::get, "leases")), "1");
    EXPECT_EQ(era_of(call(http::verb::get, "leases/none")), "1");
    restore(monotonic_now());
    m_store.faults().mode = soak::store_mode::refusing;
    const auto refused = call(http::verb::get, "leases");
    EXPECT_EQ(refused.result(), http::status::service_unavailable);
    EXPECT_EQ(era_of(refused), "2");
}

TEST_F(restored_store, the_platform_writes_its_objects_again) {
    m_store.put("config", "main", {{"version", 1}});
    m_store.put("servers", "left", "ready");
    m_store.put("servers", "leaving", "ready");
    const auto copied_at = monotonic_now();
    m_store.put("config", "main", {{"version", 2}});
    m_store.remove("servers", "left");
    m_store.put("servers", "leaving", "draining");
    restore(copied_at);
    EXPECT_EQ(m_store.spec("config/main").at("version"), 1);
    EXPECT_EQ(m_store.spec("servers/left"), "ready");
    run_for(milliseconds{100});
    EXPECT_EQ(m_store.spec("config/main").at("version"), 2);
    EXPECT_TRUE(m_store.spec("servers/left").is_null());
    EXPECT_EQ(m_store.spec("servers/leaving"), "draining");
}

TEST_F(restored_store, a_write_met_with_silence_may_be_done_in_the_next_era) {
    const auto revision = create("leases", "own", 1);
    m_store.faults() = {.mode = soak::store_mode::silent, .late_writes = 1};
    auto request =
        http_request{http::verb::put, platform::names::objects_path + std::string{"leases/own"}, 11};
    request.body() = json{{"metadata", {{"revision", revision}}}, {"spec", 2}}.dump();
    request.prepare_payload();
    auto answer = std::optional<http_response>{};
    asio::co_spawn(m_context, exchange(std::move(request), answer), asio::detached);
    run_for(milliseconds{100});
    restore(monotonic_now());
    EXPECT_EQ(m_store.spec("leases/own"), 1);
    m_store.faults() = {};
    run_for(milliseconds{200});
    EXPECT_EQ(m_store.spec("leases/own"), 2);
    EXPECT_FALSE(answer.has_value());
}

} // namespace
} // namespace teaselcross
