// What an instance learns, and when, while the store does not answer it and serves the others.

#include "gateway/store_follower.h"
#include "http/server.h"
#include "platform/store.h"
#include "runtime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace teaselcross {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kind = "servers";
constexpr auto probed = "config/main";

/// A store with one object, whose watches wait for its change. Not thread safe.
class small_store {
public:
    explicit small_store(boost::asio::any_io_executor executor) : m_changed{executor} {}

    auto change() -> void {
        ++m_revision;
        m_changed.notify();
    }
    auto answer(const http_request& request) -> boost::asio::awaitable<http_response> {
        constexpr auto watch_limit = duration{seconds{9}};
        const auto target = std::string{request.target()};
        const auto item = [this] {
            return json{{"metadata", {{"name", "t"}, {"revision", m_revision}}}, {"spec", json::object()}};
        };
        if (target.find(probed) != std::string::npos) {
            auto missing = http_response{boost::beast::http::status::not_found, 11};
            missing.body() = "{}";
            missing.prepare_payload();
            co_return missing;
        }
        auto body = json{{"at", m_revision}, {"items", json::array({item()})}};
        if (const auto watch = target.find("watch="); watch != std::string::npos) {
            const auto after = std::stoull(target.substr(watch + std::string_view{"watch="}.size()));
            if (after >= m_revision) {
                co_await m_changed.wait(watch_limit);
            }
            body = {{"at", m_revision}, {"events", json::array()}};
            if (after < m_revision) {
                body["events"].push_back({{"object", item()}, {"deleted", false}});
            }
        }
        auto reply = http_response{boost::beast::http::status::ok, 11};
        reply.body() = body.dump();
        reply.prepare_payload();
        co_return reply;
    }

private:
    change_signal m_changed;
    std::uint64_t m_revision = 10;
};

/// An instance that can be refused, and another one that reads the store on its behalf.
class refused_instance : public testing::Test {
protected:
    refused_instance() {
        m_direct.start();
        m_other.start();
        m_settings.instance = "own";
        m_settings.store = {.host = "127.0.0.1", .port = m_direct.port()};
        m_cluster.set_instances({{.name = "own", .cpu_share = 2},
                                 {.name = "other",
                                  .data_centre = data_centre_id{"far"},
                                  .internal = {.host = "127.0.0.1", .port = m_other.port()},
                                  .cpu_share = 1}});
    }

    template <class Condition>
    auto run_until(Condition condition, duration limit) -> bool {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            m_context.run_one_for(milliseconds{20});
        }
        return condition();
    }

    auto serve(responder& link, http_request request, const bool& is_silent) -> boost::asio::awaitable<bool> {
        auto reply = co_await m_script.answer(request);
        if (is_silent) {
            co_await sleep_for(seconds{20});
        }
        co_return co_await write_answer(link, std::move(reply));
    }

    /// How long a list takes; nothing if it fails.
    auto measure_list() -> std::optional<duration> {
        auto taken = std::optional<duration>{};
        auto ended = false;
        boost::asio::co_spawn(
            m_context,
            [&]() -> boost::asio::awaitable<void> {
                const auto started = monotonic_now();
                auto call = store_call{.kind = store_call_kind::list, .key = kind};
                const auto reply = co_await m_store.read(std::move(call));
                if (reply.status == store_status::ok) {
                    taken = monotonic_now() - started;
                }
                ended = true;
            },
            boost::asio::detached);
        EXPECT_TRUE(run_until([&] { return ended; }, seconds{10}));
        return taken;
    }

    boost::asio::io_context m_context{1};
    small_store m_script{m_context.get_executor()};
    bool m_is_refused = false;
    bool m_is_other_refused = false;
    http_server m_direct{m_context.get_executor(), {.host = "127.0.0.1"}, [this](auto& link, auto request) {
                             return serve(link, std::move(request), m_is_refused);
                         }};
    http_server m_other{m_context.get_executor(), {.host = "127.0.0.1"}, [this](auto& link, auto request) {
                            return serve(link, std::move(request), m_is_other_refused);
                        }};
    gateway_settings m_settings;
    cluster_state m_cluster{m_settings, m_context.get_executor()};
    store_access m_store{m_settings, m_cluster, m_context.get_executor(), platform::platform_dialect};
    std::vector<store_object> m_changes;
    store_follower m_follower{
        m_store,
        m_cluster,
        m_settings,
        m_context.get_executor(),
        {.kind = kind, .batch_delay = duration{}},
        {.changed = [this](const store_object& object, instant) { m_changes.push_back(object); }}};
};

// Guards against requests to a target that left more than the drain time ago: an instance to which the store
// is silent waited for the timeout of a direct call in each read before it asked another instance.
TEST_F(refused_instance, reads_through_another_instance_at_once_while_the_store_is_silent) {
    ASSERT_TRUE(measure_list());
    m_is_refused = true;
    ASSERT_TRUE(measure_list()) << "another instance could read";
    const auto interval = m_follower.refresh_interval();
    ASSERT_FALSE(run_until([] { return false; }, interval));
    const auto taken = measure_list();
    ASSERT_TRUE(taken);
    EXPECT_LT(*taken, milliseconds{300});
}

// Guards against the same: the watch of an instance that reads the store itself stayed at a store that had
// become silent for up to nine seconds, although the probe had found out.
TEST_F(refused_instance, a_watch_at_a_store_that_became_silent_goes_on_through_another_instance) {
    boost::asio::co_spawn(m_context, m_follower.run(), boost::asio::detached);
    boost::asio::co_spawn(m_context, probe_store(m_store, probed, [] { return true; }),
                          boost::asio::detached);
    ASSERT_TRUE(run_until([&] { return m_changes.size() == 1; }, seconds{5}));
    ASSERT_TRUE(run_until([&] { return m_store.is_healthy(); }, seconds{5}));
    ASSERT_FALSE(run_until([] { return false; }, milliseconds{100})) << "the watch waits at the store";
    m_is_refused = true;
    ASSERT_TRUE(run_until([&] { return !m_store.is_healthy(); }, seconds{5}));
    m_script.change();
    EXPECT_TRUE(run_until([&] { return m_changes.size() == 2; }, milliseconds{500}));
}

// Guards against an instance that goes on reading through others after the store serves it again.
TEST_F(refused_instance, reads_the_store_itself_again_once_it_answers) {
    boost::asio::co_spawn(m_context, probe_store(m_store, probed, [] { return true; }),
                          boost::asio::detached);
    ASSERT_TRUE(measure_list());
    m_is_refused = true;
    ASSERT_TRUE(measure_list());
    ASSERT_FALSE(m_store.is_healthy());
    m_is_refused = false;
    EXPECT_TRUE(run_until([&] { return m_store.is_healthy(); }, seconds{3}));
}

// Guards against removed targets that stay in use for the grace of an outage: an instance that the store
// refused, and the three others that it asked, took that for an outage and announced it.
TEST_F(refused_instance, refusals_are_no_outage_while_the_store_is_known_to_answer_another) {
    ASSERT_TRUE(measure_list());
    m_is_refused = true;
    m_is_other_refused = true;
    auto ended = false;
    boost::asio::co_spawn(
        m_context,
        [&]() -> boost::asio::awaitable<void> {
            auto call = store_call{.kind = store_call_kind::list, .key = kind};
            const auto reply = co_await m_store.read(std::move(call));
            EXPECT_EQ(reply.status, store_status::unavailable);
            ended = true;
        },
        boost::asio::detached);
    EXPECT_TRUE(run_until(
        [&] {
            m_follower.confirm({.age = seconds{1}}, monotonic_now());
            return ended;
        },
        seconds{10}));
    EXPECT_EQ(m_store.outage_grace(), duration::zero());
    EXPECT_FALSE(measure_list());
    EXPECT_GT(m_store.outage_grace(), duration::zero()) << "nobody confirms any more";
}

} // namespace
} // namespace teaselcross
